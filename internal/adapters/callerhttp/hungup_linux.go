package callerhttp

import (
	"errors"
	"net"
	"syscall"
)

// hungUp asks the kernel whether the caller has closed its connection, and takes
// no bytes from it. TLS connections are not looked at: what waits there may be a
// record of TLS.
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
		failure  error
	)
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		received, _, failure = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		// Control fails only on a connection that was closed here.
		return true
	}
	if failure != nil {
		return errors.Is(failure, syscall.ECONNRESET)
	}
	return received == 0
}
