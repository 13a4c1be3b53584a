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
	// Era is the era of the store in which the versions were complete. A store that was
	// restored from a copy begins a new era and may lack a version that was added after
	// the copy.
	Era uint64
}

// equal compares what two records tell.
func (r Record) equal(other Record) bool {
	return r.Found == other.Found && r.Era == other.Era && slices.Equal(r.Versions, other.Versions)
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
// drops is true if the change takes the record's word for more than it had: it takes a
// version out or confirms the record. The list has to be read again before that.
func (v *VersionView) Update(now time.Time, stored Record) (next Record, changes, drops bool) {
	next = v.next(now, stored)
	drops = stored.Found && next.Era != stored.Era ||
		slices.ContainsFunc(stored.Versions, func(version string) bool { return !slices.Contains(next.Versions, version) })
	return next, !next.equal(stored), drops
}

// next returns the record as this daemon would have it.
func (v *VersionView) next(now time.Time, stored Record) Record {
	versions := v.Lately(now)
	if !stored.Found {
		if len(versions) == 0 {
			return stored
		}
		// Without a record no daemon has listed a server of the service before.
		return Record{Found: true, Versions: versions, Era: v.era}
	}
	hasWatched := v.watchedFor(now) >= Lifetime
	if !hasWatched {
		versions = append(versions, stored.Versions...)
		slices.Sort(versions)
		versions = slices.Compact(versions)
	}
	era := stored.Era
	if hasWatched && now.Sub(v.eraSince) >= eraSettleTime {
		era = max(era, v.era)
	}
	return Record{Found: true, Versions: versions, Era: era}
}
