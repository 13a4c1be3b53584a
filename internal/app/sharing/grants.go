package sharing

import (
	"time"

	"hawthornstream/internal/ports"
)

// handleGrants assigns granted slots to waiting calls. Slots that no call can use
// are returned at once.
func (m *Manager) handleGrants(from ports.DaemonID, message *ports.GrantsMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(message.Service)
	link := s.link(from)
	if message.OwnerIncarnation != link.ownerIncarnation {
		link.ownerIncarnation = message.OwnerIncarnation
		link.handledSequence = 0
	}
	sequenceGap := message.Sequence != link.handledSequence+1
	link.handledSequence = max(link.handledSequence, message.Sequence)
	link.handledAt = now
	unused := 0
	for _, grant := range message.Grants {
		if !m.assignGrant(now, s, link, grant) {
			unused++
		}
	}
	if sequenceGap {
		m.sendHeldSlots(s, link)
	}
	if unused > 0 {
		m.scope.Counter("grants_unused").Inc(int64(unused))
		m.sendReports(now, s, link)
	}
	m.sendDemandChanges(now, s)
}

// assignGrant assigns a granted slot to the workspace's first call. It returns
// false when no call waits or the slot's server is unknown here.
func (m *Manager) assignGrant(now time.Time, s *entryService, link *ownerLink, grant ports.GrantItem) bool {
	link.decrementDemand(grant.Workspace)
	grant.Class = m.restoreDefaultClass(s.name, grant.Class)
	server, known := m.serverOf(s, grant)
	if !known {
		link.pendingReports = append(link.pendingReports, ports.SlotReport{ID: grant.ID, State: ports.SlotUnknownServer})
		return false
	}
	item := m.queue.Pop(now, s.name, grant.Workspace)
	if item == nil || m.stopping {
		link.pendingReports = append(link.pendingReports, ports.SlotReport{ID: grant.ID, State: ports.SlotUnused})
		return false
	}
	slot := m.newHeldSlot(s, link, grant, item, server)
	if item.Class != grant.Class {
		link.pendingReports = append(link.pendingReports, ports.SlotReport{ID: grant.ID, State: ports.SlotStarted, Class: item.Class})
	}
	m.scope.Timer("wait").Record(now.Sub(item.Arrived))
	w := m.takeWaiter(item.ID)
	slot.grantDetails = ports.GrantDetails{
		Granter:              link.owner,
		Waited:               now.Sub(item.Arrived),
		CallsAhead:           w.callsAhead,
		ContendingWorkspaces: w.contendingWorkspaces,
	}
	w.assign(slot)
	return true
}

// decrementDemand reduces by one the demand that was reported to the owner.
func (l *ownerLink) decrementDemand(workspace ports.WorkspaceID) {
	if l.reportedDemand[workspace] <= 1 {
		delete(l.reportedDemand, workspace)
		return
	}
	l.reportedDemand[workspace]--
}

// serverOf returns the backend server of a grant, and false when the grant
// carries no address and the server is not known here.
func (m *Manager) serverOf(s *entryService, grant ports.GrantItem) (ports.VM, bool) {
	server, known := s.servers[grant.Server]
	if known && grant.Address == "" {
		return server, true
	}
	server = ports.VM{
		Name:    grant.Server,
		Kind:    ports.VMKindBackend,
		Service: s.name,
		Address: grant.Address,
	}
	return server, grant.Address != ""
}
