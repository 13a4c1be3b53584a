package callerhttp

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
)

// overloadRetryAfter is the least time after which a caller of an overloaded
// daemon should come back, and half of the most: the balancer leads it to another
// daemon, which can still answer within the class's target.
const overloadRetryAfter = 30 * time.Millisecond

// turnsOfACall is how often a call waits for the processor before its first byte:
// its connection, request, slot, sending, the server's header and first byte, and
// the answer, each on a goroutine that was woken.
const turnsOfACall = 8

// pressure measures how late this process does its work, and turns requests away
// while it is too late. It is safe for concurrent use.
type pressure struct {
	// part is the part of the requests to turn away, as float64 bits.
	part atomic.Uint64
	stop chan struct{}
	// lagShown and partShown are the metrics.
	lagShown, partShown tally.Gauge
}

func newPressure(scope tally.Scope) *pressure {
	return &pressure{
		stop:     make(chan struct{}),
		lagShown: scope.Gauge("lag_seconds"), partShown: scope.Gauge("turned_away_part"),
	}
}

func (p *pressure) run() {
	var shedding overload.Shedding
	ticker := time.NewTicker(overload.Period)
	defer ticker.Stop()
	before := time.Now()
	lag := newSchedulingLag()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			now := time.Now()
			late := max(now.Sub(before)-overload.Period, turnsOfACall*lag.mean())
			shedding.Measured(late)
			p.lagShown.Update(late.Seconds())
			p.partShown.Update(shedding.Part())
			p.part.Store(math.Float64bits(shedding.Part()))
			before = now
		}
	}
}

// refused returns the part of the requests that is turned away.
func (p *pressure) refused() float64 {
	return math.Float64frombits(p.part.Load())
}

// turnsAway decides for one request or connection, with the present probability.
func (p *pressure) turnsAway() bool {
	part := p.refused()
	return part > 0 && rand.Float64() < part
}

// refusal turns a request away with the present probability.
func (p *pressure) refusal() *outcome.Refusal {
	if !p.turnsAway() {
		return nil
	}
	refusal := notRun(outcome.ReasonDaemonOverloaded, "this daemon has more requests than processor time")
	refusal.RetryAfter = overloadRetryAfter + time.Duration(rand.Float64()*float64(overloadRetryAfter))
	return refusal
}
