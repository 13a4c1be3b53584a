package callerhttp

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
)

// overloadRetryAfter is when a caller of an overloaded daemon should come back.
const overloadRetryAfter = 500 * time.Millisecond

// pressure measures how late this process does its work, and turns requests away
// while it is too late. It is safe for concurrent use.
type pressure struct {
	// part is the part of the requests to turn away, as float64 bits.
	part atomic.Uint64
	stop chan struct{}
}

func newPressure() *pressure {
	return &pressure{stop: make(chan struct{})}
}

func (p *pressure) run() {
	var shedding overload.Shedding
	ticker := time.NewTicker(overload.Period)
	defer ticker.Stop()
	before := time.Now()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			now := time.Now()
			shedding.Measured(now.Sub(before) - overload.Period)
			p.part.Store(math.Float64bits(shedding.Part()))
			before = now
		}
	}
}

// refusal turns a request away with the present probability.
func (p *pressure) refusal() *outcome.Refusal {
	part := math.Float64frombits(p.part.Load())
	if part == 0 || rand.Float64() >= part {
		return nil
	}
	refusal := notRun(outcome.ReasonDaemonOverloaded, "this daemon has more requests than processor time")
	refusal.RetryAfter = overloadRetryAfter + time.Duration(rand.Float64()*float64(overloadRetryAfter))
	return refusal
}
