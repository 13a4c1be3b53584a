package dispatch

import (
	"maps"
	"slices"
	"strings"

	"hawthornstream/internal/ports"
)

// RegionShare is what a workspace that may run in some regions only can get at most,
// together with all workspaces of the same regions.
type RegionShare struct {
	// Regions identifies the set of regions.
	Regions string
	// Fraction is the part of the service's servers that is in the regions.
	Fraction float64
}

// RegionShareOf returns the share of the workspaces that may run in the listed regions;
// false if the list is empty.
func (p *Pool) RegionShareOf(list []ports.Region) (RegionShare, bool) {
	if len(list) == 0 {
		return RegionShare{}, false
	}
	regions := AllowedRegions(ports.RegionLists{Workspace: list})
	allowed := 0
	for _, server := range p.servers {
		if regions.Allows(server.vm.Region) {
			allowed++
		}
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	var key strings.Builder
	for _, region := range slices.Compact(sorted) {
		key.WriteString(string(region) + "\n")
	}
	return RegionShare{Regions: key.String(), Fraction: float64(allowed) / float64(max(len(p.servers), 1))}, true
}

// SetRegionShares replaces the shares of the workspaces that may run in some regions only.
func (s *ShareTracker) SetRegionShares(shares map[ports.WorkspaceID]RegionShare) {
	s.regionShares = shares
}

// limitToRegions returns the totals with the demand of each workspace limited to what it
// can get of its regions, divided by max-min fairness between the workspaces of the same
// regions, and sets regionalRates.
//
// Load pattern: the workspaces of one region demand more than its servers give, while
// others have room. By the sum of all servers the former would be within their share and
// underserved: those among them with the most calls would get the most of the region, and
// the workspaces of the other regions would be refused in their favor, without use.
func (s *ShareTracker) limitToRegions(
	totals map[ports.WorkspaceID]Rates, capacity float64, target func(ports.WorkspaceID) float64,
) map[ports.WorkspaceID]Rates {
	clear(s.regionalRates)
	if len(s.regionShares) == 0 {
		return totals
	}
	bySet := make(map[RegionShare]map[ports.WorkspaceID]Rates)
	for workspace, rates := range totals {
		share, isBound := s.regionShares[workspace]
		if !isBound {
			continue
		}
		if bySet[share] == nil {
			bySet[share] = make(map[ports.WorkspaceID]Rates)
		}
		bySet[share][workspace] = rates
	}
	limited := maps.Clone(totals)
	for share, set := range bySet {
		rate := maxMinFairRate(set, capacity*share.Fraction, target)
		for workspace, rates := range set {
			rates.Demand = min(rates.Demand, rate*target(workspace))
			limited[workspace] = rates
			if rate > 0 {
				s.regionalRates[workspace] = rate
			}
		}
	}
	return limited
}

// fairRateOf returns the fair rate of a workspace with share target 1: that of its regions
// if it is lower.
func (s *ShareTracker) fairRateOf(workspace ports.WorkspaceID) float64 {
	if rate, isBound := s.regionalRates[workspace]; isBound {
		return min(rate, s.fairRate)
	}
	return s.fairRate
}
