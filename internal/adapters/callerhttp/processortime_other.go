//go:build !linux

package callerhttp

import "time"

// processorTime returns zero on systems that are not asked.
func processorTime() time.Duration {
	return 0
}
