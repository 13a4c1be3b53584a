package dispatch

import (
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// tellHealth logs and counts a change of what this daemon believes of a server.
func (m *Manager) tellHealth(server ports.VM, change core.HealthChange, fault ports.ServerFault) {
	switch change {
	case core.HealthExcluded:
		m.excluded.Inc(string(server.Service), fault.String())
		m.logger.Warn().Str("event", "server-excluded").Str("server", string(server.Name)).
			Str("service", string(server.Service)).Str("fault", fault.String()).Msg("")
	case core.HealthReadmitted:
		m.logger.Info().Str("event", "server-readmitted").Str("server", string(server.Name)).
			Str("service", string(server.Service)).Msg("")
	case core.HealthSame:
	}
}

// tellServers logs what a new list of backend servers changed.
func (m *Manager) tellServers(service ports.ServiceName, before, after []ports.VM) {
	version := m.listDigest().Version
	known := make(map[ports.VMName]ports.VM, len(before))
	for _, vm := range before {
		known[vm.Name] = vm
	}
	for _, vm := range after {
		old, found := known[vm.Name]
		delete(known, vm.Name)
		switch {
		case !found || old.StartedMillis != vm.StartedMillis:
			m.tellServer("server-came", service, vm, version)
		case vm.Leaving && !old.Leaving:
			m.tellServer("server-leaving", service, vm, version)
		}
	}
	for _, vm := range known {
		m.tellServer("server-gone", service, vm, version)
	}
}

func (m *Manager) tellServer(event string, service ports.ServiceName, vm ports.VM, version uint64) {
	m.logger.Info().Str("event", event).Str("server", string(vm.Name)).Str("service", string(service)).
		Str("domain", string(vm.Domain)).Str("address", vm.Address).Uint64("listVersion", version).Msg("")
}
