package callerhttp

import (
	"net"
	"syscall"
)

// resetNextConnection accepts a waiting connection and closes it with a TCP reset, without
// the work of making it a connection of this process: three system calls. It reports false
// if none was waiting.
func resetNextConnection(listener net.Listener) bool {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	accepted := false
	err = raw.Control(func(listenerFD uintptr) {
		fd, _, err := syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		accepted = true
		// If this fails, the connection is closed in order.
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Close(fd)
	})
	return err == nil && accepted
}
