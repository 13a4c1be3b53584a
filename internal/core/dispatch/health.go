package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// minExclusion and maxExclusion bound the time for which a server that
	// can't be reached gets no calls. The time doubles with each failure.
	minExclusion = 400 * time.Millisecond
	maxExclusion = 3 * time.Second
	// brokenRunsToExclude is the number of consecutive broken or silent runs
	// that exclude a server: single answers get lost on healthy servers too.
	brokenRunsToExclude = 3
	// overloadedBackoff is how long a server that declined a call for lack of
	// capacity gets no further calls.
	overloadedBackoff = 100 * time.Millisecond
	// failureSampleWeight is the weight of one more run in the failure rate.
	failureSampleWeight = 0.1
	// failureDecayTime is the time without runs in which the failure rate falls
	// to zero, so that a server that has recovered is found.
	failureDecayTime = 6 * time.Second
)

// health is the state of one server as the runs of this daemon showed it.
type health struct {
	// excludedUntil is when the current exclusion ends.
	excludedUntil time.Time
	exclusion     time.Duration
	// onProbation reports that the server was excluded and has not answered
	// since: it gets one call at a time.
	onProbation       bool
	consecutiveBroken int
	failureMean       float64
	updatedAt         time.Time
}

// HealthChange is a change of a server's health as this daemon sees it.
type HealthChange uint8

// Values of HealthChange.
const (
	// HealthUnchanged means no change.
	HealthUnchanged HealthChange = iota
	// HealthExcluded means that the server was excluded and gets no calls for a
	// time.
	HealthExcluded
	// HealthReadmitted means that the server answered after an exclusion.
	HealthReadmitted
)

func healthChangeOf(wasOnProbation, isOnProbation bool) HealthChange {
	switch {
	case wasOnProbation == isOnProbation:
		return HealthUnchanged
	case isOnProbation:
		return HealthExcluded
	default:
		return HealthReadmitted
	}
}

// recordRun updates the health from the outcome of a run. A server that asked for a
// pause has shown nothing about its health.
func (h *health) recordRun(now time.Time, fault ports.ServerFault) {
	if fault == ports.ServerFaultPushedBack {
		return
	}
	h.decay(now)
	switch fault {
	case ports.ServerFaultNone:
		h.recordAnswer()
		h.failureMean += failureSampleWeight * (0 - h.failureMean)
	case ports.ServerFaultFailed:
		h.recordAnswer()
		h.failureMean += failureSampleWeight * (1 - h.failureMean)
	case ports.ServerFaultOverloaded:
		h.recordAnswer()
		h.excludedUntil = now.Add(overloadedBackoff)
	case ports.ServerFaultBroken, ports.ServerFaultSilent:
		h.failureMean += failureSampleWeight * (1 - h.failureMean)
		if h.consecutiveBroken++; h.consecutiveBroken >= brokenRunsToExclude || h.onProbation {
			h.exclude(now)
		}
	case ports.ServerFaultUnreachable:
		h.exclude(now)
	case ports.ServerFaultLeaving:
		h.excludedUntil = now.Add(maxExclusion)
		h.onProbation = true
	}
}

func (h *health) recordAnswer() {
	h.onProbation = false
	h.consecutiveBroken = 0
	h.exclusion = 0
}

func (h *health) exclude(now time.Time) {
	h.exclusion = min(max(2*h.exclusion, minExclusion), maxExclusion)
	h.excludedUntil = now.Add(h.exclusion)
	h.onProbation = true
}

// accepts reports whether the server may get a call while it runs the given
// number of calls of this daemon.
func (h *health) accepts(now time.Time, running int) bool {
	return !now.Before(h.excludedUntil) && (!h.onProbation || running == 0)
}

func (h *health) decay(now time.Time) {
	if !h.updatedAt.IsZero() {
		h.failureMean *= max(0, 1-now.Sub(h.updatedAt).Seconds()/failureDecayTime.Seconds())
	}
	h.updatedAt = now
}

// failureRate returns the recent fraction of runs that failed.
func (h *health) failureRate(now time.Time) float64 {
	if h.updatedAt.IsZero() {
		return 0
	}
	return h.failureMean * max(0, 1-now.Sub(h.updatedAt).Seconds()/failureDecayTime.Seconds())
}
