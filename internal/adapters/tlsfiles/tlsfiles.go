// Package tlsfiles provides TLS with key pairs and CA certificates from files,
// which it reloads when they are renewed. It is imported by the adapters that
// listen and by internal/app/cluster.
package tlsfiles

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hawthornstream/internal/settings"
)

// minCheckInterval is the minimum time between two checks whether files were
// modified.
const minCheckInterval = time.Second

// alpnProtocol is the only application protocol offered: an answer is aborted by
// closing its connection, which HTTP/1.1 callers can detect.
const alpnProtocol = "http/1.1"

// KeyPairError reports that a key pair can't be read or that its key does not match
// its certificate.
type KeyPairError struct {
	Certificate string
	Key         string
	Cause       error
}

// Error implements error.
func (e *KeyPairError) Error() string {
	return fmt.Sprintf("key pair %s, %s can't be used: %v", e.Certificate, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *KeyPairError) Unwrap() error {
	return e.Cause
}

// WrapListener returns a listener that serves TLS on the connections of inner, or
// inner itself if pair is nil. It fails with *KeyPairError, after closing inner.
// If a renewed key pair can't be used later, that is logged and the last usable
// one stays in use.
func WrapListener(inner net.Listener, pair *settings.KeyPair, logger *log.Logger) (net.Listener, error) {
	if pair == nil {
		return inner, nil
	}
	keyPairReloader := &keyPairReloader{files: *pair, logger: logger}
	if err := keyPairReloader.load(); err != nil {
		// The error of the key pair is the one to return.
		_ = inner.Close()
		return nil, err
	}
	return tls.NewListener(inner, &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{alpnProtocol},
		GetCertificate: keyPairReloader.getCertificate,
	}), nil
}

// keyPairReloader holds the certificate of a key pair and reloads it when its
// files are modified.
type keyPairReloader struct {
	files  settings.KeyPair
	logger *log.Logger

	mu         sync.Mutex
	current    *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

func (r *keyPairReloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) >= minCheckInterval {
		r.checkedAt = now
		r.reloadIfModified()
	}
	return r.current, nil
}

// reloadIfModified reloads the files if they were modified. While only one of them
// is replaced, the last usable certificate stays in use.
func (r *keyPairReloader) reloadIfModified() {
	if r.lastModified().Equal(r.modifiedAt) {
		return
	}
	if err := r.load(); err != nil {
		r.logger.Error().Str("event", "key-pair-not-renewed").Err(err).Msg("")
	}
}

func (r *keyPairReloader) load() error {
	modifiedAt := r.lastModified()
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return &KeyPairError{Certificate: r.files.Certificate, Key: r.files.Key, Cause: err}
	}
	r.current = &certificate
	r.modifiedAt = modifiedAt
	return nil
}

// lastModified returns the later modification time of the two files; zero if
// os.Stat fails for both.
func (r *keyPairReloader) lastModified() time.Time {
	var newest time.Time
	for _, path := range []string{r.files.Certificate, r.files.Key} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}
