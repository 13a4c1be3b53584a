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

// gapBound is the largest gap allowed to the driver's runs, in cost units. It
// grows with the slots that one workspace has at a time, because the costs that
// run there are not known yet. The stated bound, all slots times the largest
// cost, is far above it.
func gapBound(workspaces, slots int) float64 {
	return costLimit * (2 + float64(slots)/float64(8*workspaces))
}

func TestGapOfBackloggedWorkspacesIsBounded(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("gap, starvation and idle slots", prop.ForAllNoShrink(
		func(seed uint64, workspaces, slots int) string {
			d := newDriver(seed, fairshare.Options{}, slots, mixedScale(workspaces))
			d.run(1500)
			switch {
			case d.gap() > gapBound(workspaces, slots):
				return "gap too large"
			case d.idle > 0:
				return "slots idle while work waits"
			case d.starved():
				return "a workspace starved"
			}
			return ""
		},
		gen.UInt64(), gen.IntRange(2, 16), gen.IntRange(1, 96)))
	properties.TestingRun(t)
}

func (d *driver) starved() bool {
	for workspace := range d.scale {
		if d.service[workspace] == 0 {
			return true
		}
	}
	return false
}

func TestUrgentRequestOvertakesOnlyWithinHalfTheLargestCost(t *testing.T) {
	o := ownerOf(t, 4)
	o.largest = 100
	soon := Demand{Workspace: "soon", Count: 1, Deadline: start.Add(urgentWithin / 2)}
	late := Demand{Workspace: "late", Count: 1, Deadline: start.Add(time.Hour)}
	o.SetDemand("entry", 0, []Demand{soon, late}, true)
	o.ledger.Charge("soon", 50)
	if chosen := o.choose(start); chosen.demand.Workspace != "soon" {
		t.Errorf("chose %s at a lead of 50, want the urgent one", chosen.demand.Workspace)
	}
	o.ledger.Charge("soon", 1)
	if chosen := o.choose(start); chosen.demand.Workspace != "late" {
		t.Errorf("chose %s at a lead of 51, want the lowest", chosen.demand.Workspace)
	}
}

func TestNearDemandGoesFirstWithinTheSlackOnly(t *testing.T) {
	o := ownerOf(t, 1)
	o.largest = 100
	o.SetDistance("far", ports.DistanceCrossRegion)
	o.SetDemand("far", 0, []Demand{{Workspace: "behind", Count: 1}}, true)
	o.SetDemand("near", 0, []Demand{{Workspace: "ahead", Count: 1}}, true)
	o.ledger.Charge("ahead", 24)
	if chosen := o.choose(start); chosen.demand.Workspace != "ahead" {
		t.Errorf("chose %s at a lead of 24, want the near one", chosen.demand.Workspace)
	}
	o.ledger.Charge("ahead", 2)
	if chosen := o.choose(start); chosen.demand.Workspace != "behind" {
		t.Errorf("chose %s at a lead of 26, want the one behind", chosen.demand.Workspace)
	}
}

func TestFarDemandTakesSlotsThatNobodyNearWants(t *testing.T) {
	o := ownerOf(t, 4)
	o.SetDistance("far", ports.DistanceCrossRegion)
	o.SetDemand("far", 0, []Demand{{Workspace: "far", Count: 5}}, true)
	if batches := o.Grant(start); len(batches) != 1 || len(batches[0].Grants) != 4 {
		t.Error("want all four slots granted")
	}
}

// ownerOf returns an owner of one server with a number of slots.
func ownerOf(t *testing.T, slots int) *Owner {
	t.Helper()
	o := NewOwner("owner", 1, fairshare.NewLedger(fairshare.Options{}), fairshare.Options{})
	o.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, slots, start)
	o.servers["server"].window.size = float64(slots)
	return o
}
