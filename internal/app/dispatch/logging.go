package dispatch

import (
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
