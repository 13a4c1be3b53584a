package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// Line holds the calls of one service that wait for room at this daemon, and measures how
// fast those of each workspace leave it. It is not safe for concurrent use.
type Line[C any] struct {
	// calls are ordered by FirstTokenBy, then by arrival.
	calls []*Waiting[C]
	// begun is the number of calls that continue an answer.
	begun  int
	drains map[ports.WorkspaceID]*drain
}

// Waiting is one call in a Line.
type Waiting[C any] struct {
	Call      C
	Workspace ports.WorkspaceID
	// FirstTokenBy is the class's target time for the first byte of the answer.
	FirstTokenBy time.Time
	// Demand is what the call asks for: tokens of an engine, or one call.
	Demand float64
	// HasBegun says that the call continues an answer that has begun.
	HasBegun bool
}

// NewLine returns an empty line.
func NewLine[C any]() *Line[C] {
	return &Line[C]{drains: make(map[ports.WorkspaceID]*drain)}
}

// First returns the call with the earliest FirstTokenBy. The line must not be empty.
func (l *Line[C]) First() *Waiting[C] {
	return l.calls[0]
}

// Len returns the number of calls that wait.
func (l *Line[C]) Len() int {
	return len(l.calls)
}

// Join adds a call.
func (l *Line[C]) Join(now time.Time, call *Waiting[C]) {
	at, _ := slices.BinarySearchFunc(l.calls, call, func(a, b *Waiting[C]) int {
		return cmp.Or(a.FirstTokenBy.Compare(b.FirstTokenBy), -1)
	})
	l.calls = slices.Insert(l.calls, at, call)
	if call.HasBegun {
		l.begun++
	}
	d, ok := l.drains[call.Workspace]
	if !ok {
		d = &drain{updatedAt: now}
		l.drains[call.Workspace] = d
	}
	d.advance(now)
	d.calls++
	d.waiting += call.Demand
}

// Leave removes a call, which was sent to a server if served is true. It does nothing if the
// call is not in the line.
func (l *Line[C]) Leave(now time.Time, call *Waiting[C], served bool) {
	at := slices.Index(l.calls, call)
	if at < 0 {
		return
	}
	l.calls = slices.Delete(l.calls, at, at+1)
	if call.HasBegun {
		l.begun--
	}
	d := l.drains[call.Workspace]
	d.advance(now)
	d.calls--
	d.waiting -= call.Demand
	if served {
		d.served += call.Demand
	}
	if d.calls == 0 {
		delete(l.drains, call.Workspace)
	}
}

// InOrder returns the calls in the order in which they get room: those that have begun,
// then those of workspaces within their share, then those of the others, least overuse
// first; of these, the earliest FirstTokenBy first. The result may be kept.
func (l *Line[C]) InOrder(overuse func(ports.WorkspaceID) float64) []*Waiting[C] {
	byRank := make(map[float64][]*Waiting[C])
	ranks := make(map[ports.WorkspaceID]float64, len(l.drains))
	for workspace := range l.drains {
		ranks[workspace] = max(overuse(workspace), 1)
	}
	for _, call := range l.calls {
		rank := ranks[call.Workspace]
		if call.HasBegun {
			rank = 0
		}
		byRank[rank] = append(byRank[rank], call)
	}
	ordered := make([]*Waiting[C], 0, len(l.calls))
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		ordered = append(ordered, byRank[rank]...)
	}
	return ordered
}

// NeedsRoom reports whether none of the calls continues an answer that has begun.
func (l *Line[C]) NeedsRoom() bool {
	return l.begun == 0
}

// Waiters returns the number of calls of each workspace that wait.
func (l *Line[C]) Waiters() map[ports.WorkspaceID]int {
	counts := make(map[ports.WorkspaceID]int, len(l.drains))
	for workspace, d := range l.drains {
		counts[workspace] = d.calls
	}
	return counts
}

// ExpectedWait returns how long the calls of a workspace that wait take to leave the line
// at the measured rate; zero while nothing is known of the rate.
func (l *Line[C]) ExpectedWait(now time.Time, workspace ports.WorkspaceID) time.Duration {
	d, ok := l.drains[workspace]
	if !ok {
		return 0
	}
	d.advance(now)
	return d.expectedWait()
}

// drain measures how fast the calls of a workspace leave a line while some wait.
type drain struct {
	// waiting is the demand of the calls that wait.
	waiting float64
	calls   int
	// served is an exponentially decaying sum of the demand that was sent to servers, and
	// seconds the time in which that happened, with the same decay.
	served, seconds float64
	updatedAt       time.Time
}

func (d *drain) advance(now time.Time) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	remaining := math.Exp(-elapsed / rateDecayTime.Seconds())
	d.served *= remaining
	d.seconds = d.seconds*remaining + rateDecayTime.Seconds()*(1-remaining)
	d.updatedAt = now
}

// expectedWait assumes that the next call is about to leave: after the first ones, the rate
// is known by one call only.
func (d *drain) expectedWait() time.Duration {
	if d.served <= 0 {
		return 0
	}
	next := d.waiting / float64(d.calls)
	return min(secondsToDuration(d.waiting*d.seconds/(d.served+next)), maxRetryAfter)
}
