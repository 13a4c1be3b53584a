package slots

import (
	"maps"
	"time"

	"hawthornstream/internal/ports"
)

// distanceSlack is how far, in costs of the largest request, a workspace must be
// behind for its demand from a distance to go before near demand.
var distanceSlack = [...]float64{
	ports.DistanceSameDomain:  0,
	ports.DistanceSameRegion:  0.125,
	ports.DistanceCrossRegion: 0.25,
}

// Demand is what one entry wants for one workspace.
type Demand struct {
	Workspace ports.WorkspaceID
	// Class and Deadline are those of the request that is first in the entry's
	// queue of the workspace.
	Class    ports.ClassName
	Deadline time.Time
	Count    int
}

// entry is one daemon that takes calls, as an owner sees it.
type entry struct {
	// unseen are the grants that the entry's last word did not know of yet.
	unseen []unseenGrant
	// unconfirmed are the slots whose grants the entry has not confirmed.
	unconfirmed map[Key]*slot
	// batch numbers the messages with grants to the entry.
	batch    uint64
	distance ports.Distance
	// silent is true from when a grant expired until the entry is heard again.
	silent bool
	// trip is the measured round trip to the entry.
	trip time.Duration
}

type unseenGrant struct {
	batch     uint64
	workspace ports.WorkspaceID
}

func (o *Owner) entry(id ports.DaemonID) *entry {
	e, ok := o.entries[id]
	if !ok {
		e = &entry{unconfirmed: make(map[Key]*slot)}
		o.entries[id] = e
	}
	return e
}

// SetDemand replaces what an entry wants for the workspaces named, or for all
// when full is set. seen is the last batch of grants that the entry had handled
// when it said so.
func (o *Owner) SetDemand(id ports.DaemonID, seen uint64, demands []Demand, full bool) {
	e := o.entry(id)
	o.hear(e)
	e.forgetSeen(seen)
	if full {
		o.clearDemand(id)
	}
	for _, demand := range demands {
		demand.Count -= e.unseenOf(demand.Workspace)
		o.setDemand(id, demand)
	}
	o.updateWaiting()
}

// SetDistance notes how far an entry is from the owned servers.
func (o *Owner) SetDistance(id ports.DaemonID, distance ports.Distance) {
	e := o.entry(id)
	if int(distance) >= len(distanceSlack) || e.distance == distance {
		return
	}
	e.distance = distance
	o.forgetChoices()
}

func (o *Owner) setDemand(id ports.DaemonID, demand Demand) {
	l, ok := o.wants[demand.Workspace]
	if !ok {
		l = &line{demands: make(map[ports.DaemonID]*Demand)}
		o.wants[demand.Workspace] = l
	}
	l.fresh = false
	if demand.Count > 0 {
		l.demands[id] = &demand
		return
	}
	delete(l.demands, id)
	if len(l.demands) == 0 {
		delete(o.wants, demand.Workspace)
	}
}

func (o *Owner) clearDemand(id ports.DaemonID) {
	for workspace := range o.wants {
		o.setDemand(id, Demand{Workspace: workspace})
	}
}

// take counts down a demand for which a slot was granted.
func (o *Owner) take(id ports.DaemonID, demand *Demand) {
	demand.Count--
	if demand.Count == 0 {
		o.setDemand(id, *demand)
	}
}

// updateWaiting tells the ledger which workspaces wait here.
func (o *Owner) updateWaiting() {
	waiting := make(map[ports.WorkspaceID]bool, len(o.wants))
	for workspace := range o.wants {
		if o.owns {
			waiting[workspace] = true
		}
	}
	if !maps.Equal(waiting, o.waiting) {
		o.waiting = waiting
		o.ledger.SetWaiting(waiting)
	}
}

// giveBack counts up the demand for which a grant was lost.
func (o *Owner) giveBack(lost *slot) {
	id := lost.key.Entry
	demand := Demand{Workspace: lost.workspace, Class: lost.class, Deadline: lost.deadline}
	if l, ok := o.wants[lost.workspace]; ok && l.demands[id] != nil {
		demand = *l.demands[id]
	}
	demand.Count++
	o.setDemand(id, demand)
}

// hear notes that an entry has spoken.
func (o *Owner) hear(e *entry) {
	if e.silent {
		e.silent = false
		o.forgetChoices()
	}
}

// mayGrant says whether an entry may be granted another slot: one that is silent
// gets one at a time, to find out whether it still listens.
func (e *entry) mayGrant() bool {
	if !e.silent {
		return true
	}
	for _, held := range e.unconfirmed {
		if !held.expired {
			return false
		}
	}
	return true
}

func (e *entry) forgetLost(lost *slot) {
	for i, grant := range e.unseen {
		if grant.batch == lost.batch && grant.workspace == lost.workspace {
			e.unseen = append(e.unseen[:i], e.unseen[i+1:]...)
			return
		}
	}
}

func (e *entry) forgetSeen(seen uint64) {
	kept := e.unseen[:0]
	for _, grant := range e.unseen {
		if grant.batch > seen {
			kept = append(kept, grant)
		}
	}
	e.unseen = kept
}

func (e *entry) unseenOf(workspace ports.WorkspaceID) int {
	count := 0
	for _, grant := range e.unseen {
		if grant.workspace == workspace {
			count++
		}
	}
	return count
}
