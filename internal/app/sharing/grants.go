package sharing

import (
	"time"

	"hawthornstream/internal/ports"
)

// onGrants matches granted slots to waiting calls. What finds no call goes back
// at once.
func (m *Manager) onGrants(from ports.DaemonID, message *ports.GrantsMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(message.Service)
	link := s.link(from)
	if message.OwnerIncarnation != link.run {
		link.run = message.OwnerIncarnation
		link.seen = 0
	}
	gap := message.Sequence != link.seen+1
	link.seen = max(link.seen, message.Sequence)
	link.seenAt = now
	unused := 0
	for _, grant := range message.Grants {
		if !m.use(now, s, link, grant) {
			unused++
		}
	}
	if gap {
		m.sendHeld(s, link)
	}
	if unused > 0 {
		m.scope.Counter("grants_unused").Inc(int64(unused))
		m.report(now, s, link)
	}
	m.askOwners(now, s)
}

// use gives a granted slot to the workspace's first call, and reports false
// when none waits.
func (m *Manager) use(now time.Time, s *entryService, link *ownerLink, grant ports.GrantItem) bool {
	link.take(grant.Workspace)
	grant.Class = m.longClass(s.name, grant.Class)
	server, known := m.serverOf(s, grant)
	if !known {
		link.reports = append(link.reports, ports.SlotReport{ID: grant.ID, State: ports.SlotUnknownServer})
		return false
	}
	item := m.queue.Pop(now, s.name, grant.Workspace)
	if item == nil || m.stopping {
		link.reports = append(link.reports, ports.SlotReport{ID: grant.ID, State: ports.SlotUnused})
		return false
	}
	slot := m.newHeldSlot(s, link, grant, item, server)
	if item.Class != grant.Class {
		link.reports = append(link.reports, ports.SlotReport{ID: grant.ID, State: ports.SlotStarted, Class: item.Class})
	}
	m.scope.Timer("wait").Record(now.Sub(item.Arrived))
	w := m.settle(item.ID)
	slot.origin = ports.GrantDetails{
		Granter:              link.owner,
		Waited:               now.Sub(item.Arrived),
		CallsAhead:           w.ahead,
		ContendingWorkspaces: w.contenders,
	}
	w.give(slot)
	return true
}

// take counts down what the owner knows to be wanted.
func (l *ownerLink) take(workspace ports.WorkspaceID) {
	if l.asked[workspace] <= 1 {
		delete(l.asked, workspace)
		return
	}
	l.asked[workspace]--
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
