package membership

import (
	"testing"
	"time"
)

// All daemons of a fleet start at once and learn of each other by and by.
func TestFleetThatStartsIsNeverWithoutWatcher(t *testing.T) {
	policy := WatchPolicy{MaxAllWatching: 12, PerDomain: 3}
	for _, fleet := range []int{2, 7, 60, 195} {
		perDomain := max(1, fleet/3)
		for known := 2; known <= fleet; known++ {
			// The first of the failure domain knows a part of those that it precedes.
			for _, sinceStart := range []time.Duration{0, DiscoveryPeriod - 1, DiscoveryPeriod, time.Hour} {
				if !policy.IsWatcher(sinceStart, known, 0) {
					t.Fatalf("of %d daemons, the first of its domain does not watch after %v", fleet, sinceStart)
				}
			}
		}
		for _, sinceStart := range []time.Duration{0, time.Hour} {
			watchers := 0
			for rank := range perDomain {
				if policy.IsWatcher(sinceStart, fleet, rank) {
					watchers++
				}
			}
			want := min(perDomain, policy.PerDomain)
			if sinceStart > 0 && fleet <= policy.MaxAllWatching {
				want = perDomain
			}
			if watchers != want {
				t.Errorf("%d of %d daemons watch after %v, want %d", watchers, perDomain, sinceStart, want)
			}
		}
	}
}

// A daemon that knows no other one may be one of many that start for the first time.
func TestDaemonAloneWaitsForTheOthersBeforeItWatches(t *testing.T) {
	policy := WatchPolicy{MaxAllWatching: 12, PerDomain: 3}
	if policy.IsWatcher(DiscoveryPeriod-1, 1, 0) {
		t.Error("a daemon that knows no other one watches at once")
	}
	if !policy.IsWatcher(DiscoveryPeriod, 1, 0) {
		t.Error("a daemon that is alone does not watch")
	}
}
