// Package tcpstate asks the kernel for the state of a TCP connection and sets how it finds
// out that the other end is gone. It may be imported by the adapters.
package tcpstate

import (
	"crypto/tls"
	"net"
)

// State is what the kernel knows about the receiving side of a connection.
type State uint8

// Values of State.
const (
	// Unknown means that the kernel can't be asked: the connection is not a plain
	// TCP connection, or the system lacks the call.
	Unknown State = iota
	// Quiet means that the connection is open and has no bytes to read.
	Quiet
	// Readable means that received bytes have not been read yet.
	Readable
	// Closed means that the peer or this side has closed the connection.
	Closed
	// Reset means that the peer has reset the connection or doesn't respond any more. The
	// kernel reports this once: Peek and reads find the connection closed from then on.
	Reset
)

// Unwrap returns the TCP connection that carries conn, or nil, and whether it is encrypted.
func Unwrap(conn net.Conn) (tcp *net.TCPConn, isEncrypted bool) {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			return c, isEncrypted
		case *tls.Conn:
			isEncrypted, conn = true, c.NetConn()
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil, isEncrypted
		}
	}
}
