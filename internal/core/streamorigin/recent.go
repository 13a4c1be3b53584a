package streamorigin

import "time"

// RecentVersions records which software versions of a service were seen within Lifetime:
// streams of all of them may be in progress. It is not safe for concurrent use.
type RecentVersions struct {
	seenAt map[string]time.Time
}

// Observe records that the versions were seen now.
func (r *RecentVersions) Observe(now time.Time, versions ...string) {
	if r.seenAt == nil {
		r.seenAt = make(map[string]time.Time)
	}
	for _, version := range versions {
		r.seenAt[version] = now
	}
}

// AreSeveral reports whether several versions were seen within Lifetime.
func (r *RecentVersions) AreSeveral(now time.Time) bool {
	for version, seenAt := range r.seenAt {
		if now.Sub(seenAt) >= Lifetime {
			delete(r.seenAt, version)
		}
	}
	return len(r.seenAt) > 1
}
