package streamorigin

import (
	"slices"
	"time"
)

// Record is what the store keeps about the streams in progress of one service, so that
// it outlives all daemons. The zero value stands for a service without a record.
type Record struct {
	// Found is false if the store has no record of the service.
	Found bool
	// Versions are the software versions that may have begun a stream in progress, in
	// ascending order.
	Versions []string
	// IsComplete is true if no other version was possible in Era of the store. A store that
	// was restored from a copy begins a new era and may lack a version that was added
	// after the copy.
	IsComplete bool
	Era        uint64
}

// equal compares what two records tell.
func (r Record) equal(other Record) bool {
	return r.Found == other.Found && r.IsComplete == other.IsComplete && r.Era == other.Era &&
		slices.Equal(r.Versions, other.Versions)
}

// RecordRead records what the store holds, as it was read or written now in an era.
func (v *VersionView) RecordRead(record Record, era uint64) {
	v.record, v.isRecordKnown = record, era == v.era
}

// NeedsRecord reports whether the record has to be read, since it is not known or has to
// be changed.
func (v *VersionView) NeedsRecord(now time.Time) bool {
	return !v.observedAt.IsZero() && (!v.isRecordKnown || !v.next(now, v.record).equal(v.record))
}

// Update returns what the record has to be changed to, and whether it has to be changed.
// rulesOut is true if the change rules out versions that were possible before it: the list
// has to be read again before that.
func (v *VersionView) Update(now time.Time, stored Record) (next Record, changes, rulesOut bool) {
	next = v.next(now, stored)
	rulesOut = stored.Found && (next.IsComplete != stored.IsComplete || next.Era != stored.Era) ||
		slices.ContainsFunc(stored.Versions, func(version string) bool { return !slices.Contains(next.Versions, version) })
	return next, !next.equal(stored), rulesOut
}

// next returns the record as this daemon would have it.
func (v *VersionView) next(now time.Time, stored Record) Record {
	versions := v.Lately(now)
	if !stored.Found && len(versions) == 0 {
		return stored
	}
	hasWatched := v.watchedFor(now) >= Lifetime
	if !hasWatched {
		versions = append(versions, stored.Versions...)
		slices.Sort(versions)
		versions = slices.Compact(versions)
	}
	next := Record{Found: true, Versions: versions, IsComplete: stored.IsComplete, Era: stored.Era}
	// In a store that was not restored meanwhile, no daemon has listed a server of a
	// service without a record.
	isFirst := !stored.Found && !v.eraChanged
	if isFirst || hasWatched && now.Sub(v.eraSince) >= eraSettleTime && v.era >= stored.Era {
		next.IsComplete, next.Era = true, v.era
	}
	return next
}
