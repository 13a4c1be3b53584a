package membership

import (
	"testing"
	"time"
)

// All daemons of a fleet start at once and learn of each other by and by.
func TestFleetThatStartsIsNeverWithoutWatcher(t *testing.T) {
	policy := WatchPolicy{MaxAllWatching: 12, PerDomain: 3}
	for _, fleet := range []int{2, 7, 60, 195} {
		for known := 2; known <= fleet; known++ {
			for _, sinceStart := range []time.Duration{0, DiscoveryPeriod - 1, DiscoveryPeriod, SettlingPeriod, time.Hour} {
				if !policy.IsWatcher(sinceStart, known, 0) {
					t.Fatalf("of %d daemons, the first of its domain does not watch after %v", fleet, sinceStart)
				}
			}
		}
	}
}

// Every watch is a call to the platform: fleets that start make no more of them than others.
func TestFleetThatStartsHasFewWatchers(t *testing.T) {
	policy := WatchPolicy{MaxAllWatching: 12, PerDomain: 3}
	for _, c := range []struct {
		fleet, perDomain int
		sinceStart       time.Duration
		want             int
	}{
		{7, 3, 0, 1}, {7, 3, SettlingPeriod - 1, 1}, {7, 3, SettlingPeriod, 3},
		{195, 33, 0, 1}, {195, 33, SettlingPeriod - 1, 1}, {195, 33, SettlingPeriod, 3},
	} {
		watchers := 0
		for rank := range c.perDomain {
			if policy.IsWatcher(c.sinceStart, c.fleet, rank) {
				watchers++
			}
		}
		if watchers != c.want {
			t.Errorf("%+v: %d watch in a failure domain", c, watchers)
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
