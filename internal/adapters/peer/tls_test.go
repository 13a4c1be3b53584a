package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
)

// testTLSConfigs implements TLSConfigs with a fixed certificate and certificate pool.
type testTLSConfigs struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func (c *testTLSConfigs) Server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.authorities,
	}
}

func (c *testTLSConfigs) Client(name string) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c.certificate}, RootCAs: c.authorities, ServerName: name}
}

// testAuthority is a certificate authority that issues the certificates of a test.
type testAuthority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := certificateTemplate()
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testAuthority{t: t, key: key, certificate: certificate}
}

func certificateTemplate() *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// issue returns TLS configurations with a new certificate for the name, which trust the
// authority.
func (a *testAuthority) issue(name string) *testTLSConfigs {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := certificateTemplate()
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	authorities := x509.NewCertPool()
	authorities.AddCert(a.certificate)
	return &testTLSConfigs{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, authorities: authorities}
}

// openTLSSession opens a session to a node over TLS as daemon "x" and sends a probe.
func openTLSSession(t *testing.T, to *node, tlsConfigs *testTLSConfigs) *rawSession {
	t.Helper()
	conn, err := net.Dial("tcp", to.Address())
	if err != nil {
		t.Fatal(err)
	}
	s := &rawSession{t: t, codec: to.codec, conn: drpcconn.New(tls.Client(conn, tlsConfigs.Client("a")))}
	t.Cleanup(func() { _ = s.conn.Close() })
	if s.stream, err = s.conn.NewStream(t.Context(), exchangeMethod, s.codec); err != nil {
		t.Fatal(err)
	}
	s.sendFrame(frame{Hello: newHello(1, 1)})
	s.sendProbe(1)
	return s
}

func TestSessionRequiresCertificateNamingItsSender(t *testing.T) {
	trustedAuthority, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	a := startTLSNode(t, "a", trustedAuthority.issue("a"))
	if err := openTLSSession(t, a, trustedAuthority.issue("x")).receiveReply(); err != nil {
		t.Errorf("session with a certificate of its sender ended with %v", err)
	}
	if err := openTLSSession(t, a, trustedAuthority.issue("y")).receiveReply(); drpcerr.Code(err) != codeCertificateMismatch {
		t.Errorf("session with a certificate of another daemon ended with %v, want code %d", err, codeCertificateMismatch)
	}
	untrusted := otherAuthority.issue("x")
	untrusted.authorities = trustedAuthority.issue("x").authorities
	if err := openTLSSession(t, a, untrusted).receiveReply(); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if got := a.receivedCount(); got != 1 {
		t.Errorf("%d messages handled, want 1", got)
	}
}

func TestDialledDaemonRequiresCertificateNamingIt(t *testing.T) {
	authority := newTestAuthority(t)
	a := startTLSNode(t, "a", authority.issue("a"))
	b := startTLSNode(t, "b", authority.issue("c"))
	setPeersOfAll(a, b)
	a.Send("b", newProbe(1))
	eventually(t, "the rejected certificate is counted", func() bool { return a.counterSum("peer_certificates_rejected", "") > 0 })
	if b.receivedCount() != 0 {
		t.Error("a daemon with a certificate of another name received a message")
	}
}

func TestPlaintextConnectionIsRefused(t *testing.T) {
	a := startTLSNode(t, "a", newTestAuthority(t).issue("a"))
	s := openRawSession(t, a, newHello(1, 1))
	if err := s.receiveReply(); err == nil || errors.Is(err, io.ErrNoProgress) {
		t.Errorf("session without TLS ended with %v", err)
	}
	eventually(t, "the failed handshake is counted", func() bool { return a.counterSum("peer_sessions_closed", "tls-failed") == 1 })
}
