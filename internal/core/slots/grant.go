package slots

import (
	"time"

	"hawthornstream/internal/ports"
)

// Batch is the grants to one entry that travel together.
type Batch struct {
	Entry    ports.DaemonID
	Sequence uint64
	Grants   []Grant
}

// Grant gives out free slots until no slot is free or nobody waits.
func (o *Owner) Grant(now time.Time) []Batch {
	batches := make(map[ports.DaemonID]*Batch)
	var order []ports.DaemonID
	for {
		s := o.freest(now)
		if s == nil {
			break
		}
		chosen := o.choose(now)
		if chosen.demand == nil {
			break
		}
		batch, ok := batches[chosen.entry]
		if !ok {
			e := o.entry(chosen.entry)
			e.batch++
			batch = &Batch{Entry: chosen.entry, Sequence: e.batch}
			batches[chosen.entry] = batch
			order = append(order, chosen.entry)
		}
		batch.Grants = append(batch.Grants, o.grant(now, chosen, s, batch.Sequence))
	}
	if len(order) > 0 {
		o.updateWaiting()
	}
	result := make([]Batch, 0, len(order))
	for _, id := range order {
		result = append(result, *batches[id])
	}
	return result
}

func (o *Owner) grant(now time.Time, chosen candidate, s *server, batch uint64) Grant {
	workspace := chosen.demand.Workspace
	estimate := 0.0
	if !o.options.NoEstimate {
		estimate = o.estimator.Estimate(workspace, chosen.demand.Class, 0)
	}
	o.ledger.RecordServed(workspace)
	o.ledger.Charge(workspace, estimate)
	o.lastID++
	key := Key{Entry: chosen.entry, Granter: o.self, Run: o.run, ID: o.lastID}
	class := chosen.demand.Class
	granted := &slot{
		key: key, workspace: workspace, class: class, server: s,
		estimate: estimate, charged: estimate, batch: batch, grantedAt: now,
		deadline: chosen.demand.Deadline,
	}
	o.slots[key] = granted
	o.use(granted)
	e := o.entry(chosen.entry)
	e.unconfirmed[key] = granted
	e.unseen = append(e.unseen, unseenGrant{batch: batch, workspace: workspace})
	if e.silent {
		o.forgetChoices()
	}
	o.take(chosen.entry, chosen.demand)
	return Grant{
		ID: o.lastID, Entry: chosen.entry, Workspace: workspace, Class: class,
		Server: s.vm, Shard: s.shard, Estimate: estimate,
	}
}
