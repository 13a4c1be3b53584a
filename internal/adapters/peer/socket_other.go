//go:build !linux

package peer

import (
	"syscall"
	"time"
)

// setTCPUserTimeout does nothing on operating systems without TCP_USER_TIMEOUT. There,
// the acknowledgements of a session alone detect a silent connection.
func setTCPUserTimeout(syscall.RawConn, time.Duration) error {
	return nil
}
