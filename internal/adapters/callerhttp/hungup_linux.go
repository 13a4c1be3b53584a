package callerhttp

import (
	"errors"
	"net"
	"syscall"
)

// hungUp reports whether the caller has closed its connection. It asks the kernel
// and consumes no bytes. It reports false for TLS connections, since pending bytes
// may be a TLS record.
func hungUp(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var (
		received int
		recvErr  error
	)
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		received, _, recvErr = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		// Control fails only if this side has closed the connection.
		return true
	}
	if recvErr != nil {
		return errors.Is(recvErr, syscall.ECONNRESET)
	}
	return received == 0
}
