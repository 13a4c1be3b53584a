package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// firstExclusion and lastExclusion bound the time for which a server that
	// can't be reached gets no calls; the time doubles with each failure.
	firstExclusion = 400 * time.Millisecond
	lastExclusion  = 3 * time.Second
	// brokenInARow is the number of broken or silent runs in a row that exclude a
	// server: single answers get lost on healthy servers too.
	brokenInARow = 3
	// fullFor is how long a server that declined a call for want of room gets no
	// other one.
	fullFor = 100 * time.Millisecond
	// failureWeight is the weight of one more run in the share of failures.
	failureWeight = 0.1
	// failureFade is the time constant with which the share of failures fades,
	// so that a server that mended itself is found.
	failureFade = 6 * time.Second
)

// health is what the runs of this daemon showed of one server.
type health struct {
	// until is when an exclusion ends.
	until     time.Time
	exclusion time.Duration
	// trial says that the server was excluded and has not answered since: it
	// gets one call at a time.
	trial    bool
	broken   int
	failures float64
	judged   time.Time
}

// HealthChange is a change of what is believed of a server.
type HealthChange uint8

// The changes.
const (
	// HealthSame is no change.
	HealthSame HealthChange = iota
	// HealthExcluded is a server that gets no calls for a time.
	HealthExcluded
	// HealthReadmitted is a server that answered after its exclusion.
	HealthReadmitted
)

func healthChange(before, after bool) HealthChange {
	switch {
	case before == after:
		return HealthSame
	case after:
		return HealthExcluded
	default:
		return HealthReadmitted
	}
}

// ended takes what a run showed.
func (h *health) ended(now time.Time, fault ports.ServerFault) {
	h.fade(now)
	switch fault {
	case ports.ServerFaultNone:
		h.answered()
		h.failures += failureWeight * (0 - h.failures)
	case ports.ServerFaultFailed:
		h.answered()
		h.failures += failureWeight * (1 - h.failures)
	case ports.ServerFaultOverloaded:
		h.answered()
		h.until = now.Add(fullFor)
	case ports.ServerFaultBroken, ports.ServerFaultSilent:
		h.failures += failureWeight * (1 - h.failures)
		if h.broken++; h.broken >= brokenInARow || h.trial {
			h.exclude(now)
		}
	case ports.ServerFaultUnreachable:
		h.exclude(now)
	case ports.ServerFaultLeaving:
		h.until = now.Add(lastExclusion)
		h.trial = true
	}
}

func (h *health) answered() {
	h.trial = false
	h.broken = 0
	h.exclusion = 0
}

func (h *health) exclude(now time.Time) {
	h.exclusion = min(max(2*h.exclusion, firstExclusion), lastExclusion)
	h.until = now.Add(h.exclusion)
	h.trial = true
}

// takes says whether the server may get a call, when it runs a number of calls
// of this daemon.
func (h *health) takes(now time.Time, running int) bool {
	return !now.Before(h.until) && (!h.trial || running == 0)
}

func (h *health) fade(now time.Time) {
	if !h.judged.IsZero() {
		h.failures *= max(0, 1-now.Sub(h.judged).Seconds()/failureFade.Seconds())
	}
	h.judged = now
}

// failureShare returns the recent share of runs that failed.
func (h *health) failureShare(now time.Time) float64 {
	if h.judged.IsZero() {
		return 0
	}
	return h.failures * max(0, 1-now.Sub(h.judged).Seconds()/failureFade.Seconds())
}
