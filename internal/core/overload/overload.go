// Package overload decides which part of the requests a daemon turns away before
// it does any work for them, because its own processor time does not suffice. It
// has no I/O and no clock; internal/adapters/callerhttp uses it.
package overload

import "time"

const (
	// Period is the time between two measurements of the lag.
	Period = 50 * time.Millisecond
	// lagging is the lateness of a timer from which the daemon counts as
	// overloaded: about the time that a call may wait for room.
	lagging = 60 * time.Millisecond
	// paused is the lateness from which the process itself stood still: what waits
	// after that is no sign of more work than it can do.
	paused = time.Second
	// lateInARow is the number of late measurements that show an overload: one may
	// be the collector's or another process's.
	lateInARow = 3
	// increase is what one late measurement adds to the part that is turned away,
	// decrease what one in time takes off it: the part grows within a second
	// and shrinks within three.
	increase = 0.06
	decrease = 0.015
	// most leaves some requests in, so that the end of the overload is seen.
	most = 0.95
)

// Shedding is the part of the requests that is turned away. The load pattern: the
// callers of one workspace all reach one daemon, several hundred a second, and
// every call that it still serves is late, or runs after its caller has left.
type Shedding struct {
	part float64
	late int
}

// Measured takes the lateness of a timer.
func (s *Shedding) Measured(late time.Duration) {
	if late < lagging || late >= paused {
		s.late = 0
		s.part = max(0, s.part-decrease)
		return
	}
	if s.late++; s.late >= lateInARow {
		s.part = min(most, s.part+increase)
	}
}

// Part returns the part of the requests to turn away, from 0 to 1.
func (s *Shedding) Part() float64 {
	return s.part
}
