package sharing

import (
	"math"
	"slices"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

// exchange tells the other owners the sums of the workspaces that have a backlog
// here.
func (m *Manager) exchange(now time.Time) {
	others := m.otherOwners()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.owned {
		s.ledger.Expire(now)
		m.sendSums(s, others[name])
	}
}

// otherOwners returns the other slot owners of each service.
func (m *Manager) otherOwners() map[ports.ServiceName][]ports.DaemonID {
	current := m.configuration.Current()
	if current == nil {
		return nil
	}
	others := make(map[ports.ServiceName][]ports.DaemonID)
	for name := range current.Document.Services {
		for _, shard := range m.directory.Shards(name) {
			if shard.Owner == "" || shard.Owner == m.self || slices.Contains(others[name], shard.Owner) {
				continue
			}
			others[name] = append(others[name], shard.Owner)
		}
	}
	return others
}

func (m *Manager) sendSums(s *ownedService, others []ports.DaemonID) {
	sums := s.ledger.Export(m.self, m.incarnation)
	if len(sums.Sums) == 0 && !s.exported {
		return
	}
	s.exported = len(sums.Sums) > 0
	message := &ports.ChargesMessage{Service: s.name, Incarnation: m.incarnation, Sequence: sums.Sequence, Floor: int64(sums.Floor)}
	for _, sum := range sums.Sums {
		message.Charges = append(message.Charges, ports.WorkspaceCharge{
			Workspace:     sum.Workspace,
			Charged:       int64(math.Round(sum.Charged)),
			BacklogNumber: sum.Period,
			Level:         int64(math.Round(sum.Level)),
			Waiting:       sum.Waiting,
		})
	}
	for _, owner := range others {
		m.outbox.add(owner, message)
	}
}

func (m *Manager) onSums(from ports.DaemonID, message *ports.ChargesMessage) {
	now := time.Now()
	sums := fairshare.Sums{Daemon: from, Incarnation: message.Incarnation, Sequence: message.Sequence, Floor: float64(message.Floor)}
	for _, item := range message.Charges {
		sums.Sums = append(sums.Sums, fairshare.Sum{
			Workspace: item.Workspace,
			Charged:   float64(item.Charged),
			Period:    item.BacklogNumber,
			Level:     float64(item.Level),
			Waiting:   item.Waiting,
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownedService(message.Service).ledger.Merge(now, sums)
}
