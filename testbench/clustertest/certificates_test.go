package clustertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hawthornstream/internal/settings"
)

const certificateValidity = time.Hour

// testAuthority is a certificate authority that signs daemon certificates in a
// test.
type testAuthority struct {
	t           *testing.T
	directory   string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &testAuthority{t: t, directory: t.TempDir(), key: key}
	a.certificate = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-certificateValidity),
		NotAfter:              time.Now().Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.writePEM("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *testAuthority) writePEM(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.directory, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issueKeys writes a key and a certificate issued for the given VM name and
// returns the paths of the files.
func (a *testAuthority) issueKeys(vm string) *settings.PeerKeys {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1 + a.serial),
		Subject:      pkix.Name{CommonName: vm},
		DNSNames:     []string{vm},
		NotBefore:    time.Now().Add(-certificateValidity),
		NotAfter:     time.Now().Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &settings.PeerKeys{
		Certificate: a.writePEM(vm+".pem", "CERTIFICATE", der),
		Key:         a.writePEM(vm+".key", "PRIVATE KEY", encoded),
		Authority:   a.certificatePath(),
	}
}

// certificatePath returns the path of the authority's certificate.
func (a *testAuthority) certificatePath() string {
	return filepath.Join(a.directory, "authority.pem")
}
