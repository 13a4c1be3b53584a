package sharing

import (
	"slices"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/slots"
	"hawthornstream/internal/ports"
)

// serviceView is the directory's view of one service.
type serviceView struct {
	service ports.ServiceName
	shards  []ports.ShardView
}

// refresh applies the current state of the directory and the configuration.
func (m *Manager) refresh(now time.Time) {
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	current := m.configuration.Current()
	if current == nil {
		return
	}
	var views []serviceView
	for name := range current.Document.Services {
		shards := withEvacuatedLeaving(m.directory.Shards(name), current.Document.EvacuatedDomains)
		views = append(views, serviceView{service: name, shards: shards})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document != &current.Document {
		m.document = &current.Document
		for _, s := range m.ownedServices {
			s.ledger.SetShares(shareTargets(m.document))
		}
	}
	m.setAlive(daemons)
	for _, v := range views {
		m.refreshOwned(now, v)
		m.refreshEntry(now, self, v)
	}
}

// withEvacuatedLeaving returns the shards with the servers of evacuated failure domains as
// leaving: they get no new calls, and those that they run end as usual.
func withEvacuatedLeaving(shards []ports.ShardView, evacuated []ports.FailureDomain) []ports.ShardView {
	if len(evacuated) == 0 {
		return shards
	}
	shards = slices.Clone(shards)
	for i := range shards {
		shards[i].Servers = slices.Clone(shards[i].Servers)
		for j := range shards[i].Servers {
			vm := &shards[i].Servers[j]
			vm.Leaving = vm.Leaving || slices.Contains(evacuated, vm.Domain)
		}
	}
	return shards
}

// setAlive replaces the set of daemons considered alive and removes the entries
// that are gone.
func (m *Manager) setAlive(daemons []ports.VM) {
	clear(m.alive)
	for _, vm := range daemons {
		m.alive[vm.Name] = true
	}
	m.alive[m.self] = true
	for _, s := range m.ownedServices {
		for _, entry := range s.owner.Entries() {
			m.removeEntryIfGone(s, entry)
		}
	}
}

// removeEntryIfGone frees the slots of an entry that is neither considered alive
// nor connected.
func (m *Manager) removeEntryIfGone(s *ownedService, entry ports.DaemonID) {
	if m.alive[entry] || m.connected[entry] {
		return
	}
	s.owner.RemoveEntry(entry)
	s.ledger.DropRemoteBacklogs(entry)
	delete(s.heldSlotsReportedAt, entry)
}

func (m *Manager) refreshOwned(now time.Time, v serviceView) {
	var servers []slots.Server
	for _, shard := range v.shards {
		if shard.Owner != m.self {
			continue
		}
		for _, vm := range shard.Servers {
			servers = append(servers, slots.Server{VM: vm, Shard: shard.ID})
		}
	}
	if _, known := m.ownedServices[v.service]; !known && len(servers) == 0 {
		return
	}
	s := m.ownedService(v.service)
	if s.setServers(servers) {
		s.serversGainedAt = now
		s.inGracePeriod = true
	}
	s.owner.SetServers(servers, m.windowLimit(v.service), now.Add(takeoverGracePeriod))
	m.endGracePeriodIfReported(s)
	m.grantFreeSlots(now, s)
}

// setServers replaces the set of owned servers and reports whether any is new.
func (s *ownedService) setServers(servers []slots.Server) bool {
	before := s.servers
	s.servers = make(map[ports.VMName]bool, len(servers))
	gained := false
	for _, server := range servers {
		s.servers[server.VM.Name] = true
		gained = gained || !before[server.VM.Name]
	}
	return gained
}

func (m *Manager) refreshEntry(now time.Time, self ports.VM, v serviceView) {
	s := m.entryService(v.service)
	s.targets = admission.Targets(self, v.shards)
	s.updateNoServersSince(now)
	ownerByServer := make(map[ports.VMName]ports.DaemonID)
	servers := make(map[ports.VMName]ports.VM)
	ownerByShard := make(map[ports.ShardID]ports.DaemonID)
	newOwners := make(map[ports.DaemonID]bool)
	for _, shard := range v.shards {
		ownerByShard[shard.ID] = shard.Owner
		if shard.Owner != "" && s.ownerByShard[shard.ID] != shard.Owner {
			newOwners[shard.Owner] = true
		}
		for _, vm := range shard.Servers {
			ownerByServer[vm.Name] = shard.Owner
			servers[vm.Name] = vm
		}
	}
	s.ownerByServer = ownerByServer
	s.ownerByShard = ownerByShard
	s.servers = servers
	for _, target := range s.targets {
		s.link(target.Owner).distance = target.Distance.ToMessage()
	}
	m.dropUnusedLinks(s)
	for owner := range newOwners {
		m.sendFullState(now, s, s.link(owner))
	}
	m.sendDemandChanges(now, s)
}

// updateNoServersSince records whether there is an owner with a usable server.
func (s *entryService) updateNoServersSince(now time.Time) {
	switch {
	case len(s.targets) > 0:
		s.noServersSince = time.Time{}
	case s.noServersSince.IsZero():
		s.noServersSince = now
	}
}

// dropUnusedLinks removes the links to owners that own no usable server, have no
// slot that is held here and no pending report.
func (m *Manager) dropUnusedLinks(s *entryService) {
	needed := make(map[ports.DaemonID]bool)
	for _, target := range s.targets {
		needed[target.Owner] = true
	}
	for _, slot := range s.heldSlots {
		needed[slot.key.granter] = true
		needed[s.currentOwner(slot)] = true
	}
	for owner, link := range s.links {
		if !needed[owner] && len(link.pendingReports) == 0 {
			delete(s.links, owner)
		}
	}
}

// handleSession sends a peer the full state when its session comes up, because it
// may have missed messages, and removes its entry when the session goes down and
// the peer is not considered alive.
func (m *Manager) handleSession(peer ports.DaemonID, up bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connected[peer] = up
	if !up {
		for _, s := range m.ownedServices {
			m.removeEntryIfGone(s, peer)
		}
		return
	}
	for _, s := range m.entryServices {
		if link, ok := s.links[peer]; ok {
			m.sendFullState(now, s, link)
		}
	}
}
