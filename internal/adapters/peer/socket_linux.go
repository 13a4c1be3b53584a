package peer

import (
	"syscall"
	"time"
)

// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT. Its value is in
// milliseconds.
const tcpUserTimeoutOption = 0x12

// setTCPUserTimeout makes the operating system close a connection whose sent bytes
// stay unacknowledged for the timeout.
func setTCPUserTimeout(rawConn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := rawConn.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
