package streamorigin

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxObservationGap is the longest time between two observations of a list of
	// servers that leaves a view unbroken: the daemon may have been paused.
	maxObservationGap = 5 * time.Second
	// eraSettleTime is how long an era of the store must have lasted before a view that
	// spans its beginning confirms a record. By then all daemons have noticed the era and
	// added the versions that they know, and servers have written their entries again.
	eraSettleTime = 10 * time.Second
)

// VersionView is what one daemon knows about the software versions at which streams of
// one service may be in progress: from its list of servers, and from the record in the
// store as this daemon read or wrote it last. It is not safe for concurrent use.
type VersionView struct {
	// listedAt is when the list showed a version last, for Lifetime.
	listedAt map[string]time.Time
	// watchedSince is since when the list was fresh at each observation, with no gap;
	// zero if it isn't fresh.
	watchedSince, observedAt time.Time
	// era is that of the store which the list is from.
	era      uint64
	eraSince time.Time
	// eraChanged is true if the store was restored since this daemon first observed it.
	eraChanged bool
	// record is the record as this daemon read or wrote it last. It is not known after
	// anything that another daemon may have changed it for unnoticed.
	record        Record
	isRecordKnown bool
}

// NewVersionView returns the view of a daemon that has observed no list.
func NewVersionView() *VersionView {
	return &VersionView{listedAt: make(map[string]time.Time)}
}

// ListObservation is a daemon's list of the servers of one service.
type ListObservation struct {
	// Versions are the distinct software versions of all servers in the list.
	Versions []string
	// Era is the era of the store that the list is from.
	Era uint64
	// Fresh is true if this daemon, or another one that reports its list, watches the
	// platform.
	Fresh bool
}

// Observe records what the list shows now.
func (v *VersionView) Observe(now time.Time, list ListObservation) {
	isUnbroken := list.Fresh && !v.watchedSince.IsZero() && now.Sub(v.observedAt) <= maxObservationGap
	if list.Fresh && !isUnbroken || list.Era != v.era {
		v.isRecordKnown = false
	}
	switch {
	case !list.Fresh:
		v.watchedSince = time.Time{}
	case !isUnbroken:
		v.watchedSince = now
	}
	if list.Era != v.era || v.eraSince.IsZero() {
		v.era, v.eraSince, v.eraChanged = list.Era, now, !v.eraSince.IsZero()
	}
	for _, version := range list.Versions {
		if at, listed := v.listedAt[version]; !listed || !at.Equal(v.observedAt) {
			// A daemon that had not listed it may be about to take it out of the record.
			v.isRecordKnown = false
		}
		v.listedAt[version] = now
	}
	v.observedAt = now
	maps.DeleteFunc(v.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= Lifetime })
}

// Lately returns the versions that the list has shown within Lifetime, in ascending order.
func (v *VersionView) Lately(now time.Time) []string {
	var versions []string
	for version, at := range v.listedAt {
		if now.Sub(at) < Lifetime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Possible returns the versions at which streams may be in progress as far as this daemon
// knows, in ascending order. Other versions may be possible while it has not read the
// record, and if it is cut off from the store.
func (v *VersionView) Possible(now time.Time) []string {
	if !v.isRecordKnown {
		return v.Lately(now)
	}
	return v.next(now, v.record).Versions
}

// watchedFor returns how long the view has been unbroken.
func (v *VersionView) watchedFor(now time.Time) time.Duration {
	if v.watchedSince.IsZero() || now.Sub(v.observedAt) > maxObservationGap {
		return 0
	}
	return now.Sub(v.watchedSince)
}
