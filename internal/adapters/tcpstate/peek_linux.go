package tcpstate

import (
	"errors"
	"net"
	"syscall"
)

// Peek returns the state of a connection. It consumes no bytes and doesn't block.
// For TLS connections it returns Unknown, since pending bytes may be a TLS record.
func Peek(conn net.Conn) State {
	tcp, isEncrypted := Unwrap(conn)
	if tcp == nil || isEncrypted {
		return Unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	var (
		received int
		recvErr  error
	)
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		received, _, recvErr = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		// Control fails only if this side has closed the connection.
		return Closed
	case errors.Is(recvErr, syscall.EAGAIN), errors.Is(recvErr, syscall.EINTR):
		return Quiet
	case recvErr != nil:
		return stateOfError(recvErr)
	case received == 0:
		return Closed
	default:
		return Readable
	}
}

// stateOfError returns Reset for the errors with which the kernel reports that a
// connection has ended: a reset, or the expiry of keep-alive probes or of
// TCP_USER_TIMEOUT.
func stateOfError(err error) State {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) {
		return Reset
	}
	return Unknown
}
