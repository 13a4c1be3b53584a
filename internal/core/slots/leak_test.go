package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

// simulatedEntry is an entry that loses messages to and from the owner.
type simulatedEntry struct {
	id            ports.DaemonID
	ackedSequence uint64
	wanted        int
	held          map[Key]ports.VMName
}

// lossSimulation drives one owner with two entries through random events and
// message losses.
type lossSimulation struct {
	owner   *Owner
	random  *rand.Rand
	now     time.Time
	entries []*simulatedEntry
}

func newLossSimulation(seed uint64) *lossSimulation {
	s := &lossSimulation{
		owner:  NewOwner("owner", 1, fairshare.NewLedger(fairshare.Options{}), fairshare.Options{}),
		random: rand.New(rand.NewPCG(seed, 3)),
		now:    start,
	}
	s.owner.SetServers([]Server{
		{VM: ports.VM{Name: "one"}, Shard: "shard"},
		{VM: ports.VM{Name: "two"}, Shard: "shard"},
	}, 4, start)
	for _, id := range []ports.DaemonID{"x", "y"} {
		s.entries = append(s.entries, &simulatedEntry{id: id, held: make(map[Key]ports.VMName)})
	}
	return s
}

func (s *lossSimulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
	e := s.entries[s.random.IntN(len(s.entries))]
	switch s.random.IntN(6) {
	case 0:
		e.wanted = s.random.IntN(8)
		s.owner.SetDemand(e.id, e.ackedSequence, e.demands(), true)
	case 1:
		s.release(e)
	case 2:
		s.owner.SetHeldSlots(s.now, e.id, e.ackedSequence, e.heldSlots(), 4)
	case 3:
		s.owner.AckGrants(s.now, e.id, e.ackedSequence)
	case 4:
		s.owner.ExpireGrants(s.now)
	case 5:
		s.owner.RemoveEntry(e.id)
		clear(e.held)
		e.ackedSequence = 0
	}
	s.deliverGrants()
}

// deliverGrants delivers batches of grants, except one in three, which is lost. The
// next batch makes the entry notice the gap and report its held slots.
func (s *lossSimulation) deliverGrants() {
	for _, batch := range s.owner.Grant(s.now) {
		if s.random.IntN(3) == 0 {
			continue
		}
		for _, e := range s.entries {
			if e.id == batch.Entry {
				s.deliver(e, batch)
			}
		}
	}
}

func (s *lossSimulation) deliver(e *simulatedEntry, batch GrantBatch) {
	sequenceGap := batch.Sequence != e.ackedSequence+1
	e.ackedSequence = batch.Sequence
	for _, grant := range batch.Grants {
		key := Key{Entry: e.id, Granter: "owner", GranterIncarnation: 1, ID: grant.ID}
		if e.wanted == 0 {
			s.owner.ReturnUnused(key)
			continue
		}
		e.wanted--
		e.held[key] = grant.Server.Name
	}
	if sequenceGap {
		s.owner.SetHeldSlots(s.now, e.id, e.ackedSequence, e.heldSlots(), 4)
	}
}

// release ends one run. The report is lost one time in four.
func (s *lossSimulation) release(e *simulatedEntry) {
	for key := range e.held {
		delete(e.held, key)
		if s.random.IntN(4) > 0 {
			s.owner.Release(s.now, key, "", ports.RunReport{Cost: 10}, noCongestionThreshold)
		}
		return
	}
}

func (e *simulatedEntry) demands() []Demand {
	if e.wanted == 0 {
		return nil
	}
	return []Demand{{Workspace: "w", Count: e.wanted}}
}

func (e *simulatedEntry) heldSlots() []HeldSlot {
	var heldSlots []HeldSlot
	for key, server := range e.held {
		heldSlots = append(heldSlots, HeldSlot{Key: key, Workspace: "w", Server: server})
	}
	return heldSlots
}

// problemAtRest lets all grants expire and all entries report their held slots, and
// returns what is wrong with the count of slots in use, or "".
func (s *lossSimulation) problemAtRest() string {
	for _, e := range s.entries {
		s.owner.SetDemand(e.id, e.ackedSequence, nil, true)
	}
	s.now = s.now.Add(2 * expiredGrantRetention)
	s.owner.ExpireGrants(s.now)
	s.owner.ExpireGrants(s.now)
	held := 0
	for _, e := range s.entries {
		s.owner.SetHeldSlots(s.now, e.id, e.ackedSequence, e.heldSlots(), 4)
		held += len(e.held)
	}
	inUse := 0
	for _, server := range s.owner.servers {
		inUse += server.inUse
	}
	switch {
	case inUse > held:
		return "slots are in use that no entry holds"
	case inUse < held:
		return "slots that entries hold are not counted as in use"
	}
	return ""
}

func TestSlotsNeverLeak(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	properties := gopter.NewProperties(parameters)
	properties.Property("slots in use are those that entries hold", prop.ForAll(func(seed uint64) string {
		s := newLossSimulation(seed)
		for range 300 {
			s.step()
		}
		return s.problemAtRest()
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestExpiredGrantCountsAgainWhenAckedLate(t *testing.T) {
	o := newTestOwner(t, 1)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 2}}, true)
	first := o.Grant(start)[0]
	later := start.Add(grantTimeout)
	if o.ExpireGrants(later) != 1 || o.servers["server"].inUse != 0 {
		t.Fatal("the grant did not expire")
	}
	o.AckGrants(later, "entry", first.Sequence)
	if o.servers["server"].inUse != 1 {
		t.Error("the slot is used but not counted as in use")
	}
}

func TestNewOwnerWaitsForReportsOfHeldSlots(t *testing.T) {
	o := NewOwner("owner", 1, fairshare.NewLedger(fairshare.Options{}), fairshare.Options{})
	o.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, 1, start.Add(time.Second))
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 2}}, true)
	if len(o.Grant(start)) != 0 {
		t.Error("granted before the grace period was over")
	}
	o.SetHeldSlots(start, "other", 0, []HeldSlot{{Key: Key{Entry: "other", Granter: "old", ID: 7}, Workspace: "w", Server: "server"}}, 1)
	o.EndGracePeriod()
	if len(o.Grant(start)) != 0 {
		t.Error("granted a slot that another entry holds")
	}
}

func TestLeavingServerGetsNoGrant(t *testing.T) {
	o := newTestOwner(t, 2)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 2}}, true)
	o.SetServers([]Server{{VM: ports.VM{Name: "server", Leaving: true}, Shard: "shard"}}, 2, start)
	if len(o.Grant(start)) != 0 {
		t.Error("granted a slot of a leaving server")
	}
}

func TestDemandExcludesGrantsInFlight(t *testing.T) {
	o := newTestOwner(t, 4)
	demands := []Demand{{Workspace: "w", Count: 2}}
	o.SetDemand("entry", 0, demands, true)
	first := o.Grant(start)[0]
	o.SetDemand("entry", first.Sequence-1, demands, true)
	if batches := o.Grant(start); len(batches) != 0 {
		t.Errorf("granted %d batches to calls whose grants are in flight", len(batches))
	}
	o.SetDemand("entry", first.Sequence, demands, true)
	if batches := o.Grant(start); len(batches) != 1 || len(batches[0].Grants) != 2 {
		t.Error("want two grants for two more calls")
	}
}

func TestExpiredGrantThatRanIsChargedOnce(t *testing.T) {
	o := newTestOwner(t, 1)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 1}}, true)
	grant := o.Grant(start)[0].Grants[0]
	o.ExpireGrants(start.Add(grantTimeout))
	key := Key{Entry: "entry", Granter: "owner", GranterIncarnation: 1, ID: grant.ID}
	o.Release(start.Add(grantTimeout), key, "", ports.RunReport{Cost: 100}, noCongestionThreshold)
	if o.ledger.Level("w") != 100 {
		t.Errorf("charged %v, want 100", o.ledger.Level("w"))
	}
}

func TestOwnerWithoutServersDropsDemand(t *testing.T) {
	o := newTestOwner(t, 1)
	o.SetDemand("entry", 0, []Demand{{Workspace: "w", Count: 5}}, true)
	o.SetServers(nil, 1, start)
	o.SetDemand("entry", 0, []Demand{{Workspace: "early", Count: 1}}, false)
	if len(o.ledger.Levels()) != 0 {
		t.Error("a workspace counts as waiting at a daemon that owns no server")
	}
	o.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, 1, start)
	levels := o.ledger.Levels()
	if _, waits := levels["early"]; !waits {
		t.Error("demand that arrived before the servers is lost")
	}
	if _, waits := levels["w"]; waits {
		t.Error("demand from before the servers were lost remains")
	}
}
