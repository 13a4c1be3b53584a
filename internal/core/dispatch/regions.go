package dispatch

import (
	"slices"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Regions are the regions in which a call may run. The zero value binds the call to none:
// it may run everywhere.
//
// Load pattern: the servers of one region are lost or full, and the calls that may run
// only there meet idle servers elsewhere. They are refused at once and told when to
// return, and count in no queue, preference or time to return of other servers.
type Regions struct {
	isBound bool
	allowed []ports.Region
}

// AllowedRegions returns the regions that all lists name which name any.
func AllowedRegions(lists ports.RegionLists) Regions {
	switch {
	case len(lists.Route) == 0 && len(lists.Workspace) == 0:
		return Regions{}
	case len(lists.Route) == 0:
		return Regions{isBound: true, allowed: lists.Workspace}
	case len(lists.Workspace) == 0:
		return Regions{isBound: true, allowed: lists.Route}
	}
	bound := Regions{isBound: true}
	for _, region := range lists.Route {
		if slices.Contains(lists.Workspace, region) {
			bound.allowed = append(bound.allowed, region)
		}
	}
	return bound
}

// CurrentRegionLists returns the lists that bind a call now: those of a document that is
// newer than the lists that the call has, else these. What the document no longer has, a
// route or a workspace, keeps its lists.
func CurrentRegionLists(
	call *ports.Call, number configuration.RevisionNumber, document *configuration.Document,
) ports.RegionLists {
	lists := call.Regions
	if number <= lists.AsOf {
		return lists
	}
	lists.AsOf = number
	if route, found := document.Routes[call.Route]; found {
		lists.Route = route.AllowedRegions
	}
	if workspace, found := document.Workspaces[call.Workspace]; found {
		lists.Workspace = workspace.AllowedRegions
	}
	return lists
}

// IsBound reports whether the call may run in some regions only.
func (r Regions) IsBound() bool {
	return r.isBound
}

// Allows reports whether the call may run in the region.
func (r Regions) Allows(region ports.Region) bool {
	return !r.isBound || slices.Contains(r.allowed, region)
}

// AllowsAny reports whether the call may run in one of the regions at least.
func (r Regions) AllowsAny(regions map[ports.Region]bool) bool {
	return !r.isBound || slices.ContainsFunc(r.allowed, func(region ports.Region) bool { return regions[region] })
}

// Names returns the allowed regions of a bound call. The result must not be modified.
func (r Regions) Names() []ports.Region {
	return r.allowed
}

// SetRegions sets the regions in which the work may run.
func (w *Work) SetRegions(regions Regions) {
	w.regions = regions
}

// Regions returns the regions in which the work may run.
func (w *Work) Regions() Regions {
	return w.regions
}

// InItsRegions returns work that may run on every server of the regions of w.
func (w *Work) InItsRegions() *Work {
	work := WorkIn(w.regions)
	return &work
}

// WorkIn returns work that may run on every server of the regions.
func WorkIn(regions Regions) Work {
	return Work{regions: regions}
}

// EarliestSound returns the earliest time from which a server that may run the work takes
// calls, as its pause, its limit and its health tell. It reports false if there is none. A
// server on probation that runs its trial call counts as none.
func (p *Pool) EarliestSound(now time.Time, work *Work) (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, server := range p.servers {
		if !server.mayRun(work) || server.health.onProbation && server.ownLoad.Calls > 0 {
			continue
		}
		sound := server.freeAt(now)
		if excluded := server.health.excludedUntil; excluded.After(sound) {
			sound = excluded
		}
		if !found || sound.Before(earliest) {
			earliest, found = sound, true
		}
	}
	return earliest, found
}
