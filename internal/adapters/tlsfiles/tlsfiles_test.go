package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"hawthornstream/internal/settings"
)

// writeKeyPair writes a self-signed key pair for 127.0.0.1 with the serial number
// and modification time.
func writeKeyPair(t *testing.T, pair settings.KeyPair, serial int64, modifiedAt time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEMFile(t, pair.Certificate, &pem.Block{Type: "CERTIFICATE", Bytes: certificate}, modifiedAt)
	writePEMFile(t, pair.Key, &pem.Block{Type: "PRIVATE KEY", Bytes: keyBytes}, modifiedAt)
}

func writePEMFile(t *testing.T, path string, block *pem.Block, modifiedAt time.Time) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, modifiedAt, modifiedAt); err != nil {
		t.Fatal(err)
	}
}

// newKeyPairFiles returns the paths of a key pair that is not written yet.
func newKeyPairFiles(t *testing.T) settings.KeyPair {
	t.Helper()
	dir := t.TempDir()
	return settings.KeyPair{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

// presentedSerial returns the serial number of the certificate that the listener
// presents in a handshake.
func presentedSerial(t *testing.T, listener net.Listener) int64 {
	t.Helper()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*tls.Conn).Handshake()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestRenewedKeyPairIsServed(t *testing.T) {
	pair := newKeyPairFiles(t)
	writeKeyPair(t, pair, 1, time.Now().Add(-time.Hour))
	var logged strings.Builder
	keyPairReloader := &keyPairReloader{files: pair, logger: &log.Logger{Writer: &log.IOWriter{Writer: &logged}}}
	if err := keyPairReloader.load(); err != nil {
		t.Fatal(err)
	}
	first := keyPairReloader.current

	if err := os.WriteFile(pair.Key, []byte("half replaced"), 0o600); err != nil {
		t.Fatal(err)
	}
	keyPairReloader.reloadIfModified()
	if keyPairReloader.current != first {
		t.Error("an unusable key pair replaced a usable one")
	}
	if !strings.Contains(logged.String(), "key-pair-not-renewed") {
		t.Errorf("log %q does not report the failed renewal", logged.String())
	}

	writeKeyPair(t, pair, 2, time.Now())
	keyPairReloader.reloadIfModified()
	if keyPairReloader.current.Leaf.SerialNumber.Int64() != 2 {
		t.Error("the renewed key pair is not served")
	}
}

func TestWrapListenerServesKeyPair(t *testing.T) {
	pair := newKeyPairFiles(t)
	writeKeyPair(t, pair, 7, time.Now())
	listener, err := WrapListener(listenLocal(t), &pair, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if serial := presentedSerial(t, listener); serial != 7 {
		t.Errorf("serial number %d, want 7", serial)
	}
}

func TestMissingKeyPairReturnsKeyPairError(t *testing.T) {
	pair := newKeyPairFiles(t)
	_, err := WrapListener(listenLocal(t), &pair, nil)
	var failure *KeyPairError
	if !errors.As(err, &failure) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want *KeyPairError", err)
	}
}

func TestWrapListenerWithoutKeyPairReturnsInner(t *testing.T) {
	inner := listenLocal(t)
	defer inner.Close()
	if got, err := WrapListener(inner, nil, nil); err != nil || got != inner {
		t.Errorf("WrapListener = %v, %v; want the inner listener", got, err)
	}
}
