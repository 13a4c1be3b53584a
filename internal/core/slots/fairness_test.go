package slots

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

// maxServiceGap returns the largest service gap that the simulation may show, in
// cost units. It grows with the number of slots of each workspace, because the
// costs of the runs in progress are not known yet. The documented bound, all slots
// times the largest cost, is far above it.
func maxServiceGap(workspaces, slots int) float64 {
	return maxCost * (2 + float64(slots)/float64(8*workspaces))
}

func TestGapOfBackloggedWorkspacesIsBounded(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("gap, starvation and idle slots", prop.ForAllNoShrink(
		func(seed uint64, workspaces, slots int) string {
			sim := newBacklogSimulation(seed, fairshare.Options{}, slots, mixedCostScale(workspaces))
			sim.runCalls(1500)
			switch {
			case sim.serviceGap() > maxServiceGap(workspaces, slots):
				return "gap too large"
			case sim.idleSlots > 0:
				return "slots idle while work waits"
			case sim.hasStarvedWorkspace():
				return "a workspace starved"
			}
			return ""
		},
		gen.UInt64(), gen.IntRange(2, 16), gen.IntRange(1, 96)))
	properties.TestingRun(t)
}

func (sim *backlogSimulation) hasStarvedWorkspace() bool {
	for workspace := range sim.costScale {
		if sim.servedCost[workspace] == 0 {
			return true
		}
	}
	return false
}

func TestUrgentCallOvertakesOnlyWithinHalfTheLargestCost(t *testing.T) {
	o := newTestOwner(t, 4)
	o.largestCost = 100
	soon := Demand{Workspace: "soon", Count: 1, FirstTokenBy: start.Add(urgentWithin / 2)}
	late := Demand{Workspace: "late", Count: 1, FirstTokenBy: start.Add(time.Hour)}
	o.SetDemand("entry", 0, []Demand{soon, late}, true)
	o.ledger.Charge("soon", 50)
	if chosen := o.chooseDemand(start); chosen.demand.Workspace != "soon" {
		t.Errorf("chose %s when the urgent one is 50 above the lowest level, want the urgent one", chosen.demand.Workspace)
	}
	o.ledger.Charge("soon", 1)
	if chosen := o.chooseDemand(start); chosen.demand.Workspace != "late" {
		t.Errorf("chose %s when the urgent one is 51 above the lowest level, want the lowest", chosen.demand.Workspace)
	}
}

func TestNearDemandGoesFirstOnlyWithinDistancePenalty(t *testing.T) {
	o := newTestOwner(t, 1)
	o.largestCost = 100
	o.SetDistance("far", ports.DistanceCrossRegion)
	o.SetDemand("far", 0, []Demand{{Workspace: "behind", Count: 1}}, true)
	o.SetDemand("near", 0, []Demand{{Workspace: "ahead", Count: 1}}, true)
	o.ledger.Charge("ahead", 24)
	if chosen := o.chooseDemand(start); chosen.demand.Workspace != "ahead" {
		t.Errorf("chose %s when the near one is 24 above the far one, want the near one", chosen.demand.Workspace)
	}
	o.ledger.Charge("ahead", 2)
	if chosen := o.chooseDemand(start); chosen.demand.Workspace != "behind" {
		t.Errorf("chose %s when the near one is 26 above the far one, want the far one", chosen.demand.Workspace)
	}
}

func TestFarDemandGetsSlotsWithoutNearDemand(t *testing.T) {
	o := newTestOwner(t, 4)
	o.SetDistance("far", ports.DistanceCrossRegion)
	o.SetDemand("far", 0, []Demand{{Workspace: "far", Count: 5}}, true)
	if batches := o.Grant(start); len(batches) != 1 || len(batches[0].Grants) != 4 {
		t.Error("want all 4 slots granted")
	}
}

// newTestOwner returns an owner of one server with a number of slots.
func newTestOwner(t *testing.T, slots int) *Owner {
	t.Helper()
	o := NewOwner("owner", 1, fairshare.NewLedger(fairshare.Options{}), fairshare.Options{})
	o.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, slots, start)
	o.servers["server"].window.size = float64(slots)
	return o
}
