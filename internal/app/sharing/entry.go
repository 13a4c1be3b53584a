package sharing

import (
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/ports"
)

// entryService is what this daemon, as an entry, knows of one service.
type entryService struct {
	name    ports.ServiceName
	targets []admission.Target
	// owners maps each backend server to the owner of its slots, and shards
	// each shard.
	owners map[ports.VMName]ports.DaemonID
	shards map[ports.ShardID]ports.DaemonID
	// servers are the backend servers by name.
	servers map[ports.VMName]ports.VM
	links   map[ports.DaemonID]*ownerLink
	held    map[slotKey]*heldSlot
	// withoutServers is since when no backend server is known; zero when one
	// is.
	withoutServers time.Time
}

// slotKey identifies a slot at this entry.
type slotKey struct {
	granter ports.DaemonID
	run     ports.ShortIncarnation
	id      ports.SlotID
}

// ownerLink is the state of the exchange with one owner.
type ownerLink struct {
	owner    ports.DaemonID
	run      ports.ShortIncarnation
	distance ports.Distance
	// seen is the last batch of grants that was handled, and told the last one
	// that the owner was told of.
	seen   uint64
	seenAt time.Time
	told   uint64
	// asked counts the slots that the owner still knows to be wanted.
	asked   map[ports.WorkspaceID]int
	reports []ports.SlotReport
	fullAt  time.Time
}

func (m *Manager) entryService(name ports.ServiceName) *entryService {
	s, ok := m.entries[name]
	if !ok {
		s = &entryService{
			name:  name,
			links: make(map[ports.DaemonID]*ownerLink),
			held:  make(map[slotKey]*heldSlot),
		}
		m.entries[name] = s
	}
	return s
}

func (s *entryService) link(owner ports.DaemonID) *ownerLink {
	link, ok := s.links[owner]
	if !ok {
		link = &ownerLink{owner: owner, asked: make(map[ports.WorkspaceID]int)}
		s.links[owner] = link
	}
	return link
}

// tickEntry sends what was put off and widens the demand of calls that wait.
func (m *Manager) tickEntry(now time.Time, s *entryService) {
	m.refuseWithoutServers(now, s)
	m.askOwners(now, s)
	for _, link := range s.links {
		due := link.seen > link.told && now.Sub(link.seenAt) >= confirmAfter
		if len(link.reports) > 0 || due {
			m.report(now, s, link)
		}
		if now.Sub(link.fullAt) >= fullPeriod {
			m.sendAll(now, s, link)
		}
	}
}

func (m *Manager) refuseWithoutServers(now time.Time, s *entryService) {
	if s.withoutServers.IsZero() || now.Sub(s.withoutServers) < noServerPatience {
		return
	}
	for _, item := range m.queue.Items(s.name) {
		m.queue.Remove(item.ID)
		m.settle(item.ID).refuse(noServerRefusal())
	}
}

// askOwners tells the owners what changed about this entry's demand, as far as
// they would act differently.
func (m *Manager) askOwners(now time.Time, s *entryService) {
	summary := m.queue.Summary(s.name)
	for _, target := range s.targets {
		link := s.link(target.Owner)
		if items := m.demandChanges(now, s, link, summary, worthTelling); len(items) > 0 {
			m.send(s, link, items, false)
		}
	}
}

// worth says whether to tell an owner that knows of told wanted slots that it
// is wanted now.
type worth func(told, wanted int) bool

// worthTelling is the rule for a message of its own: the owner's picture is
// wrong in kind, or by a factor of two.
func worthTelling(told, wanted int) bool {
	return told != wanted && (told*2 <= wanted || told >= wanted*2)
}

// worthAdding is the rule for a message that goes anyway.
func worthAdding(told, wanted int) bool {
	return told != wanted
}

// demandChanges returns what the owner has to hear, and notes it as told.
func (m *Manager) demandChanges(now time.Time, s *entryService, link *ownerLink, summary []admission.Waiting, isWorth worth) []ports.DemandItem {
	var items []ports.DemandItem
	wanted := make(map[ports.WorkspaceID]bool, len(summary))
	for _, waiting := range summary {
		if !m.asks(now, s, link, waiting) {
			continue
		}
		wanted[waiting.Workspace] = true
		if isWorth(link.asked[waiting.Workspace], waiting.Count) {
			link.asked[waiting.Workspace] = waiting.Count
			items = append(items, m.demandItem(now, waiting))
		}
	}
	for workspace := range link.asked {
		if !wanted[workspace] {
			delete(link.asked, workspace)
			items = append(items, ports.DemandItem{Workspace: workspace})
		}
	}
	return items
}

// asks says whether the owner is asked for slots for a workspace's calls.
func (m *Manager) asks(now time.Time, s *entryService, link *ownerLink, waiting admission.Waiting) bool {
	for _, target := range s.targets {
		if target.Owner != link.owner {
			continue
		}
		nearest := s.targets[0].Ring
		if m.experimental.NoWidening && target.Ring != nearest {
			return false
		}
		return admission.Asks(target, nearest, now.Sub(waiting.First.Arrived))
	}
	return false
}

func (m *Manager) demandItem(now time.Time, waiting admission.Waiting) ports.DemandItem {
	return ports.DemandItem{
		Workspace:          waiting.Workspace,
		Class:              m.shortClass(waiting.First.Service, waiting.First.Class),
		FirstTokenInMillis: waiting.First.FirstTokenBy.Sub(now).Milliseconds(),
		Count:              waiting.Count,
	}
}

// send sends demand together with all reports that wait.
func (m *Manager) send(s *entryService, link *ownerLink, items []ports.DemandItem, full bool) {
	m.outbox.add(link.owner, &ports.DemandMessage{
		Service:          s.name,
		OwnerIncarnation: link.run,
		AckedSequence:    link.seen,
		Items:            items,
		Full:             full,
		Reports:          link.reports,
		Distance:         link.distance,
	})
	link.reports = nil
	link.told = link.seen
}

// report sends the reports that wait, and demand along with them.
func (m *Manager) report(now time.Time, s *entryService, link *ownerLink) {
	m.send(s, link, m.demandChanges(now, s, link, m.queue.Summary(s.name), worthAdding), false)
}

// sendAll tells an owner everything anew.
func (m *Manager) sendAll(now time.Time, s *entryService, link *ownerLink) {
	link.fullAt = now
	m.sendHeld(s, link)
	clear(link.asked)
	m.send(s, link, m.demandChanges(now, s, link, m.queue.Summary(s.name), worthAdding), true)
}

func (m *Manager) sendHeld(s *entryService, link *ownerLink) {
	if len(link.reports) > 0 {
		m.send(s, link, nil, false)
	}
	message := &ports.HeldSlotsMessage{Service: s.name, OwnerIncarnation: link.run, AckedSequence: link.seen}
	for _, slot := range s.held {
		if s.ownerOf(slot) == link.owner || slot.key.granter == link.owner {
			message.Slots = append(message.Slots, slot.heldReport())
		}
	}
	link.told = link.seen
	m.outbox.add(link.owner, message)
}

// ownerOf returns the daemon that has to hear of the slot.
func (s *entryService) ownerOf(slot *heldSlot) ports.DaemonID {
	if owner, ok := s.owners[slot.server.Name]; ok && owner != "" {
		return owner
	}
	return slot.key.granter
}
