package tcpstate

import (
	"syscall"
	"time"
)

// userTimeoutOption is the number of the socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const userTimeoutOption = 0x12

// SetUnacknowledgedTimeout makes the kernel close a connection whose sent bytes stay
// unacknowledged for the timeout. TCP keep-alive sends no probes meanwhile. It has no effect
// on systems other than Linux.
func SetUnacknowledgedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
