package registration

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testSeed = 20261204

var start = time.Unix(1000, 0)

// newWritten returns an entry that was written in era 1.
func newWritten() *Entry {
	e := New(start)
	e.RecordSuccess(start, 1, 0)
	return e
}

func isDue(e *Entry, now time.Time) bool {
	at, due := e.Due()
	return due && !now.Before(at)
}

func TestFirstWriteIsDueAtOnceWhateverTheEra(t *testing.T) {
	e := New(start)
	e.ObserveEra(start, 7, 0.9)
	if !isDue(e, start) {
		t.Error("the first write is delayed")
	}
	e.RecordSuccess(start, 7, 0)
	e.ObserveEra(start, 7, 0)
	if _, due := e.Due(); due {
		t.Error("the entry is due again without a new era")
	}
}

func TestEntryIsDueUntilWrittenInNewEra(t *testing.T) {
	e := newWritten()
	e.ObserveEra(start, 2, 0.5)
	if isDue(e, start) || !isDue(e, start.Add(RewriteSpread)) {
		t.Fatal("the write is not spread")
	}
	for range 20 {
		e.RecordFailure(start, 0.99)
		if at, due := e.Due(); !due || at.Sub(start) > 2*maxRetryDelay {
			t.Fatalf("after a failure due %v in %v", due, at.Sub(start))
		}
	}
	e.RecordSuccess(start, 2, 0)
	if _, due := e.Due(); due {
		t.Error("the entry is due after its write")
	}
}

// The store is restored again while a write is on its way: the second copy lacks the
// entry too.
func TestNewEraDuringAWriteStartsItAgain(t *testing.T) {
	e := newWritten()
	e.ObserveEra(start, 2, 0)
	e.ObserveEra(start, 3, 0)
	e.RecordSuccess(start, 2, 0)
	if !isDue(e, start) {
		t.Fatal("a write in an era that is over counts")
	}
	e.RecordSuccess(start, 3, 0)
	if _, due := e.Due(); due {
		t.Error("the entry is due after its write in the last era")
	}
}

// All daemons of a large fleet learn of a restore within the time between two reads of
// the store, or at once; the store accepts 400 write calls a second of all of them. It
// may answer only after a while, or be restored again.
func TestFleetStaysUnderTheStoresWriteRate(t *testing.T) {
	const (
		daemons = 195
		step    = 10 * time.Millisecond
		limit   = 250
	)
	for name, fleet := range map[string]struct{ learnedWithin, downFor, secondRestoreAt time.Duration }{
		"learned at once":    {},
		"learned over reads": {learnedWithin: 5 * time.Second},
		"down for a while":   {downFor: 20 * time.Second},
		"restored twice":     {secondRestoreAt: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(testSeed, 1))
			entries := make([]*Entry, daemons)
			learnedAt := make([]time.Time, daemons)
			for i := range entries {
				entries[i] = newWritten()
				learnedAt[i] = start.Add(time.Duration(random.Float64() * float64(fleet.learnedWithin)))
			}
			calls := make(map[int64]int)
			const end = 40 * time.Second
			for elapsed := time.Duration(0); elapsed < end; elapsed += step {
				now := start.Add(elapsed)
				era := uint64(2)
				if fleet.secondRestoreAt > 0 && elapsed >= fleet.secondRestoreAt {
					era = 3
				}
				for i, e := range entries {
					if now.Before(learnedAt[i]) {
						continue
					}
					e.ObserveEra(now, era, random.Float64())
					if !isDue(e, now) {
						continue
					}
					if elapsed < fleet.downFor {
						calls[int64(elapsed/time.Second)]++
						e.RecordFailure(now, random.Float64())
						continue
					}
					// The create conflicts with the entry in the copy, which is then
					// replaced.
					calls[int64(elapsed/time.Second)] += 2
					e.RecordSuccess(now, era, random.Float64())
				}
			}
			for second, count := range calls {
				if count > limit {
					t.Errorf("%d write calls in second %d, want at most %d", count, second, limit)
				}
			}
			for i, e := range entries {
				if _, due := e.Due(); due {
					t.Errorf("daemon %d has not written its entry", i)
				}
			}
		})
	}
}
