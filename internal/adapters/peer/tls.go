package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"

	"hawthornstream/internal/ports"
)

// connection is one connection to a peer. The embedded Conn is the TLS connection, or
// the metered TCP connection itself without TLS.
type connection struct {
	net.Conn
	metered *meteredConn
	// tlsConn is nil without TLS.
	tlsConn *tls.Conn
	// wire counts the memory of an accepted connection; it is nil on the dialling side, where
	// replies are small.
	wire *wireMeter
}

// Read implements io.Reader.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.wire == nil {
		return n, err
	}
	if err != nil {
		// An eviction ends the reading, and is the reason then.
		return n, cmp.Or(c.wire.held.Received(), err)
	}
	return n, c.wire.observe(p[:n])
}

// clientHandshake performs the TLS handshake of the dialling side, in which both
// daemons authenticate with certificates. On failure it closes the connection. Without
// TLS it only wraps the connection.
func (t *Transport) clientHandshake(metered *meteredConn, id ports.DaemonID) (*connection, error) {
	if t.options.TLS == nil {
		return &connection{Conn: metered, metered: metered}, nil
	}
	tlsConn := tls.Client(metered, t.options.TLS.Client(string(id)))
	if err := t.runHandshake(tlsConn); err != nil {
		_ = metered.Close()
		return nil, err
	}
	return &connection{Conn: tlsConn, metered: metered, tlsConn: tlsConn}, nil
}

// serverHandshake performs the TLS handshake of the accepting side, which verifies the
// certificate of the dialling daemon. The name in the certificate is compared with the
// hello later. Without TLS it only wraps the connection.
func (t *Transport) serverHandshake(metered *meteredConn) (*connection, error) {
	if t.options.TLS == nil {
		return &connection{Conn: metered, metered: metered}, nil
	}
	tlsConn := tls.Server(metered, t.options.TLS.Server())
	if err := t.runHandshake(tlsConn); err != nil {
		return nil, err
	}
	return &connection{Conn: tlsConn, metered: metered, tlsConn: tlsConn}, nil
}

func (t *Transport) runHandshake(tlsConn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(t.ctx, t.options.Timing.HelloTimeout)
	defer cancel()
	err := tlsConn.HandshakeContext(ctx)
	var verificationErr *tls.CertificateVerificationError
	if errors.As(err, &verificationErr) {
		t.counters.certificatesRejected.Inc(1)
		t.options.Logger.Warn().Str("event", "peer-certificate-rejected").Err(err).Msg("")
	}
	return err
}

// hasCertificateFor reports whether the peer's certificate names a daemon. Without TLS
// every name is accepted.
func (c *connection) hasCertificateFor(id ports.DaemonID) bool {
	if c == nil || c.tlsConn == nil {
		return true
	}
	certificates := c.tlsConn.ConnectionState().PeerCertificates
	return len(certificates) > 0 && certificates[0].VerifyHostname(string(id)) == nil
}
