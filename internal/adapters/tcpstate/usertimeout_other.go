//go:build !linux

package tcpstate

import (
	"syscall"
	"time"
)

// SetUnacknowledgedTimeout has no effect: the system has no TCP_USER_TIMEOUT.
func SetUnacknowledgedTimeout(syscall.RawConn, time.Duration) error {
	return nil
}
