package dispatch

import "time"

// bucket is a token bucket whose rate and size are given at each refill, since both
// depend on the rest of the fleet.
type bucket struct {
	// credit is negative for a debt.
	credit    float64
	updatedAt time.Time
}

// refill adds what accrued at the given rate, in units per second, up to maxCredit.
func (b *bucket) refill(now time.Time, rate, maxCredit float64) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.credit += rate * elapsed
		b.updatedAt = now
	}
	b.credit = min(b.credit, maxCredit)
}
