package dispatch

import (
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// recordHealthChange logs and counts a change of a server's health.
func (m *Manager) recordHealthChange(server ports.VM, change core.HealthChange, fault ports.ServerFault) {
	switch change {
	case core.HealthExcluded:
		m.exclusionCounter.Inc(string(server.Service), fault.String())
		m.logger.Warn().Str("event", "server-excluded").Str("server", string(server.Name)).
			Str("service", string(server.Service)).Str("fault", fault.String()).Msg("")
	case core.HealthReadmitted:
		m.logger.Info().Str("event", "server-readmitted").Str("server", string(server.Name)).
			Str("service", string(server.Service)).Msg("")
	case core.HealthUnchanged:
	}
}

// logServerChanges logs the differences between two lists of backend servers.
func (m *Manager) logServerChanges(service ports.ServiceName, before, after []ports.VM) {
	version := m.listDigest().Version
	remaining := make(map[ports.VMName]ports.VM, len(before))
	for _, vm := range before {
		remaining[vm.Name] = vm
	}
	for _, vm := range after {
		old, listed := remaining[vm.Name]
		delete(remaining, vm.Name)
		switch {
		case !listed || old.StartedMillis != vm.StartedMillis:
			m.logServerEvent("server-came", service, vm, version)
		case vm.Leaving && !old.Leaving:
			m.logServerEvent("server-leaving", service, vm, version)
		}
	}
	for _, vm := range remaining {
		m.logServerEvent("server-gone", service, vm, version)
	}
}

func (m *Manager) logServerEvent(event string, service ports.ServiceName, vm ports.VM, version uint64) {
	m.logger.Info().Str("event", event).Str("server", string(vm.Name)).Str("service", string(service)).
		Str("domain", string(vm.Domain)).Str("address", vm.Address).
		Str("softwareVersion", vm.SoftwareVersion).Uint64("listVersion", version).Msg("")
}

const (
	// sharesLogPeriod is the time between two logs of the contended shares.
	sharesLogPeriod = time.Second
	// maxLoggedShares is the number of workspaces in one log of the contended shares:
	// those with the highest demand at this daemon.
	maxLoggedShares = 5
)

// logShares logs the rates of the workspaces that demand more than their fair share.
// The caller holds the mutex.
func (m *Manager) logShares(now time.Time) {
	if now.Sub(m.sharesLoggedAt) < sharesLogPeriod {
		return
	}
	m.sharesLoggedAt = now
	for service, pool := range m.pools {
		m.logSharesOf(service, pool.Shares().Contended(now, m.shareTarget))
	}
}

func (m *Manager) logSharesOf(service ports.ServiceName, contended []core.ShareStatus) {
	for _, status := range contended[:min(len(contended), maxLoggedShares)] {
		m.logger.Info().Str("event", "share-contended").Str("service", string(service)).Str("workspace", string(status.Workspace)).
			Int64("ownDemand", int64(status.Own.Demand)).Int64("ownGranted", int64(status.Own.Granted)).
			Int64("demand", int64(status.Total.Demand)).Int64("shed", int64(status.Total.Shed)).Int64("granted", int64(status.Total.Granted)).
			Int64("fairRate", int64(status.FairRate)).Msg("")
	}
}
