package callerhttp

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
)

// overloadRetryAfter is the least time after which a caller of an overloaded
// daemon should come back, and half of the most: early enough for an answer within
// the class's target, here or, once this daemon has left the rotation, elsewhere.
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
	// out says that the balancer should lead new connections elsewhere.
	out atomic.Bool
	// allowed is how late a call may be on account of the processor.
	allowed time.Duration
	logger  *log.Logger
	// lagShown and partShown are the metrics.
	lagShown, partShown tally.Gauge
}

func newPressure(allowed time.Duration, scope tally.Scope, logger *log.Logger) *pressure {
	return &pressure{
		stop:     make(chan struct{}),
		allowed:  allowed,
		logger:   logger,
		lagShown: scope.Gauge("lag_seconds"), partShown: scope.Gauge("turned_away_part"),
	}
}

func (p *pressure) run() {
	var rotation overload.Rotation
	shedding := overload.NewShedder(p.allowed)
	ticker := time.NewTicker(overload.MeasurementPeriod)
	defer ticker.Stop()
	before := time.Now()
	lag := newSchedulingLag()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			now := time.Now()
			late := max(now.Sub(before)-overload.MeasurementPeriod, turnsOfACall*lag.mean())
			shedding.ObserveLag(late)
			p.setOut(rotation.Update(now, shedding.ShedFraction()), shedding.ShedFraction(), late)
			p.lagShown.Update(late.Seconds())
			p.partShown.Update(shedding.ShedFraction())
			p.part.Store(math.Float64bits(shedding.ShedFraction()))
			before = now
		}
	}
}

func (p *pressure) setOut(out bool, part float64, late time.Duration) {
	if p.out.Swap(out) == out {
		return
	}
	event := "rotation-joined"
	if out {
		event = "rotation-left"
	}
	p.logger.Info().Str("event", event).Float64("turnedAway", part).Dur("late", late).Msg("")
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

// demandWeight returns how many requests came for each one that is let in now.
func (p *pressure) demandWeight() float64 {
	letIn := 1 - p.refused()
	if p.refused() >= resetFrom {
		// Its connection had to pass too.
		letIn *= letIn
	}
	return 1 / letIn
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
