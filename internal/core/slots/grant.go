package slots

import (
	"time"

	"hawthornstream/internal/ports"
)

// GrantBatch is the grants to one entry that are sent in one message.
type GrantBatch struct {
	Entry ports.DaemonID
	// Sequence numbers the batches to the entry from 1.
	Sequence uint64
	Grants   []Grant
}

// Grant grants free slots until no slot is free or no demand is left.
func (o *Owner) Grant(now time.Time) []GrantBatch {
	batches := make(map[ports.DaemonID]*GrantBatch)
	var order []ports.DaemonID
	for {
		s := o.emptiestServer(now)
		if s == nil {
			break
		}
		chosen := o.chooseDemand(now)
		if chosen.demand == nil {
			break
		}
		batch, ok := batches[chosen.entry]
		if !ok {
			e := o.entry(chosen.entry)
			e.lastSequence++
			batch = &GrantBatch{Entry: chosen.entry, Sequence: e.lastSequence}
			batches[chosen.entry] = batch
			order = append(order, chosen.entry)
		}
		batch.Grants = append(batch.Grants, o.grantSlot(now, chosen, s, batch.Sequence))
	}
	if len(order) > 0 {
		o.updateWaiting()
	}
	result := make([]GrantBatch, 0, len(order))
	for _, id := range order {
		result = append(result, *batches[id])
	}
	return result
}

func (o *Owner) grantSlot(now time.Time, chosen candidate, s *server, sequence uint64) Grant {
	workspace := chosen.demand.Workspace
	estimate := 0.0
	if !o.options.NoEstimate {
		estimate = o.estimator.Estimate(workspace, chosen.demand.Class, 0)
	}
	o.ledger.RecordServed(workspace)
	o.ledger.Charge(workspace, estimate)
	o.lastSlotID++
	key := Key{Entry: chosen.entry, Granter: o.self, GranterIncarnation: o.incarnation, ID: o.lastSlotID}
	class := chosen.demand.Class
	granted := &slot{
		key: key, workspace: workspace, class: class, server: s,
		estimate: estimate, charged: estimate, sequence: sequence, grantedAt: now,
		firstTokenBy: chosen.demand.FirstTokenBy,
	}
	o.slots[key] = granted
	o.markInUse(granted)
	e := o.entry(chosen.entry)
	e.unacked[key] = granted
	e.inFlight = append(e.inFlight, inFlightGrant{sequence: sequence, workspace: workspace})
	if e.unresponsive {
		o.invalidateCandidates()
	}
	o.decrementDemand(chosen.entry, chosen.demand)
	return Grant{
		ID: o.lastSlotID, Entry: chosen.entry, Workspace: workspace, Class: class,
		Server: s.vm, Shard: s.shard, Estimate: estimate,
	}
}
