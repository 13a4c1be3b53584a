package sharing

import (
	"math"
	"slices"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

// sendAllCharges sends the ledger's snapshot of each owned service to the service's
// other owners.
func (m *Manager) sendAllCharges(now time.Time) {
	otherOwners := m.otherOwners()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.ownedServices {
		s.ledger.ExpireRemoteBacklogs(now)
		m.sendCharges(s, otherOwners[name])
	}
}

// otherOwners returns the other shard owners of each service.
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

// sendCharges sends a snapshot to the other owners. After a first one without
// backlogs, it sends no more until there is a backlog again.
func (m *Manager) sendCharges(s *ownedService, others []ports.DaemonID) {
	snapshot := s.ledger.Export(m.self, m.incarnation)
	if len(snapshot.Charges) == 0 && !s.lastSnapshotHadBacklogs {
		return
	}
	s.lastSnapshotHadBacklogs = len(snapshot.Charges) > 0
	message := &ports.ChargesMessage{Service: s.name, Incarnation: m.incarnation, Sequence: snapshot.Sequence, Floor: int64(snapshot.Floor)}
	for _, charge := range snapshot.Charges {
		message.Charges = append(message.Charges, ports.WorkspaceCharge{
			Workspace:     charge.Workspace,
			Charged:       int64(math.Round(charge.Charged)),
			BacklogNumber: charge.BacklogNumber,
			Level:         int64(math.Round(charge.Level)),
			Waiting:       charge.Waiting,
		})
	}
	for _, owner := range others {
		m.outbox.add(owner, message)
	}
}

func (m *Manager) handleCharges(from ports.DaemonID, message *ports.ChargesMessage) {
	now := time.Now()
	snapshot := fairshare.Snapshot{Daemon: from, Incarnation: message.Incarnation, Sequence: message.Sequence, Floor: float64(message.Floor)}
	for _, item := range message.Charges {
		snapshot.Charges = append(snapshot.Charges, fairshare.WorkspaceCharge{
			Workspace:     item.Workspace,
			Charged:       float64(item.Charged),
			BacklogNumber: item.BacklogNumber,
			Level:         float64(item.Level),
			Waiting:       item.Waiting,
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownedService(message.Service).ledger.Merge(now, snapshot)
}
