package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hawthornstream/internal/settings"
)

// AuthorityError reports that a file with CA certificates can't be used.
type AuthorityError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("authority %s can't be used: %v", e.Path, e.Cause)
}

// Unwrap returns the cause; nil if the file holds no certificate.
func (e *AuthorityError) Unwrap() error {
	return e.Cause
}

// MutualTLS makes the configurations of mutual TLS between daemons. It is safe for
// concurrent use.
type MutualTLS struct {
	keyPair    *keyPairReloader
	caReloader *caReloader
}

// NewMutualTLS reads the files of keys. It fails with *KeyPairError or
// *AuthorityError. If renewed files can't be used later, that is logged and the
// last usable ones stay in use.
func NewMutualTLS(keys settings.PeerKeys, logger *log.Logger) (*MutualTLS, error) {
	keyPair := &keyPairReloader{
		files:  settings.KeyPair{Certificate: keys.Certificate, Key: keys.Key},
		logger: logger,
	}
	if err := keyPair.load(); err != nil {
		return nil, err
	}
	caReloader := &caReloader{path: keys.Authority, logger: logger}
	if err := caReloader.load(); err != nil {
		return nil, err
	}
	return &MutualTLS{keyPair: keyPair, caReloader: caReloader}, nil
}

// Server returns the configuration of one accepted connection. The other daemon
// must present a certificate that the CA signed; its name is not verified.
func (m *MutualTLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: m.keyPair.getCertificate,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      m.caReloader.certPool(),
	}
}

// Client returns the configuration of a connection to the daemon on the VM with
// the name. The certificate must be valid for that name.
func (m *MutualTLS) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    m.caReloader.certPool(),
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return m.keyPair.getCertificate(nil)
		},
	}
}

// caReloader holds the CA certificates of a file and reloads them when the file
// is modified. It keeps the last usable ones if the new ones can't be used.
type caReloader struct {
	path   string
	logger *log.Logger

	mu         sync.Mutex
	current    *x509.CertPool
	modifiedAt time.Time
	checkedAt  time.Time
}

func (r *caReloader) certPool() *x509.CertPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) < minCheckInterval {
		return r.current
	}
	r.checkedAt = now
	if r.lastModified().Equal(r.modifiedAt) {
		return r.current
	}
	if err := r.load(); err != nil {
		r.logger.Error().Str("event", "authority-not-renewed").Err(err).Msg("")
	}
	return r.current
}

func (r *caReloader) load() error {
	modifiedAt := r.lastModified()
	data, err := os.ReadFile(r.path)
	if err != nil {
		return &AuthorityError{Path: r.path, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return &AuthorityError{Path: r.path}
	}
	r.current = pool
	r.modifiedAt = modifiedAt
	return nil
}

func (r *caReloader) lastModified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
