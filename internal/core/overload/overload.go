// Package overload decides which part of the requests a daemon turns away before
// it does any work for them, because its own processor time does not suffice. It
// has no I/O and no clock; internal/adapters/callerhttp uses it.
package overload

import "time"

const (
	// Period is the time between two measurements of the lag.
	Period = 50 * time.Millisecond
	// paused is the lateness from which the process itself may have stood still,
	// which says nothing unless the next measurements are late too.
	paused = time.Second
	// lateInARow is the number of late measurements that show an overload: one may
	// be the collector's, another process's, or what waited during a pause.
	lateInARow = 2
	// increase is what each second adds to the part that is turned away while the
	// measurements are just late, up to mostUrgent times as much when they are
	// later; decrease is what a second in time takes off it.
	increase   = 0.5
	mostUrgent = 4.0
	decrease   = 0.3
	// most leaves some requests in, so that the end of the overload is seen.
	most = 0.95
)

// Shedding is the part of the requests that is turned away. The load pattern: the
// callers of one workspace all reach one daemon, several hundred a second, and
// every call that it still serves is late, or runs after its caller has left.
type Shedding struct {
	allowed time.Duration
	part    float64
	// late counts the late measurements in a row, without a pause before them.
	late        int
	afterAPause bool
}

// NewShedding returns a daemon that may be late by the given time.
func NewShedding(allowed time.Duration) *Shedding {
	return &Shedding{allowed: allowed}
}

// Measured takes how late the daemon is with its work.
func (s *Shedding) Measured(late time.Duration) {
	if late < s.allowed {
		s.late, s.afterAPause = 0, false
		s.part = max(0, s.part-decrease*Period.Seconds())
		return
	}
	if late >= paused && s.late == 0 && !s.afterAPause {
		s.afterAPause = true
		return
	}
	if s.late++; s.late < lateInARow {
		return
	}
	urgent := min(float64(late)/float64(s.allowed), mostUrgent)
	since := min(Period+late, time.Second)
	s.part = min(most, s.part+increase*urgent*since.Seconds())
}

// Part returns the part of the requests to turn away, from 0 to 1.
func (s *Shedding) Part() float64 {
	return s.part
}
