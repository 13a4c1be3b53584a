// Package registration decides when a daemon writes its own entry to the platform's
// store: at its start, and again after the store was restored from a copy that may lack
// the entry. It has no I/O and no clock; platform uses it.
package registration

import "time"

const (
	// RewriteSpread is the time over which the daemons of a fleet spread the writes
	// of their entries after the store was restored. A write takes up to two calls,
	// and the store limits the calls of the whole fleet.
	RewriteSpread = 4 * time.Second
	// minRetryDelay and maxRetryDelay limit the mean delay after a failed write,
	// which doubles with each failure. After a restore it begins at
	// minRewriteRetryDelay, since all daemons of the fleet write.
	minRetryDelay        = 100 * time.Millisecond
	minRewriteRetryDelay = time.Second
	maxRetryDelay        = 3 * time.Second
)

// Entry is the state of a daemon's own entry. It is not safe for concurrent use.
type Entry struct {
	// era is the newest known era of the store.
	era uint64
	// written is true if the entry was written in this era, and writtenBefore if it
	// was written in any.
	written, writtenBefore bool
	dueAt                  time.Time
	retryDelay             time.Duration
}

// New returns an entry that is due at once.
func New(now time.Time) *Entry {
	return &Entry{dueAt: now, retryDelay: minRetryDelay}
}

// Due returns when the entry must be written, or false if it is written.
func (e *Entry) Due() (time.Time, bool) {
	return e.dueAt, !e.written
}

// ObserveEra records the newest era of the store. If the entry was written in an
// earlier one, it is due again, at a time that the random number in [0, 1) spreads.
func (e *Entry) ObserveEra(now time.Time, era uint64, random float64) {
	if era <= e.era {
		return
	}
	e.era = era
	if e.writtenBefore {
		e.schedule(now, random)
	}
}

// schedule makes the entry due within RewriteSpread.
func (e *Entry) schedule(now time.Time, random float64) {
	e.written = false
	e.dueAt = now.Add(time.Duration(random * float64(RewriteSpread)))
	e.retryDelay = minRewriteRetryDelay
}

// RecordSuccess records that the entry was written in the given era. If a later era is
// known, the entry stays due.
func (e *Entry) RecordSuccess(now time.Time, era uint64, random float64) {
	e.writtenBefore = true
	if era < e.era {
		e.schedule(now, random)
		return
	}
	e.era, e.written = era, true
}

// RecordFailure records that a write failed, and delays the next one by half to one and
// a half of the mean delay, as the random number in [0, 1) says.
func (e *Entry) RecordFailure(now time.Time, random float64) {
	e.dueAt = now.Add(time.Duration((0.5 + random) * float64(e.retryDelay)))
	e.retryDelay = min(2*e.retryDelay, maxRetryDelay)
}
