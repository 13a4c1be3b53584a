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

// schedulingWaitsPerCall is the number of times that a call waits for the
// processor before its first byte: for its connection, request, slot, sending, the
// server's header and first byte, and the answer, each on a goroutine that was
// woken.
const schedulingWaitsPerCall = 8

// loadShedder measures how late this process does its work, and sheds requests
// while it is too late. It is safe for concurrent use.
type loadShedder struct {
	// shedFractionBits is the fraction of requests to shed, as float64 bits.
	shedFractionBits atomic.Uint64
	stop             chan struct{}
	// outOfRotation reports whether the load balancer should route new
	// connections to other daemons.
	outOfRotation atomic.Bool
	// allowedLag is how late a call may be because it waits for the processor.
	allowedLag time.Duration
	// observeLoad gets each measurement. It may be nil.
	observeLoad                 func(now time.Time, use float64, lag time.Duration)
	logger                      *log.Logger
	lagGauge, shedFractionGauge tally.Gauge
}

func newLoadShedder(allowedLag time.Duration, scope tally.Scope, logger *log.Logger) *loadShedder {
	return &loadShedder{
		stop:       make(chan struct{}),
		allowedLag: allowedLag,
		logger:     logger,
		lagGauge:   scope.Gauge("lag_seconds"), shedFractionGauge: scope.Gauge("turned_away_part"),
	}
}

// run measures the lag periodically until stop is closed.
func (s *loadShedder) run() {
	var rotation overload.Rotation
	shedder := overload.NewShedder(s.allowedLag)
	ticker := time.NewTicker(overload.MeasurementPeriod)
	defer ticker.Stop()
	previous, previousUse := time.Now(), processorTime()
	scheduling := newSchedulingLatency()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			now := time.Now()
			lag := max(now.Sub(previous)-overload.MeasurementPeriod, schedulingWaitsPerCall*scheduling.meanSinceLast())
			shedder.ObserveLag(lag)
			s.setOutOfRotation(rotation.Update(now, shedder.ShedFraction()), shedder.ShedFraction(), lag)
			s.lagGauge.Update(lag.Seconds())
			s.shedFractionGauge.Update(shedder.ShedFraction())
			s.shedFractionBits.Store(math.Float64bits(shedder.ShedFraction()))
			if s.observeLoad != nil {
				use := processorTime()
				s.observeLoad(now, float64(use-previousUse)/float64(max(now.Sub(previous), 1)), lag)
				previousUse = use
			}
			previous = now
		}
	}
}

// setOutOfRotation updates outOfRotation and logs each change.
func (s *loadShedder) setOutOfRotation(outOfRotation bool, shedFraction float64, lag time.Duration) {
	if s.outOfRotation.Swap(outOfRotation) == outOfRotation {
		return
	}
	event := "rotation-joined"
	if outOfRotation {
		event = "rotation-left"
	}
	s.logger.Info().Str("event", event).Float64("turnedAway", shedFraction).Dur("late", lag).Msg("")
}

// shedFraction returns the fraction of requests that is shed.
func (s *loadShedder) shedFraction() float64 {
	return math.Float64frombits(s.shedFractionBits.Load())
}

// shouldShed decides for one request or connection at random, with the shed
// fraction as probability.
func (s *loadShedder) shouldShed() bool {
	shedFraction := s.shedFraction()
	return shedFraction > 0 && rand.Float64() < shedFraction
}

// shouldCloseUnread decides for one new connection at random whether to close it unread.
func (s *loadShedder) shouldCloseUnread() bool {
	return s.shedFraction() >= closeUnreadThreshold && s.shouldShed()
}

// demandWeight returns the number of requests that arrived for each one that is
// admitted now.
func (s *loadShedder) demandWeight() float64 {
	admittedFraction := 1 - s.shedFraction()
	if s.shedFraction() >= closeUnreadThreshold {
		// Its connection had to be admitted first.
		admittedFraction *= admittedFraction
	}
	return 1 / admittedFraction
}

// shedRefusal returns a refusal if the request is to be shed, and nil otherwise.
func (s *loadShedder) shedRefusal() *outcome.Refusal {
	if !s.shouldShed() {
		return nil
	}
	refusal := notRunRefusal(outcome.ReasonDaemonOverloaded, "this daemon has more requests than processor time")
	refusal.RetryAfter = overload.RetryAfter(s.shedFraction(), rand.Float64())
	return refusal
}
