package slots

import (
	"time"

	"hawthornstream/internal/ports"
)

// CongestionThresholdFunc returns the time to the first byte beyond which a server
// counts as congested for a class, or zero for none.
type CongestionThresholdFunc func(ports.ClassName) time.Duration

// Release frees a slot after a run. It charges the rest of the run's cost and
// applies what the report says about the server. class is the class of the call
// that used the slot, empty when it is the granted one.
func (o *Owner) Release(now time.Time, key Key, class ports.ClassName, report ports.RunReport, congestionThreshold CongestionThresholdFunc) {
	held, ok := o.slots[key]
	if !ok {
		return
	}
	if class == "" {
		class = held.class
	}
	cost := float64(report.Cost)
	o.ledger.Charge(held.workspace, cost-held.charged)
	o.observeHoldTime(now.Sub(held.grantedAt))
	held.server.observeRun(now, report, congestionThreshold(class))
	if report.Fault == ports.ServerFaultNone {
		o.estimator.Observe(held.workspace, class, cost)
		o.largestCost = max(o.largestCost, cost)
	}
	o.removeSlot(held)
}

// ReturnUnused frees a slot that no call used and takes back its charge.
func (o *Owner) ReturnUnused(key Key) {
	held, ok := o.slots[key]
	if !ok {
		return
	}
	o.ledger.Charge(held.workspace, -held.charged)
	o.removeSlot(held)
}

// ChargeProgress charges the cost of a run so far, in cost units, as far as it
// exceeds what was charged.
func (o *Owner) ChargeProgress(key Key, cost float64) {
	held, ok := o.slots[key]
	if !ok || cost <= held.charged {
		return
	}
	o.ledger.Charge(held.workspace, cost-held.charged)
	held.charged = cost
}

// CorrectClass sets the class of the call that uses the slot, when it differs
// from the granted one, and charges the estimate of that class instead.
func (o *Owner) CorrectClass(key Key, class ports.ClassName) {
	held, ok := o.slots[key]
	if !ok || o.options.NoEstimate {
		return
	}
	held.class = class
	estimate := o.estimator.Estimate(held.workspace, class, 0)
	o.ledger.Charge(held.workspace, estimate-held.charged)
	held.charged = estimate
}

// AckGrants records that an entry has handled all grants up to a sequence number.
// Those that it did not return are in use, also if they had expired.
func (o *Owner) AckGrants(now time.Time, id ports.DaemonID, ackedSequence uint64) {
	e, ok := o.entries[id]
	if !ok {
		return
	}
	o.markResponsive(e)
	for key, held := range e.unacked {
		if held.sequence > ackedSequence {
			continue
		}
		delete(e.unacked, key)
		held.acked = true
		e.roundTrip = updateRoundTrip(e.roundTrip, now.Sub(held.grantedAt))
		if held.expired {
			held.expired = false
			o.markInUse(held)
			held.charged = held.estimate
			o.ledger.Charge(held.workspace, held.charged)
		}
	}
}

// ExpireGrants frees the slots whose grants were not acknowledged within
// grantTimeout and returns their number. The grants count as lost, so their demand
// is restored.
func (o *Owner) ExpireGrants(now time.Time) int {
	count := 0
	for _, e := range o.entries {
		for _, held := range e.unacked {
			age := now.Sub(held.grantedAt)
			switch {
			case age < grantTimeout:
			case !held.expired:
				held.expired = true
				o.markFree(held)
				o.ledger.Charge(held.workspace, -held.charged)
				held.charged = 0
				e.unresponsive = true
				e.dropLostGrant(held)
				o.restoreDemand(held)
				count++
			case age > expiredGrantRetention:
				o.removeSlot(held)
			}
		}
	}
	if count > 0 {
		o.invalidateCandidates()
		o.updateWaiting()
	}
	return count
}

// SetHeldSlots replaces the slots that an entry holds. Slots that the entry does
// not report, although it has handled their grants, are freed. limit is the maximum
// of the window of a server that is new here.
func (o *Owner) SetHeldSlots(now time.Time, id ports.DaemonID, ackedSequence uint64, heldSlots []HeldSlot, limit int) {
	reported := make(map[Key]bool, len(heldSlots))
	for _, h := range heldSlots {
		reported[h.Key] = true
		if _, known := o.slots[h.Key]; !known {
			o.adoptSlot(now, h, limit)
		}
	}
	for key, held := range o.slots {
		if key.Entry != id || reported[key] {
			continue
		}
		if held.acked || held.sequence <= ackedSequence {
			o.removeSlot(held)
		}
	}
	o.AckGrants(now, id, ackedSequence)
}

// RemoveEntry drops the slots and demand of an entry that is no longer alive.
func (o *Owner) RemoveEntry(id ports.DaemonID) {
	for key, held := range o.slots {
		if key.Entry == id {
			o.removeSlot(held)
		}
	}
	delete(o.entries, id)
	o.clearEntryDemand(id)
	o.updateWaiting()
}

// Entries returns the entries that have demand or slots here.
func (o *Owner) Entries() []ports.DaemonID {
	known := make(map[ports.DaemonID]bool)
	for id := range o.entries {
		known[id] = true
	}
	for key := range o.slots {
		known[key.Entry] = true
	}
	ids := make([]ports.DaemonID, 0, len(known))
	for id := range known {
		ids = append(ids, id)
	}
	return ids
}

// adoptSlot adds a slot that a former owner or incarnation granted.
func (o *Owner) adoptSlot(now time.Time, h HeldSlot, limit int) {
	s := o.server(h.Server, limit)
	held := &slot{
		key: h.Key, workspace: h.Workspace, class: h.Class, server: s,
		charged: h.Charged, grantedAt: now, acked: true,
	}
	o.slots[h.Key] = held
	o.markInUse(held)
}

// removeSlot forgets a slot, and its server if that was known only from slots.
func (o *Owner) removeSlot(held *slot) {
	if !held.expired {
		o.markFree(held)
	}
	delete(o.slots, held.key)
	if e, ok := o.entries[held.key.Entry]; ok {
		delete(e.unacked, held.key)
	}
	if s := held.server; !s.owned && s.inUse == 0 {
		delete(o.servers, s.vm.Name)
	}
}
