package admission

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// drainRateTimeConstant is the time constant of the exponential average.
	drainRateTimeConstant = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// drainRate is the exponentially averaged rate at which a workspace's calls leave
// the queue for a slot.
type drainRate struct {
	// decayedBytes is the exponentially decaying sum of the bytes that left.
	decayedBytes float64
	updatedAt    time.Time
}

func (r *drainRate) decay(now time.Time) {
	age := now.Sub(r.updatedAt)
	if age <= 0 {
		return
	}
	r.decayedBytes *= math.Exp(-age.Seconds() / drainRateTimeConstant.Seconds())
	r.updatedAt = now
}

func (r *drainRate) bytesPerSecond(now time.Time) float64 {
	r.decay(now)
	return r.decayedBytes / drainRateTimeConstant.Seconds()
}

func (q *Queue) recordDrained(now time.Time, item *Item) {
	r, ok := q.drainRates[item.Workspace]
	if !ok {
		r = &drainRate{updatedAt: now}
		q.drainRates[item.Workspace] = r
	}
	r.decay(now)
	r.decayedBytes += float64(item.Bytes)
}

// retryAfter returns the time in which half of the workspace's waiting bytes
// leave the queue at the current drain rate, within the bounds above. It returns
// minRetryAfter if no call of the workspace has left the queue yet.
func (q *Queue) retryAfter(now time.Time, workspace ports.WorkspaceID) time.Duration {
	r, ok := q.drainRates[workspace]
	if !ok {
		return minRetryAfter
	}
	bytesPerSecond := r.bytesPerSecond(now)
	if bytesPerSecond <= 0 {
		return maxRetryAfter
	}
	seconds := float64(q.bytesByWorkspace[workspace]) / 2 / bytesPerSecond
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
