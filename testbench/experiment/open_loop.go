package experiment

import (
	"context"
	"sync"
	"time"
)

// issueCalls makes each arrival's call at its offset from start, whether or not
// earlier calls have ended, and returns when all have ended. When ctx ends, open
// calls are cancelled and no further ones are made.
func issueCalls(ctx context.Context, start time.Time, arrivals []Arrival, call func(context.Context, Arrival)) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, arrival := range arrivals {
		if !sleepUntil(ctx, start.Add(arrival.Offset)) {
			return
		}
		group.Go(func() { call(ctx, arrival) })
	}
}

// sleepUntil returns true at the given time, or false when ctx has ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
