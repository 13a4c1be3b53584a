package admission

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

func TestTargetsAreOrderedByDistance(t *testing.T) {
	self := ports.VM{Name: "me", Domain: "d1", Region: "r1"}
	server := []ports.VM{{Name: "server"}}
	targets := Targets(self, []ports.ShardView{
		{ID: "far", Domain: "d3", Region: "r2", Owner: "c", Servers: server},
		{ID: "near", Domain: "d1", Region: "r1", Owner: "b", Servers: server},
		{ID: "region", Domain: "d2", Region: "r1", Owner: "a", Servers: server},
		{ID: "both", Domain: "d2", Region: "r1", Owner: "b", Servers: server},
		{ID: "leaving", Domain: "d1", Region: "r1", Owner: "e", Servers: []ports.VM{{Leaving: true}}},
		{ID: "orphan", Domain: "d1", Region: "r1", Servers: server},
	})
	want := []Target{{"b", SameDomain}, {"a", SameRegion}, {"c", CrossRegion}}
	if len(targets) != len(want) {
		t.Fatalf("targets are %v, want %v", targets, want)
	}
	for i := range want {
		if targets[i] != want[i] {
			t.Errorf("target %d is %v, want %v", i, targets[i], want[i])
		}
	}
}

func TestDemandReachesDistantOwnersAfterWaiting(t *testing.T) {
	cases := []struct {
		name     string
		distance Distance
		nearest  Distance
		waited   time.Duration
		want     bool
	}{
		{"nearest at once", SameDomain, SameDomain, 0, true},
		{"same region not at once", SameRegion, SameDomain, 0, false},
		{"same region after its delay", SameRegion, SameDomain, sameRegionDemandDelay, true},
		{"other regions not after the delay of the same region", CrossRegion, SameDomain, sameRegionDemandDelay, false},
		{"other regions after their delay", CrossRegion, SameDomain, crossRegionDemandDelay, true},
		{"other regions at once when nothing is nearer", CrossRegion, CrossRegion, 0, true},
	}
	for _, c := range cases {
		if got := ShouldSendDemand(Target{Owner: "o", Distance: c.distance}, c.nearest, c.waited); got != c.want {
			t.Errorf("%s: demand sent %v, want %v", c.name, got, c.want)
		}
	}
}
