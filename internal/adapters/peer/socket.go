package peer

import (
	"net"
	"syscall"
)

// maxUnansweredProbes is the number of consecutive TCP keep-alive probes without an
// answer after which a connection is closed.
const maxUnansweredProbes = 3

func (t Timing) keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     t.KeepAliveInterval,
		Interval: t.KeepAliveInterval,
		Count:    maxUnansweredProbes,
	}
}

// setUserTimeout makes the operating system close a connection whose sent bytes stay
// unacknowledged. If it rejects the option, its default timeout applies.
func (t Timing) setUserTimeout(conn net.Conn) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	_ = setTCPUserTimeout(rawConn, t.AckInterval+t.AckTimeout)
}
