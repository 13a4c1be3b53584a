package gracefulstop

import "time"

// growth is how much longer than the longest of the latest calls one may take that must not be
// cut: calls get slower while the load of stopping daemons moves to others.
const growth = 1.25

// Outlook is what is known of a call on a connection that will be cut.
type Outlook struct {
	// UntilCut and UntilDeadline are the times left until the connection is cut and until the
	// caller stops waiting.
	UntilCut, UntilDeadline time.Duration
	// Estimate is how long the call will take; nil if unknown.
	Estimate *Estimate
	// Repeatable says that a caller whose connection is cut may send the call again or resume
	// its stream.
	Repeatable bool
}

// ShouldTake reports whether a call that has just arrived is to be taken.
//
// Load pattern: callers send calls that last longer than the rest of a stop. A refusal costs
// them another connection to another daemon; a cut costs the work, and the outcome of a call
// that may not be repeated is then unknown.
func ShouldTake(o Outlook) bool {
	if o.Estimate == nil {
		return o.endsBefore(o.UntilDeadline)
	}
	return o.endsBefore(o.Estimate.Wait + o.runTime())
}

// ShouldSend reports whether a call that was taken is still to be sent to a backend server.
//
// Load pattern: a flood fills the servers while the daemon stops, and calls that were taken
// wait for room.
func ShouldSend(o Outlook) bool {
	if o.Estimate == nil {
		return o.endsBefore(o.UntilDeadline)
	}
	return o.endsBefore(o.runTime())
}

// endsBefore reports whether a call that takes so long, or up to its deadline, ends before the
// cut.
func (o Outlook) endsBefore(duration time.Duration) bool {
	return min(o.UntilDeadline, duration) <= o.UntilCut
}

// runTime is the time that is left for a run.
func (o Outlook) runTime() time.Duration {
	if o.Repeatable {
		return o.Estimate.Longest
	}
	return time.Duration(growth * float64(o.Estimate.Longest))
}
