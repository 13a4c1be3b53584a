// Package overload determines the fraction of requests that a daemon sheds
// before it does any work for them, because its own processor time does not
// suffice, and whether it should leave the load balancer's rotation. It has no
// I/O and no clock; internal/adapters/callerhttp uses it.
package overload

import "time"

const (
	// MeasurementPeriod is the time between two measurements of the lag.
	MeasurementPeriod = 50 * time.Millisecond
	// pauseThreshold is the lag from which the process itself may have been
	// paused. Such a measurement shows no overload unless the next ones are
	// late too.
	pauseThreshold = time.Second
	// minConsecutiveLate is the number of consecutive late measurements that
	// show an overload: a single one may be caused by the garbage collector, by
	// another process or by the work that accumulated during a pause.
	minConsecutiveLate = 2
	// increasePerSecond is what each second of lateness adds to the shed
	// fraction while the lag is just above the allowed one. It is multiplied by
	// the ratio of the lag to the allowed lag, up to maxUrgency.
	// decreasePerSecond is what each second within the allowed lag subtracts.
	increasePerSecond = 0.5
	maxUrgency        = 4.0
	decreasePerSecond = 0.3
	// maxShedFraction leaves some requests admitted, so that the end of the
	// overload is noticed.
	maxShedFraction = 0.95
)

// Shedder determines the fraction of requests to shed. It guards against this
// load pattern: the callers of one workspace all reach one daemon, several
// hundred a second, and every call that the daemon still serves is late, or
// runs after its caller has left.
type Shedder struct {
	allowedLag   time.Duration
	shedFraction float64
	// consecutiveLate counts the consecutive late measurements, without the one
	// that may be a pause.
	consecutiveLate int
	afterPause      bool
}

// NewShedder returns a shedder that tolerates the given lag.
func NewShedder(allowedLag time.Duration) *Shedder {
	return &Shedder{allowedLag: allowedLag}
}

// ObserveLag updates the shed fraction from a measurement of how late the
// daemon is with its work. The time since the last measurement is taken to be
// MeasurementPeriod plus the lag, at most a second.
func (s *Shedder) ObserveLag(lag time.Duration) {
	if lag < s.allowedLag {
		s.consecutiveLate, s.afterPause = 0, false
		s.shedFraction = max(0, s.shedFraction-decreasePerSecond*MeasurementPeriod.Seconds())
		return
	}
	if lag >= pauseThreshold && s.consecutiveLate == 0 && !s.afterPause {
		s.afterPause = true
		return
	}
	if s.consecutiveLate++; s.consecutiveLate < minConsecutiveLate {
		return
	}
	urgency := min(float64(lag)/float64(s.allowedLag), maxUrgency)
	elapsed := min(MeasurementPeriod+lag, time.Second)
	s.shedFraction = min(maxShedFraction, s.shedFraction+increasePerSecond*urgency*elapsed.Seconds())
}

// RetryAfter returns the time after which a caller should retry whose request was shed, given
// the fraction of requests that is shed and a random number from 0 to 1. The fraction falls to
// zero in a time that is known if no more callers come; those that were refused together are
// spread over it, so that they don't bring the overload back.
func RetryAfter(shedFraction, random float64) time.Duration {
	untilNone := shedFraction / decreasePerSecond * float64(time.Second)
	return max(time.Duration(random*untilNone), MeasurementPeriod)
}

// ShedFraction returns the fraction of requests to shed, from 0 to 1.
func (s *Shedder) ShedFraction() float64 {
	return s.shedFraction
}
