package gracefulstop

import (
	"slices"
	"time"
)

const (
	// maxLengths is the number of calls that are remembered of each kind, and
	// lengthLifetime how long each is.
	maxLengths     = 64
	lengthLifetime = 30 * time.Second
	// minLengths is the number of calls that an estimate needs.
	minLengths = 5
	// maxKinds bounds the kinds of calls that are remembered.
	maxKinds = 256
	// maxRest bounds estimates, which callers' sizes may make as large as they like.
	maxRest = 24 * time.Hour
)

// Length is how long a call with a complete answer took.
type Length struct {
	// Waited is the time until the request was sent to a backend server, FirstByte from there
	// to the beginning of the answer, and Rest to its end.
	Waited, FirstByte, Rest time.Duration
	// Units is the size of the answer that the caller asked for, such as tokens; zero counts
	// as one.
	Units int
}

// Estimate is how long a call will take.
type Estimate struct {
	// Wait is the median time until the request is sent.
	Wait time.Duration
	// Longest is the longest time from there to the end of the answer.
	Longest time.Duration
}

// Running is how long calls of one kind have run that have not ended yet: the calls that have
// ended tell late that others take longer.
type Running struct {
	longest time.Duration
	// slowest is the longest time per unit of the answer.
	slowest time.Duration
}

// Include adds a call that was sent that long ago.
func (r *Running) Include(units int, sinceSent time.Duration) {
	r.longest = max(r.longest, sinceSent)
	r.slowest = max(r.slowest, sinceSent/time.Duration(max(units, 1)))
}

// IncludeRunning raises the longest time of a call whose answer has so many units to that of the
// calls that run, larger ones in proportion.
func (e *Estimate) IncludeRunning(running Running, units int) {
	ofPace := float64(running.slowest) * float64(max(units, 1))
	e.Longest = max(e.Longest, time.Duration(min(ofPace, float64(running.longest))))
}

type recordedLength struct {
	Length
	at time.Time
}

// restOf returns how long the rest of an answer of another size takes at the same pace.
func (l *recordedLength) restOf(units int) time.Duration {
	rest := l.Rest.Seconds() * float64(units) / float64(l.Units)
	return time.Duration(min(rest, maxRest.Seconds()) * float64(time.Second))
}

// Lengths remembers how long the latest calls of each kind took. Use NewLengths.
type Lengths[K comparable] struct {
	kinds map[K]*lengthsOfKind
}

// lengthsOfKind is a ring of the latest lengths.
type lengthsOfKind struct {
	ring []recordedLength
	next int
	// recordedAt is when the last length was recorded.
	recordedAt time.Time
}

// NewLengths returns a memory without calls.
func NewLengths[K comparable]() *Lengths[K] {
	return &Lengths[K]{kinds: make(map[K]*lengthsOfKind)}
}

// Record remembers the length of a call that has ended.
func (l *Lengths[K]) Record(now time.Time, kind K, length Length) {
	known, ok := l.kinds[kind]
	if !ok {
		if len(l.kinds) >= maxKinds {
			l.forgetOldestKind()
		}
		known = &lengthsOfKind{}
		l.kinds[kind] = known
	}
	length.Units = max(length.Units, 1)
	known.recordedAt = now
	if recorded := (recordedLength{Length: length, at: now}); len(known.ring) < maxLengths {
		known.ring = append(known.ring, recorded)
	} else {
		known.ring[known.next] = recorded
		known.next = (known.next + 1) % maxLengths
	}
}

func (l *Lengths[K]) forgetOldestKind() {
	var oldest K
	var oldestAt time.Time
	for kind, known := range l.kinds {
		if oldestAt.IsZero() || known.recordedAt.Before(oldestAt) {
			oldest, oldestAt = kind, known.recordedAt
		}
	}
	delete(l.kinds, oldest)
}

// Estimate returns how long a call of the kind will take whose caller asks for an answer of
// the given size, and false if too few calls are known.
//
// The longest time to the first byte and the slowest pace are taken from different calls, so
// that the estimate is higher than any of the calls where they vary.
func (l *Lengths[K]) Estimate(now time.Time, kind K, units int) (Estimate, bool) {
	known, ok := l.kinds[kind]
	if !ok {
		return Estimate{}, false
	}
	units = max(units, 1)
	var waits []time.Duration
	var longestFirst, longestRest time.Duration
	for _, recorded := range known.ring {
		if now.Sub(recorded.at) > lengthLifetime {
			continue
		}
		waits = append(waits, recorded.Waited)
		longestFirst = max(longestFirst, recorded.FirstByte)
		longestRest = max(longestRest, recorded.restOf(units))
	}
	if len(waits) < minLengths {
		return Estimate{}, false
	}
	slices.Sort(waits)
	return Estimate{Wait: waits[len(waits)/2], Longest: longestFirst + longestRest}, true
}
