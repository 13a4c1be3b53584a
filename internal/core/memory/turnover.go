package memory

import (
	"math"
	"time"
)

const (
	// turnoverTimeConstant is the time constant of the exponential averages.
	turnoverTimeConstant = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should
	// retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// turnover estimates when refused requests would find room.
type turnover struct {
	// released and refused are exponentially decaying sums of bytes.
	released, refused float64
	updatedAt         time.Time
}

func (t *turnover) decay(now time.Time) {
	age := now.Sub(t.updatedAt)
	if age <= 0 {
		return
	}
	remaining := math.Exp(-age.Seconds() / turnoverTimeConstant.Seconds())
	t.released *= remaining
	t.refused *= remaining
	t.updatedAt = now
}

func (t *turnover) recordReleased(now time.Time, bytes int64) {
	t.decay(now)
	t.released += float64(bytes)
}

func (t *turnover) recordRefused(now time.Time, bytes int64) {
	t.decay(now)
	t.refused += float64(bytes)
}

// retryAfter returns the time in which the bytes, and half of those that were refused of
// late, are released at the present rate.
func (t *turnover) retryAfter(now time.Time, bytes int64) time.Duration {
	t.decay(now)
	if t.released <= 0 {
		return maxRetryAfter
	}
	seconds := (float64(bytes) + t.refused/2) / t.released * turnoverTimeConstant.Seconds()
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
