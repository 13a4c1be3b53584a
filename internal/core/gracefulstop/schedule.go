// Package gracefulstop decides when the phases of a daemon's stop end and what a further
// request to stop changes. It is imported by internal/app/lifecycle.
package gracefulstop

import "time"

const (
	// exitMargin is the time that the process has to exit between the end of a stop and
	// the platform's kill; at most maxExitPart of the time until the kill.
	exitMargin  = 700 * time.Millisecond
	maxExitPart = 6
	// serverStopMargin is the time between the end of refusals and that of the stop, in
	// which connections are closed; at most maxServerStopPart of the stop.
	serverStopMargin  = 500 * time.Millisecond
	maxServerStopPart = 8
	// maxAnnouncePart bounds the announcement, during which calls are still taken, so that
	// those have time to end.
	maxAnnouncePart = 2
)

// Limits bound a stop.
type Limits struct {
	// Timeout is when calls in progress are cut off.
	Timeout time.Duration
	// KillAfter is the time after a signal at which the platform kills the process; zero for
	// never.
	KillAfter time.Duration
	// AnnouncePeriod is how long load balancers take to stop sending calls.
	AnnouncePeriod time.Duration
}

// Schedule holds when the phases of a stop end, as times since its request.
type Schedule struct {
	// AnnounceUntil is when calls are no longer taken.
	AnnounceUntil time.Duration
	// RefuseUntil is when connections are closed that callers still keep; zero if calls
	// are not refused on them.
	RefuseUntil time.Duration
	// CutAt is when calls in progress are cut off.
	CutAt time.Duration
}

// Plan returns the schedule of a stop within the limits. However short the time until the
// kill is, five sixths of it are left to calls in progress.
func Plan(limits Limits) Schedule {
	if limits.KillAfter <= 0 {
		return Schedule{AnnounceUntil: limits.AnnouncePeriod, CutAt: limits.Timeout}
	}
	cutAt := min(limits.Timeout, limits.KillAfter-min(exitMargin, limits.KillAfter/maxExitPart))
	return Schedule{
		AnnounceUntil: min(limits.AnnouncePeriod, cutAt/maxAnnouncePart),
		RefuseUntil:   cutAt - min(serverStopMargin, cutAt/maxServerStopPart),
		CutAt:         cutAt,
	}
}

// PlanWithoutKill returns the schedule of a stop that was planned: the platform doesn't kill
// the process after it.
func PlanWithoutKill(limits Limits) Schedule {
	schedule := Plan(limits)
	schedule.CutAt = limits.Timeout
	return schedule
}
