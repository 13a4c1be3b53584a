package dispatch

import (
	"maps"
	"slices"
	"time"

	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// spilloverInterval is the least time between two updates of the flows between failure
	// domains.
	spilloverInterval = 250 * time.Millisecond
	// eventSpillover is the log event of a change of a flow from this failure domain.
	eventSpillover = "spillover-changed"
)

// Reasons for which calls run in another failure domain.
const (
	leftWithFlow = "flow"
	leftByItself = "cheaper"
)

// spilloverTerms returns the section of the configuration or, if it has none, of the
// settings; nil where each call is placed by itself. The caller holds the mutex.
func (m *Manager) spilloverTerms() *configuration.Spillover {
	if m.document.Spillover != nil {
		return m.document.Spillover
	}
	return m.defaultSpillover
}

// spilloverSettings returns the section of the settings; s may be nil.
func spilloverSettings(s *settings.Settings) *configuration.Spillover {
	if s == nil {
		return nil
	}
	return s.Platform.Spillover
}

// configureSpillover applies the configuration to the pools. The caller holds the mutex.
func (m *Manager) configureSpillover() {
	for _, pool := range m.pools {
		pool.SetSpillover(m.spilloverTerms())
	}
}

// updateSpillover adjusts the flows between failure domains to the demand and the servers
// that are known now. The caller holds the mutex.
func (m *Manager) updateSpillover(now time.Time) {
	if m.spilloverTerms() == nil || now.Sub(m.spilloverUpdatedAt) < spilloverInterval {
		return
	}
	m.spilloverUpdatedAt = now
	perEngine := core.CapacityPerEngine(m.document.Limits.TokensPerSecond, slices.Collect(maps.Values(m.pools)))
	for service, pool := range m.pools {
		for _, change := range pool.UpdateSpillover(now, perEngine) {
			if change.From == m.directory.Self().Domain {
				m.recordFlowChange(service, change)
			}
		}
	}
}

func (m *Manager) recordFlowChange(service ports.ServiceName, change core.FlowChange) {
	m.spilloverCounter.Inc(string(service), string(change.From), string(change.To), string(change.Reason))
	if !m.limiter.Allow(eventSpillover, string(change.Reason)) {
		return
	}
	m.logger.Info().Str("event", eventSpillover).Str("service", string(service)).Str("from", string(change.From)).
		Str("to", string(change.To)).Str("reason", string(change.Reason)).
		Float64("before", change.Before).Float64("after", change.After).Msg("")
}

// recordLeavingCall counts a call that runs in another failure domain.
func (m *Manager) recordLeavingCall(work *core.Work, server ports.VM) {
	home := m.directory.Self().Domain
	if m.spilloverTerms() == nil || server.Domain == home {
		return
	}
	reason := leftByItself
	if work.LeavesFor(server.Domain) {
		reason = leftWithFlow
	}
	m.leavingCallCounter.Inc(string(server.Service), string(home), string(server.Domain), reason)
}

// demands returns what the callers of this daemon, or of its whole failure domain, ask for,
// with zeros, since a domain that reports nothing counts as cut off. It returns nil without
// spillover. The caller holds the mutex.
func (m *Manager) demands(now time.Time, demandOf func(*core.Pool, time.Time) float64) []ports.ServiceDemand {
	if m.spilloverTerms() == nil {
		return nil
	}
	var demands []ports.ServiceDemand
	for _, service := range slices.Sorted(maps.Keys(m.pools)) {
		demands = append(demands, ports.ServiceDemand{Service: service, PerSecond: float32(demandOf(m.pools[service], now))})
	}
	return demands
}

// recordDemands records the demand that a source reported. The caller holds the mutex.
func (m *Manager) recordDemands(now time.Time, source core.Source, demands []ports.ServiceDemand) {
	for _, demand := range demands {
		if pool, ok := m.pools[demand.Service]; ok {
			pool.SetReportedDemand(now, source, float64(demand.PerSecond))
		}
	}
}
