package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// eventUnknownRegions is the log event of a route or workspace that allows no known region.
const eventUnknownRegions = "allowed-regions-unknown"

// noAllowedRegionRetryAfter is the least time after which a caller should retry whose route
// and workspace allow no known region: only an operator can change that.
const noAllowedRegionRetryAfter = 4 * time.Second

// observeRegions remembers the regions of the VMs. A region whose VMs have all gone stays
// known. The caller holds the mutex.
func (m *Manager) observeRegions(vms []ports.VM) {
	for _, vm := range vms {
		m.knownRegions[vm.Region] = true
	}
}

// logUnknownRegions logs the routes and workspaces of a new document that allow no known
// region. The caller holds the mutex.
func (m *Manager) logUnknownRegions() {
	for _, name := range slices.Sorted(maps.Keys(m.document.Routes)) {
		m.logIfUnknown("route", string(name), ports.RegionLists{Route: m.document.Routes[name].AllowedRegions})
	}
	for _, name := range slices.Sorted(maps.Keys(m.document.Workspaces)) {
		m.logIfUnknown("workspace", string(name), ports.RegionLists{Workspace: m.document.Workspaces[name].AllowedRegions})
	}
}

func (m *Manager) logIfUnknown(kind, name string, lists ports.RegionLists) {
	if core.AllowedRegions(lists).AllowsAny(m.knownRegions) || !m.limiter.Allow(eventUnknownRegions, kind) {
		return
	}
	m.logger.Warn().Str("event", eventUnknownRegions).Str(kind, name).
		Strs("regions", regionNames(slices.Concat(lists.Route, lists.Workspace))).Uint64("revision", uint64(m.revision)).Msg("")
}

func regionNames(regions []ports.Region) []string {
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	return names
}

// updateRegions makes the newest configuration bind the call. The caller holds the mutex.
func (m *Manager) updateRegions(w *waiter) {
	lists := core.CurrentRegionLists(w.call, m.revision, m.document)
	if lists.AsOf == w.call.Regions.AsOf {
		return
	}
	w.call.Regions = lists
	w.work.SetRegions(core.AllowedRegions(lists))
}

// regionsOf returns the regions in which a call may run by the newest configuration.
func (m *Manager) regionsOf(call *ports.Call) core.Regions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.AllowedRegions(core.CurrentRegionLists(call, m.revision, m.document))
}

// noAllowedRegionRefusal refuses a call that may run in no known region; it returns nil for
// other calls. The caller holds the mutex.
func (m *Manager) noAllowedRegionRefusal(w *waiter) *outcome.Refusal {
	if w.work.Regions().AllowsAny(m.knownRegions) {
		return nil
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonNoAllowedRegion, End: outcome.NotRun,
		Detail:     "the route and the workspace allow no known region",
		RetryAfter: noAllowedRegionRetryAfter + time.Duration(rand.Float64()*float64(noAllowedRegionRetryAfter)),
	}
}

// unsoundRegionsRefusal refuses a call none of whose regions has a sound server that takes
// it before its wait ends; it returns nil for other calls. A stream that has begun waits
// for a server that is being tried, since a refusal would cut it. The caller holds the
// mutex.
func (m *Manager) unsoundRegionsRefusal(now time.Time, w *waiter, pool *core.Pool) *outcome.Refusal {
	if !w.work.Regions().IsBound() || w.work.Resumes {
		return nil
	}
	if sound, found := pool.EarliestSound(now, &w.work); found && !sound.After(w.waitEnd(pool)) {
		return nil
	}
	return regionsUnavailableRefusal(now, w, pool)
}

// regionsUnavailableRefusal returns the refusal of a call that no server of its regions can
// get before its wait ends. The time to return follows these servers alone.
func regionsUnavailableRefusal(now time.Time, w *waiter, pool *core.Pool) *outcome.Refusal {
	anyCall := w.work.InItsRegions()
	if free, found := pool.EarliestFree(now, anyCall); found && free.After(now) {
		return noneFreeRefusal(now, w, pool, free)
	}
	refusal := noServerRefusal("no backend server of the allowed regions takes calls")
	refusal.Reason = outcome.ReasonRegionsUnavailable
	if sound, found := pool.EarliestSound(now, anyCall); found && sound.After(now) {
		refusal.RetryAfter += sound.Sub(now)
	}
	return refusal
}

// regionsInSettings returns the regions that the settings name, of which some may be without VMs.
func regionsInSettings(s *settings.Settings) map[ports.Region]bool {
	known := make(map[ports.Region]bool)
	if s != nil {
		for _, region := range s.Platform.Regions {
			known[region] = true
		}
	}
	return known
}

// regionShares returns the shares of a service for the workspaces that may run in some
// regions only. The caller holds the mutex.
func (m *Manager) regionShares(pool *core.Pool) map[ports.WorkspaceID]core.RegionShare {
	shares := make(map[ports.WorkspaceID]core.RegionShare)
	for name, workspace := range m.document.Workspaces {
		if share, isBound := pool.RegionShareOf(workspace.AllowedRegions); isBound {
			shares[name] = share
		}
	}
	return shares
}
