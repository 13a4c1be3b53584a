package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// Lifetime is how long an origin is kept after the first event of its stream. It
	// exceeds the time that callers wait for a stream with all their tries.
	Lifetime = 60 * time.Second
	// MaxEntries is the maximum number of origins in a table.
	MaxEntries = 1 << 16
)

// AttemptKey is the hash of the ID of a caller's attempt.
type AttemptKey uint64

// KeyOf returns the key of an attempt.
func KeyOf(attempt ports.RequestID) AttemptKey {
	return AttemptKey(xxhash.Sum64String(string(attempt)))
}

// Origin is where a stream began.
type Origin struct {
	Service ports.ServiceName
	// SoftwareVersion is that of the backend server that sent the first event.
	SoftwareVersion string
}

// Table holds the origins of streams for Lifetime after they were recorded. It is not
// safe for concurrent use.
type Table struct {
	maxEntries int
	origins    map[AttemptKey]Origin
	// records holds the keys in origins, oldest first from index first on.
	records []tableRecord
	first   int
}

type tableRecord struct {
	key        AttemptKey
	recordedAt time.Time
}

// NewTable returns an empty table for at most maxEntries origins.
func NewTable(maxEntries int) *Table {
	return &Table{maxEntries: maxEntries, origins: make(map[AttemptKey]Origin)}
}

// Record adds the origin of a stream. The first one that is recorded for an attempt
// stays. The oldest origin is dropped when the table is full.
func (t *Table) Record(now time.Time, attempt AttemptKey, origin Origin) {
	t.expire(now)
	if _, known := t.origins[attempt]; known {
		return
	}
	if len(t.origins) >= t.maxEntries {
		t.dropOldest()
	}
	t.origins[attempt] = origin
	t.records = append(t.records, tableRecord{key: attempt, recordedAt: now})
}

// LookUp returns the origin of the stream that an attempt began. It returns false if
// the origin is not known.
func (t *Table) LookUp(now time.Time, attempt AttemptKey) (Origin, bool) {
	t.expire(now)
	origin, known := t.origins[attempt]
	return origin, known
}

// Len returns the number of origins, expired ones included that no call has dropped
// yet.
func (t *Table) Len() int {
	return len(t.origins)
}

func (t *Table) expire(now time.Time) {
	for t.first < len(t.records) && now.Sub(t.records[t.first].recordedAt) >= Lifetime {
		t.dropOldest()
	}
}

// dropOldest drops the oldest origin. It releases the dropped part of records once that
// is the greater part.
func (t *Table) dropOldest() {
	delete(t.origins, t.records[t.first].key)
	t.first++
	if 2*t.first > len(t.records) {
		t.records = append([]tableRecord(nil), t.records[t.first:]...)
		t.first = 0
	}
}
