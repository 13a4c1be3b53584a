package cluster

import "hawthornstream/internal/ports"

// Self implements ports.Directory. After Leave, the VM is flagged as leaving.
func (m *Manager) Self() ports.VM {
	return m.view.Load().self
}

// Incarnation implements ports.Directory.
func (m *Manager) Incarnation() ports.Incarnation {
	return m.options.Incarnation
}

// Daemons implements ports.Directory. The result must not be changed.
func (m *Manager) Daemons() []ports.VM {
	return m.view.Load().daemons
}

// Servers implements ports.Directory. The result must not be changed.
func (m *Manager) Servers(service ports.ServiceName) []ports.VM {
	return m.view.Load().servers[service]
}

// Shards implements ports.Directory. The result must not be changed.
func (m *Manager) Shards(service ports.ServiceName) []ports.ShardView {
	return m.view.Load().shardViews[service]
}

// KeyOwner implements ports.Directory.
func (m *Manager) KeyOwner(key string) ports.DaemonID {
	return m.view.Load().rendezvous.KeyOwner(key)
}

// OnChange implements ports.Directory.
func (m *Manager) OnChange(callback func()) {
	m.callbacks = append(m.callbacks, callback)
}

// notReadyReason returns why the daemon does not know the fleet yet, or "" when
// it does.
func (m *Manager) notReadyReason() string {
	if m.vmListAccepted.Load() || len(m.view.Load().daemons) > 1 {
		return ""
	}
	return "the VM list was never read and no other daemon is known"
}
