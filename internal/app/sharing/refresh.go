package sharing

import (
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/slots"
	"hawthornstream/internal/ports"
)

// view is what the directory said of one service.
type view struct {
	service ports.ServiceName
	shards  []ports.ShardView
}

// refresh takes in what the directory and the configuration say now.
func (m *Manager) refresh(now time.Time) {
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	current := m.configuration.Current()
	if current == nil {
		return
	}
	var views []view
	for name := range current.Document.Services {
		views = append(views, view{service: name, shards: m.directory.Shards(name)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document != &current.Document {
		m.document = &current.Document
		for _, s := range m.owned {
			s.ledger.SetShares(sharesOf(m.document))
		}
	}
	m.setLive(daemons)
	for _, v := range views {
		m.refreshOwned(now, v)
		m.refreshEntry(now, self, v)
	}
}

func (m *Manager) setLive(daemons []ports.VM) {
	clear(m.live)
	for _, vm := range daemons {
		m.live[vm.Name] = true
	}
	m.live[m.self] = true
	for _, s := range m.owned {
		for _, entry := range s.owner.Entries() {
			m.dropIfGone(s, entry)
		}
	}
}

// dropIfGone frees what an entry holds once it is neither live nor connected.
func (m *Manager) dropIfGone(s *ownedService, entry ports.DaemonID) {
	if m.live[entry] || m.sessions[entry] {
		return
	}
	s.owner.EntryGone(entry)
	s.ledger.Forget(entry)
	delete(s.heardFrom, entry)
}

func (m *Manager) refreshOwned(now time.Time, v view) {
	var servers []slots.Server
	for _, shard := range v.shards {
		if shard.Owner != m.self {
			continue
		}
		for _, vm := range shard.Servers {
			servers = append(servers, slots.Server{VM: vm, Shard: shard.ID})
		}
	}
	if _, known := m.owned[v.service]; !known && len(servers) == 0 {
		return
	}
	s := m.ownedService(v.service)
	if s.setServers(servers) {
		s.gainedAt = now
		s.waiting = true
	}
	s.owner.SetServers(servers, m.limitOf(v.service), now.Add(successionGrace))
	m.endGrace(s)
	m.grant(now, s)
}

// setServers notes which servers are owned and reports whether some are new.
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

func (m *Manager) refreshEntry(now time.Time, self ports.VM, v view) {
	s := m.entryService(v.service)
	s.targets = admission.Targets(self, v.shards)
	s.noteServers(now)
	owners := make(map[ports.VMName]ports.DaemonID)
	servers := make(map[ports.VMName]ports.VM)
	shards := make(map[ports.ShardID]ports.DaemonID)
	successors := make(map[ports.DaemonID]bool)
	for _, shard := range v.shards {
		shards[shard.ID] = shard.Owner
		if shard.Owner != "" && s.shards[shard.ID] != shard.Owner {
			successors[shard.Owner] = true
		}
		for _, vm := range shard.Servers {
			owners[vm.Name] = shard.Owner
			servers[vm.Name] = vm
		}
	}
	s.owners = owners
	s.shards = shards
	s.servers = servers
	for _, target := range s.targets {
		s.link(target.Owner).distance = target.Locality.Distance()
	}
	m.dropLinks(s)
	for owner := range successors {
		m.sendAll(now, s, s.link(owner))
	}
	m.askOwners(now, s)
}

func (s *entryService) noteServers(now time.Time) {
	switch {
	case len(s.targets) > 0:
		s.withoutServers = time.Time{}
	case s.withoutServers.IsZero():
		s.withoutServers = now
	}
}

// dropLinks forgets owners that own nothing any more and hold nothing of ours.
func (m *Manager) dropLinks(s *entryService) {
	needed := make(map[ports.DaemonID]bool)
	for _, target := range s.targets {
		needed[target.Owner] = true
	}
	for _, slot := range s.held {
		needed[slot.key.granter] = true
		needed[s.ownerOf(slot)] = true
	}
	for owner, link := range s.links {
		if !needed[owner] && len(link.reports) == 0 {
			delete(s.links, owner)
		}
	}
}

// onSession tells a peer everything anew that it may have missed.
func (m *Manager) onSession(peer ports.DaemonID, up bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[peer] = up
	if !up {
		for _, s := range m.owned {
			m.dropIfGone(s, peer)
		}
		return
	}
	for _, s := range m.entries {
		if link, ok := s.links[peer]; ok {
			m.sendAll(now, s, link)
		}
	}
}
