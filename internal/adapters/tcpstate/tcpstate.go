// Package tcpstate asks the kernel for the state of a TCP connection. It may be
// imported by the adapters.
package tcpstate

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
	// Closed means that the peer has closed or reset the connection, or that this
	// side has closed it.
	Closed
)
