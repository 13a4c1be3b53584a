//go:build !linux

package backendhttp

import (
	"syscall"
	"time"
)

// unacknowledgedTimeoutControl returns nil: the system has no TCP_USER_TIMEOUT.
func unacknowledgedTimeoutControl(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
