package dispatch

import (
	"maps"
	"slices"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// Changes of a server's limit.
const (
	limitNamed = "named"
	limitEnded = "ended"
)

// RecordLimit implements ports.ServerNotices.
func (m *Manager) RecordLimit(server ports.VM, sentAt time.Time, limit ports.ServerLimit) {
	if !limit.IsSet && m.limitedServers.Load() == 0 {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.notices.RecordLimit(now, server, sentAt, limit) {
		return
	}
	m.updateLimits(now)
	m.resolveLines(now)
	change := limitEnded
	if limit.IsSet {
		change = limitNamed
	}
	m.limitCounter.Inc(string(server.Service), change)
	if m.limiter.Allow("server-limit", change) {
		share, _ := m.shareOfLimit(server)
		m.logger.Info().Str("event", "server-limit").Str("change", change).Str("server", string(server.Name)).
			Str("service", string(server.Service)).Float64("limit", limit.RequestsPerSecond).
			Float64("ownRate", share.Rate).Float64("ownBurst", share.Burst).Msg("")
	}
}

func (m *Manager) shareOfLimit(server ports.VM) (core.LimitShare, bool) {
	pool, ok := m.pools[server.Service]
	if !ok {
		return core.LimitShare{}, false
	}
	return pool.ShareOfLimit(server.Name)
}

// updateLimits divides the limits of servers, and the rates that cold ones bear, between
// the daemons that are known now. The caller holds the mutex.
func (m *Manager) updateLimits(now time.Time) {
	m.limitSharing.Update(now, m.directory.Daemons())
	limited := 0
	perEngine := core.CapacityPerEngine(m.document.Limits.TokensPerSecond, slices.Collect(maps.Values(m.pools)))
	clear(m.capacities)
	for service, pool := range m.pools {
		pool.ApplyLimits(now, m.notices, m.limitSharing)
		m.recordWarmthChanges(service, pool.TakeWarmthChanges())
		limited += pool.LimitedServers()
		m.capacities[service] = pool.UsableCapacity(perEngine)
	}
	m.limitedServers.Store(int32(limited))
}

// mergeLimits records the limits that a peer has learned of. The caller holds the mutex.
func (m *Manager) mergeLimits(now time.Time, message *ports.LoadMessage, fromDomain bool) {
	if len(message.ServerLimits) == 0 {
		return
	}
	updates := make([]core.LimitUpdate, 0, len(message.ServerLimits))
	for _, report := range message.ServerLimits {
		updates = append(updates, core.LimitUpdate{
			Server: report.Server, StartedMillis: report.StartedMillis, At: timeOfAge(now, report.AgeMillis),
			Limit: ports.ServerLimit{IsSet: report.IsSet, RequestsPerSecond: report.RequestsPerSecond},
		})
	}
	if m.notices.MergeLimits(now, updates, fromDomain) {
		m.updateLimits(now)
	}
}

func toLimitReports(now time.Time, updates []core.LimitUpdate) []ports.ServerLimitReport {
	var reports []ports.ServerLimitReport
	for _, update := range updates {
		reports = append(reports, ports.ServerLimitReport{
			Server: update.Server, StartedMillis: update.StartedMillis, IsSet: update.Limit.IsSet,
			RequestsPerSecond: update.Limit.RequestsPerSecond, AgeMillis: ageMillis(now, update.At),
		})
	}
	return reports
}
