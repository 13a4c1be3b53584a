package dispatch

import (
	"maps"
	"slices"

	"hawthornstream/internal/ports"
)

// Services implements ports.SharingView.
func (m *Manager) Services() []ports.ServiceStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var statuses []ports.ServiceStatus
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		status := ports.ServiceStatus{Service: name, Flows: m.pools[name].Flows(), Queued: m.lineOf(name).Waiters()}
		status.Cold = m.pools[name].ColdServers()
		for _, server := range m.pools[name].Servers() {
			status.Running += server.OwnLoad().Calls
		}
		statuses = append(statuses, status)
	}
	return statuses
}
