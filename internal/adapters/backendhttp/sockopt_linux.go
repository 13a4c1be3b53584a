package backendhttp

import (
	"syscall"
	"time"
)

// tcpUserTimeoutOption is the number of the socket option TCP_USER_TIMEOUT, whose
// value is in milliseconds.
const tcpUserTimeoutOption = 0x12

// unacknowledgedTimeoutControl returns a net.Dialer.Control function that makes the
// kernel close a connection whose sent bytes stay unacknowledged for the timeout.
func unacknowledgedTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
