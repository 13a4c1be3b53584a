package sharing

import (
	"cmp"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// Services implements ports.SharingView.
func (m *Manager) Services() []ports.ServiceStatus {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make([]ports.ServiceStatus, 0, len(m.document.Services))
	for name := range m.document.Services {
		statuses = append(statuses, m.status(now, name))
	}
	slices.SortFunc(statuses, func(a, b ports.ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return statuses
}

func (m *Manager) status(now time.Time, name ports.ServiceName) ports.ServiceStatus {
	status := ports.ServiceStatus{
		Service: name,
		Queued:  make(map[ports.WorkspaceID]int),
		Levels:  make(map[ports.WorkspaceID]float64),
	}
	for _, backlog := range m.queue.Backlogs(name) {
		status.Queued[backlog.Workspace] = backlog.Count
	}
	if s, ok := m.entryServices[name]; ok {
		status.Running = len(s.heldSlots)
	}
	if s, ok := m.ownedServices[name]; ok {
		status.Owned = s.owner.Status(now)
		status.Levels = s.ledger.Levels()
	}
	return status
}
