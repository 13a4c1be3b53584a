package sharing

import (
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/ports"
)

// entryService is this daemon's state, as an entry, of one service.
type entryService struct {
	name    ports.ServiceName
	targets []admission.Target
	// ownerByServer maps each backend server to the owner of its slots, and
	// ownerByShard each shard.
	ownerByServer map[ports.VMName]ports.DaemonID
	ownerByShard  map[ports.ShardID]ports.DaemonID
	// servers are the backend servers by name.
	servers   map[ports.VMName]ports.VM
	links     map[ports.DaemonID]*ownerLink
	heldSlots map[slotKey]*heldSlot
	// noServersSince is when a refresh first found no owner with a usable backend
	// server; zero while there is one.
	noServersSince time.Time
}

// slotKey identifies a slot at this entry.
type slotKey struct {
	granter            ports.DaemonID
	granterIncarnation ports.ShortIncarnation
	id                 ports.SlotID
}

// ownerLink is the state of the exchange with one owner.
type ownerLink struct {
	owner            ports.DaemonID
	ownerIncarnation ports.ShortIncarnation
	distance         ports.Distance
	// handledSequence is that of the last batch of grants that was handled, at
	// handledAt, and ackedSequence that of the last one acknowledged to the owner.
	handledSequence uint64
	handledAt       time.Time
	ackedSequence   uint64
	// reportedDemand is the demand that was last sent to the owner, less the slots
	// granted since.
	reportedDemand map[ports.WorkspaceID]int
	pendingReports []ports.SlotReport
	// fullReportAt is when the full state was last sent.
	fullReportAt time.Time
}

// entryService returns the state of a service and creates it if there is none.
func (m *Manager) entryService(name ports.ServiceName) *entryService {
	s, ok := m.entryServices[name]
	if !ok {
		s = &entryService{
			name:      name,
			links:     make(map[ports.DaemonID]*ownerLink),
			heldSlots: make(map[slotKey]*heldSlot),
		}
		m.entryServices[name] = s
	}
	return s
}

// link returns the link to an owner and creates it if there is none.
func (s *entryService) link(owner ports.DaemonID) *ownerLink {
	link, ok := s.links[owner]
	if !ok {
		link = &ownerLink{owner: owner, reportedDemand: make(map[ports.WorkspaceID]int)}
		s.links[owner] = link
	}
	return link
}

// tickEntry sends pending reports, late acknowledgments and periodic full states,
// and widens the demand of waiting calls to more distant owners.
func (m *Manager) tickEntry(now time.Time, s *entryService) {
	m.refuseWithoutServers(now, s)
	m.sendDemandChanges(now, s)
	for _, link := range s.links {
		ackDue := link.handledSequence > link.ackedSequence && now.Sub(link.handledAt) >= maxAckDelay
		if len(link.pendingReports) > 0 || ackDue {
			m.sendReports(now, s, link)
		}
		if now.Sub(link.fullReportAt) >= fullReportPeriod {
			m.sendFullState(now, s, link)
		}
	}
}

func (m *Manager) refuseWithoutServers(now time.Time, s *entryService) {
	if s.noServersSince.IsZero() || now.Sub(s.noServersSince) < maxWaitWithoutServers {
		return
	}
	for _, item := range m.queue.Items(s.name) {
		m.queue.Remove(item.ID)
		m.takeWaiter(item.ID).refuse(noServerRefusal())
	}
}

// sendDemandChanges sends to the owners what changed significantly about this
// entry's demand.
func (m *Manager) sendDemandChanges(now time.Time, s *entryService) {
	backlogs := m.queue.Backlogs(s.name)
	for _, target := range s.targets {
		link := s.link(target.Owner)
		if items := m.takeDemandChanges(now, s, link, backlogs, isSignificantChange); len(items) > 0 {
			m.sendDemand(s, link, items, false)
		}
	}
}

// demandFilter reports whether to send an owner the number of slots wanted now,
// given the number that was last reported to it.
type demandFilter func(reported, wanted int) bool

// isSignificantChange is the filter for a message of its own: exactly one of the
// numbers is zero, or they differ by a factor of two or more.
func isSignificantChange(reported, wanted int) bool {
	return reported != wanted && (reported*2 <= wanted || reported >= wanted*2)
}

// isAnyChange is the filter for a message that is sent in any case.
func isAnyChange(reported, wanted int) bool {
	return reported != wanted
}

// takeDemandChanges returns the changes of demand that include selects, and records
// them as reported to the owner. Demand that has ended is always included.
func (m *Manager) takeDemandChanges(now time.Time, s *entryService, link *ownerLink, backlogs []admission.Backlog, include demandFilter) []ports.DemandItem {
	var items []ports.DemandItem
	wanted := make(map[ports.WorkspaceID]bool, len(backlogs))
	for _, backlog := range backlogs {
		if !m.isAsked(now, s, link, backlog) {
			continue
		}
		wanted[backlog.Workspace] = true
		if include(link.reportedDemand[backlog.Workspace], backlog.Count) {
			link.reportedDemand[backlog.Workspace] = backlog.Count
			items = append(items, m.demandItem(now, backlog))
		}
	}
	for workspace := range link.reportedDemand {
		if !wanted[workspace] {
			delete(link.reportedDemand, workspace)
			items = append(items, ports.DemandItem{Workspace: workspace})
		}
	}
	return items
}

// isAsked reports whether the owner is asked for slots for a workspace's calls.
func (m *Manager) isAsked(now time.Time, s *entryService, link *ownerLink, backlog admission.Backlog) bool {
	for _, target := range s.targets {
		if target.Owner != link.owner {
			continue
		}
		nearest := s.targets[0].Distance
		if m.experimental.NoWidening && target.Distance != nearest {
			return false
		}
		return admission.ShouldSendDemand(target, nearest, now.Sub(backlog.First.Arrived))
	}
	return false
}

func (m *Manager) demandItem(now time.Time, backlog admission.Backlog) ports.DemandItem {
	return ports.DemandItem{
		Workspace:          backlog.Workspace,
		Class:              m.omitDefaultClass(backlog.First.Service, backlog.First.Class),
		FirstTokenInMillis: backlog.First.FirstTokenBy.Sub(now).Milliseconds(),
		Count:              backlog.Count,
	}
}

// sendDemand sends demand together with all pending reports.
func (m *Manager) sendDemand(s *entryService, link *ownerLink, items []ports.DemandItem, full bool) {
	m.outbox.add(link.owner, &ports.DemandMessage{
		Service:          s.name,
		OwnerIncarnation: link.ownerIncarnation,
		AckedSequence:    link.handledSequence,
		Items:            items,
		Full:             full,
		Reports:          link.pendingReports,
		Distance:         link.distance,
	})
	link.pendingReports = nil
	link.ackedSequence = link.handledSequence
}

// sendReports sends the pending reports, together with all changes of demand.
func (m *Manager) sendReports(now time.Time, s *entryService, link *ownerLink) {
	m.sendDemand(s, link, m.takeDemandChanges(now, s, link, m.queue.Backlogs(s.name), isAnyChange), false)
}

// sendFullState sends an owner all held slots and the whole demand.
func (m *Manager) sendFullState(now time.Time, s *entryService, link *ownerLink) {
	link.fullReportAt = now
	m.sendHeldSlots(s, link)
	clear(link.reportedDemand)
	m.sendDemand(s, link, m.takeDemandChanges(now, s, link, m.queue.Backlogs(s.name), isAnyChange), true)
}

// sendHeldSlots sends an owner all held slots on its servers, and all that it
// granted.
func (m *Manager) sendHeldSlots(s *entryService, link *ownerLink) {
	if len(link.pendingReports) > 0 {
		m.sendDemand(s, link, nil, false)
	}
	message := &ports.HeldSlotsMessage{Service: s.name, OwnerIncarnation: link.ownerIncarnation, AckedSequence: link.handledSequence}
	for _, slot := range s.heldSlots {
		if s.currentOwner(slot) == link.owner || slot.key.granter == link.owner {
			message.Slots = append(message.Slots, slot.toMessage())
		}
	}
	link.ackedSequence = link.handledSequence
	m.outbox.add(link.owner, message)
}

// currentOwner returns the daemon to which the slot is reported: the owner of its
// server, or the granter when the owner is not known.
func (s *entryService) currentOwner(slot *heldSlot) ports.DaemonID {
	if owner, ok := s.ownerByServer[slot.server.Name]; ok && owner != "" {
		return owner
	}
	return slot.key.granter
}
