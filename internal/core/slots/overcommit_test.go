package slots

import (
	"maps"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// newBusyOwner returns an owner whose eight slots are held by one entry at the
// given round trip, with a mean hold time of 1 second.
func newBusyOwner(t *testing.T, roundTrip time.Duration) *Owner {
	t.Helper()
	o := newTestOwner(t, 8)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 8}}, true)
	batch := o.Grant(start)[0]
	o.AckGrants(start.Add(roundTrip), "entry", batch.Sequence)
	o.meanHoldTime = time.Second
	o.SetDemand("entry", batch.Sequence, []Demand{{Workspace: "w", Count: 8}}, true)
	return o
}

func TestOvercommitIsProportionalToHandOverTime(t *testing.T) {
	cases := []struct {
		roundTrip      time.Duration
		roundingOffset float64
		want           int
	}{
		{time.Millisecond, 0.9, 0},
		{25 * time.Millisecond, 0, 0},
		{25 * time.Millisecond, 0.7, 1},
		{75 * time.Millisecond, 0, 1},
		{125 * time.Millisecond, 0, 2},
	}
	for _, c := range cases {
		o := newBusyOwner(t, c.roundTrip)
		o.servers["server"].roundingOffset = c.roundingOffset
		granted := 0
		for _, batch := range o.Grant(start) {
			granted += len(batch.Grants)
		}
		if granted != c.want {
			t.Errorf("%d slots granted beyond the window at a round trip of %v and rounding offset %v, want %d", granted, c.roundTrip, c.roundingOffset, c.want)
		}
	}
}

func TestOvercommitCoversRoundTripToServer(t *testing.T) {
	o := newTestOwner(t, 8)
	o.SetDemand("owner", 0, []Demand{{Workspace: "w", Count: 10}}, true)
	o.meanHoldTime = time.Second
	o.ObserveProbe(start, "server", true, 130*time.Millisecond)
	if batches := o.Grant(start); len(batches) != 1 || len(batches[0].Grants) != 9 {
		t.Error("want the window's 8 slots and one beyond it granted")
	}
}

func TestDelayedRepliesDoNotRaiseRoundTrip(t *testing.T) {
	var roundTrip time.Duration
	for _, measured := range []time.Duration{300 * time.Millisecond, 24 * time.Millisecond, 300 * time.Millisecond} {
		roundTrip = updateRoundTrip(roundTrip, measured)
	}
	if roundTrip > 25*time.Millisecond {
		t.Errorf("the round trip is %v, want about 24 ms", roundTrip)
	}
}

func TestInUseByEntryMatchesSlots(t *testing.T) {
	s := newLossSimulation(11)
	for range 2000 {
		s.step()
	}
	inUse := make(map[ports.VMName]map[ports.DaemonID]int)
	for _, held := range s.owner.slots {
		if held.expired {
			continue
		}
		if inUse[held.server.vm.Name] == nil {
			inUse[held.server.vm.Name] = make(map[ports.DaemonID]int)
		}
		inUse[held.server.vm.Name][held.key.Entry]++
	}
	for name, server := range s.owner.servers {
		if !maps.Equal(server.inUseByEntry, inUse[name]) {
			t.Errorf("server %s counts %v slots in use by entry, want %v", name, server.inUseByEntry, inUse[name])
		}
	}
}
