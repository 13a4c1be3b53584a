// Package pause waits for a duration or until a context ends. Adapters, managers
// and the test bench may import it.
package pause

import (
	"context"
	"time"
)

// For waits for the duration and returns true, or returns false as soon as the
// context ends.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
