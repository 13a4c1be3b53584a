package slots

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

// workspaceDemand is the demand of one workspace, by entry. The candidates among
// the entries are cached until they may have changed.
type workspaceDemand struct {
	byEntry map[ports.DaemonID]*Demand
	// candidatesValid is true while nearest and earliest are up to date.
	candidatesValid bool
	// nearest is the demand with the smallest distance, then the earliest
	// FirstTokenBy.
	nearest candidate
	// earliest is the demand with the earliest FirstTokenBy that has not passed.
	earliest candidate
}

// candidate is one entry's demand for one workspace.
type candidate struct {
	entry  ports.DaemonID
	demand *Demand
	// distancePenalty is that of the entry's distance, in multiples of the largest
	// cost.
	distancePenalty float64
	// rank is the workspace's level, in nearest with the distance penalty added.
	rank float64
}

// chooseDemand returns the demand that gets the next slot: the urgent one with the
// earliest FirstTokenBy whose workspace is at most half the largest cost above the
// lowest level, or else the one with the lowest level plus distance penalty. The
// demand of the result is nil when there is none.
func (o *Owner) chooseDemand(now time.Time) candidate {
	var best, urgent candidate
	lowestLevel := math.Inf(1)
	for workspace, w := range o.demandByWorkspace {
		o.refreshCandidates(now, w)
		if w.nearest.demand == nil {
			continue
		}
		level := o.ledger.Level(workspace)
		lowestLevel = min(lowestLevel, level)
		w.nearest.rank = level + w.nearest.distancePenalty*o.largestCost
		w.earliest.rank = level
		best = preferLowerRank(best, w.nearest)
	}
	for _, w := range o.demandByWorkspace {
		if isUrgent(now, w.earliest.demand) && w.earliest.rank <= lowestLevel+o.largestCost/2 {
			urgent = preferEarlier(urgent, w.earliest)
		}
	}
	if urgent.demand != nil {
		return urgent
	}
	return best
}

// refreshCandidates updates the cached candidates if they may have changed.
func (o *Owner) refreshCandidates(now time.Time, w *workspaceDemand) {
	earliestPassed := w.earliest.demand != nil && !w.earliest.demand.FirstTokenBy.After(now)
	if w.candidatesValid && !earliestPassed {
		return
	}
	w.candidatesValid = true
	w.nearest, w.earliest = candidate{}, candidate{}
	for id, demand := range w.byEntry {
		e := o.entry(id)
		if !e.mayReceiveGrant() {
			continue
		}
		c := candidate{entry: id, demand: demand, distancePenalty: distancePenalties[e.distance]}
		w.nearest = preferNearer(w.nearest, c)
		if demand.FirstTokenBy.After(now) {
			w.earliest = preferEarlier(w.earliest, c)
		}
	}
}

// invalidateCandidates discards the cached candidates of all workspaces.
func (o *Owner) invalidateCandidates() {
	for _, w := range o.demandByWorkspace {
		w.candidatesValid = false
	}
}

func isUrgent(now time.Time, demand *Demand) bool {
	if demand == nil {
		return false
	}
	remaining := demand.FirstTokenBy.Sub(now)
	return remaining > 0 && remaining < urgentWithin
}

// preferNearer returns the candidate with the smaller distance, then the earlier
// FirstTokenBy.
func preferNearer(best, c candidate) candidate {
	if best.demand == nil || c.distancePenalty < best.distancePenalty {
		return c
	}
	if c.distancePenalty > best.distancePenalty {
		return best
	}
	return preferEarlier(best, c)
}

// preferLowerRank returns the candidate with the lower rank, then the earlier
// FirstTokenBy.
func preferLowerRank(best, c candidate) candidate {
	if best.demand == nil || c.rank < best.rank {
		return c
	}
	if c.rank > best.rank {
		return best
	}
	return preferEarlier(best, c)
}

func preferEarlier(best, c candidate) candidate {
	if best.demand == nil || c.demand.FirstTokenBy.Before(best.demand.FirstTokenBy) {
		return c
	}
	if c.demand.FirstTokenBy.After(best.demand.FirstTokenBy) {
		return best
	}
	if c.demand.Workspace < best.demand.Workspace || c.entry < best.entry {
		return c
	}
	return best
}
