package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// ShareStatus is the state of a workspace that demands more than its fair share. All
// rates are in tokens per second.
type ShareStatus struct {
	Workspace ports.WorkspaceID
	// Own are the rates at this daemon, Total those of all daemons that it knows.
	Own, Total Rates
	// FairRate is the workspace's fair share.
	FairRate float64
}

// Contended returns the state of the workspaces that have demand at this daemon and
// demand more than their fair share, by descending demand at this daemon. Totals and
// fair rate are those of the last computation.
func (s *ShareTracker) Contended(now time.Time, target func(ports.WorkspaceID) float64) []ShareStatus {
	if math.IsInf(s.fairRate, 1) {
		return nil
	}
	var contended []ShareStatus
	for workspace, rates := range s.OwnRates(now) {
		share := target(workspace)
		if s.totals[workspace].Demand <= s.fairRate*share {
			continue
		}
		contended = append(contended, ShareStatus{
			Workspace: workspace, Own: rates, Total: s.totals[workspace],
			FairRate: s.fairRate * share,
		})
	}
	slices.SortFunc(contended, func(a, b ShareStatus) int {
		return cmp.Or(cmp.Compare(b.Own.Demand, a.Own.Demand), cmp.Compare(a.Workspace, b.Workspace))
	})
	return contended
}
