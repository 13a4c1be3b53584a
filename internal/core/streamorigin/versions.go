package streamorigin

import "time"

const (
	// MinSingleVersionPeriod is how long the list of a service's servers must have
	// shown one software version alone, so that each stream in progress is of that
	// version. Streams are shorter than that with all their callers' tries.
	MinSingleVersionPeriod = 15 * time.Second
	// maxObservationGap is the longest time between two observations of the list
	// after which the earlier ones still count: the daemon may have been paused.
	maxObservationGap = 5 * time.Second
)

// VersionHistory records since when a daemon's list of the servers of one service has
// shown one software version alone. It is not safe for concurrent use.
type VersionHistory struct {
	version    string
	since      time.Time
	observedAt time.Time
}

// Observe records the distinct software versions of all servers that are listed now, and
// whether the list is fresh: this daemon, or another one that reports its list, watches
// the platform.
func (h *VersionHistory) Observe(now time.Time, versions []string, fresh bool) {
	isContinuous := !h.since.IsZero() && now.Sub(h.observedAt) <= maxObservationGap
	h.observedAt = now
	switch {
	case !fresh || len(versions) > 1:
		h.since = time.Time{}
	case len(versions) == 1 && (!isContinuous || versions[0] != h.version):
		h.version, h.since = versions[0], now
	}
}

// SingleVersion returns the one software version in the list and how long it has been
// the only one. The duration is zero if the list is not fresh or shows several versions.
func (h *VersionHistory) SingleVersion(now time.Time) (string, time.Duration) {
	if h.since.IsZero() || now.Sub(h.observedAt) > maxObservationGap {
		return "", 0
	}
	return h.version, now.Sub(h.since)
}
