package callerhttp

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used, or zero if the
// system doesn't tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
