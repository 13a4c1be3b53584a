package slots

import (
	"maps"
	"time"

	"hawthornstream/internal/ports"
)

// distancePenalties is how far, in multiples of the largest cost, the level of a
// workspace must be lower for its demand at that distance to be served before
// demand in the servers' failure domain.
var distancePenalties = [...]float64{
	ports.DistanceSameDomain:  0,
	ports.DistanceSameRegion:  0.125,
	ports.DistanceCrossRegion: 0.25,
}

// Demand is the number of slots that one entry requests for one workspace.
type Demand struct {
	Workspace ports.WorkspaceID
	// Class and FirstTokenBy are those of the first call in the entry's queue of
	// the workspace.
	Class        ports.ClassName
	FirstTokenBy time.Time
	Count        int
}

// entry is the owner's state of one daemon that takes calls.
type entry struct {
	// inFlight holds the grants that the entry had not handled when it sent its
	// last demand.
	inFlight []inFlightGrant
	// unacked holds the slots whose grants the entry has not acknowledged.
	unacked map[Key]*slot
	// lastSequence is the sequence number of the last batch of grants to the entry.
	lastSequence uint64
	distance     ports.Distance
	// unresponsive is true from the expiry of a grant until the next message from
	// the entry.
	unresponsive bool
	// roundTrip is the measured round trip to the entry.
	roundTrip time.Duration
}

type inFlightGrant struct {
	sequence  uint64
	workspace ports.WorkspaceID
}

// entry returns the state of an entry and creates it if there is none.
func (o *Owner) entry(id ports.DaemonID) *entry {
	e, ok := o.entries[id]
	if !ok {
		e = &entry{unacked: make(map[Key]*slot)}
		o.entries[id] = e
	}
	return e
}

// SetDemand replaces an entry's demand for the workspaces listed, or for all when
// full is set. ackedSequence is that of the last batch of grants that the entry had
// handled when it sent the demand; later grants are subtracted from it.
func (o *Owner) SetDemand(id ports.DaemonID, ackedSequence uint64, demands []Demand, full bool) {
	e := o.entry(id)
	o.markResponsive(e)
	e.dropAckedGrants(ackedSequence)
	if full {
		o.clearEntryDemand(id)
	}
	for _, demand := range demands {
		demand.Count -= e.inFlightCount(demand.Workspace)
		o.setWorkspaceDemand(id, demand)
	}
	o.updateWaiting()
}

// SetDistance sets how far an entry is from the owned servers.
func (o *Owner) SetDistance(id ports.DaemonID, distance ports.Distance) {
	e := o.entry(id)
	if int(distance) >= len(distancePenalties) || e.distance == distance {
		return
	}
	e.distance = distance
	o.invalidateCandidates()
}

func (o *Owner) setWorkspaceDemand(id ports.DaemonID, demand Demand) {
	w, ok := o.demandByWorkspace[demand.Workspace]
	if !ok {
		w = &workspaceDemand{byEntry: make(map[ports.DaemonID]*Demand)}
		o.demandByWorkspace[demand.Workspace] = w
	}
	w.candidatesValid = false
	if demand.Count > 0 {
		w.byEntry[id] = &demand
		return
	}
	delete(w.byEntry, id)
	if len(w.byEntry) == 0 {
		delete(o.demandByWorkspace, demand.Workspace)
	}
}

func (o *Owner) clearEntryDemand(id ports.DaemonID) {
	for workspace := range o.demandByWorkspace {
		o.setWorkspaceDemand(id, Demand{Workspace: workspace})
	}
}

// decrementDemand reduces by one a demand for which a slot was granted.
func (o *Owner) decrementDemand(id ports.DaemonID, demand *Demand) {
	demand.Count--
	if demand.Count == 0 {
		o.setWorkspaceDemand(id, *demand)
	}
}

// updateWaiting passes the set of workspaces that wait here to the ledger.
func (o *Owner) updateWaiting() {
	waiting := make(map[ports.WorkspaceID]bool, len(o.demandByWorkspace))
	for workspace := range o.demandByWorkspace {
		if o.ownsServers {
			waiting[workspace] = true
		}
	}
	if !maps.Equal(waiting, o.waitingWorkspaces) {
		o.waitingWorkspaces = waiting
		o.ledger.SetWaiting(waiting)
	}
}

// restoreDemand raises by one the demand whose grant was lost.
func (o *Owner) restoreDemand(lost *slot) {
	id := lost.key.Entry
	demand := Demand{Workspace: lost.workspace, Class: lost.class, FirstTokenBy: lost.firstTokenBy}
	if w, ok := o.demandByWorkspace[lost.workspace]; ok && w.byEntry[id] != nil {
		demand = *w.byEntry[id]
	}
	demand.Count++
	o.setWorkspaceDemand(id, demand)
}

// markResponsive records that an entry has sent a message.
func (o *Owner) markResponsive(e *entry) {
	if e.unresponsive {
		e.unresponsive = false
		o.invalidateCandidates()
	}
}

// mayReceiveGrant reports whether the entry may be granted another slot. An
// unresponsive entry gets one at a time, as a probe of whether it still answers.
func (e *entry) mayReceiveGrant() bool {
	if !e.unresponsive {
		return true
	}
	for _, held := range e.unacked {
		if !held.expired {
			return false
		}
	}
	return true
}

// dropLostGrant removes the grant of an expired slot from those in flight.
func (e *entry) dropLostGrant(lost *slot) {
	for i, grant := range e.inFlight {
		if grant.sequence == lost.sequence && grant.workspace == lost.workspace {
			e.inFlight = append(e.inFlight[:i], e.inFlight[i+1:]...)
			return
		}
	}
}

// dropAckedGrants removes the grants up to a sequence number from those in flight.
func (e *entry) dropAckedGrants(ackedSequence uint64) {
	remaining := e.inFlight[:0]
	for _, grant := range e.inFlight {
		if grant.sequence > ackedSequence {
			remaining = append(remaining, grant)
		}
	}
	e.inFlight = remaining
}

func (e *entry) inFlightCount(workspace ports.WorkspaceID) int {
	count := 0
	for _, grant := range e.inFlight {
		if grant.workspace == workspace {
			count++
		}
	}
	return count
}
