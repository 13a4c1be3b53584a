package slots

import (
	"testing"
)

func TestExpiredGrantRestoresDemand(t *testing.T) {
	o := newTestOwner(t, 4)
	demands := []Demand{{Workspace: "w", Count: 1}}
	o.SetDemand("entry", 0, demands, true)
	if len(o.Grant(start)) != 1 {
		t.Fatal("nothing was granted")
	}
	later := start.Add(grantTimeout)
	o.ExpireGrants(later)
	if batches := o.Grant(later); len(batches) != 1 || len(batches[0].Grants) != 1 {
		t.Errorf("granted %v after the grant expired, want one slot", batches)
	}
}

func TestNewDemandReportReplacesRestoredDemand(t *testing.T) {
	o := newTestOwner(t, 4)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 1}}, true)
	o.Grant(start)
	later := start.Add(grantTimeout)
	o.ExpireGrants(later)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 2}}, true)
	granted := 0
	for _, batch := range o.Grant(later) {
		granted += len(batch.Grants)
	}
	if granted != 2 {
		t.Errorf("granted %d slots, want 2", granted)
	}
}

func TestUnresponsiveEntryGetsOneGrantAtATime(t *testing.T) {
	o := newTestOwner(t, 8)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 6}}, true)
	o.Grant(start)
	later := start.Add(grantTimeout)
	if expired := o.ExpireGrants(later); expired != 6 {
		t.Fatalf("%d grants expired, want 6", expired)
	}
	probe := o.Grant(later)
	if len(probe) != 1 || len(probe[0].Grants) != 1 || len(o.Grant(later)) != 0 {
		t.Fatalf("an unresponsive entry was granted %v, want one slot", probe)
	}
	o.AckGrants(later, "entry", probe[0].Sequence)
	granted := 0
	for _, batch := range o.Grant(later) {
		granted += len(batch.Grants)
	}
	if granted == 0 {
		t.Error("an entry that responds again gets no grant")
	}
}
