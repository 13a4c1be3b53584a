package sharing

import (
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/core/slots"
	"hawthornstream/internal/ports"
)

// ownedService is what this daemon, as a slot owner, knows of one service.
type ownedService struct {
	name   ports.ServiceName
	ledger *fairshare.Ledger
	owner  *slots.Owner
	// servers are the backend servers owned, and gainedAt is when the last of
	// them came.
	servers  map[ports.VMName]bool
	gainedAt time.Time
	waiting  bool
	// heardFrom is when each entry last reported the slots that it holds.
	heardFrom map[ports.DaemonID]time.Time
	// wantsAddresses are the entries that lack a server's address.
	wantsAddresses map[ports.DaemonID]bool
	// exported says that the last exchange named a workspace.
	exported bool
}

func (m *Manager) ownedService(name ports.ServiceName) *ownedService {
	s, ok := m.owned[name]
	if !ok {
		ledger := fairshare.NewLedger(m.ledgerOptions())
		ledger.SetShares(sharesOf(m.document))
		s = &ownedService{
			name:           name,
			ledger:         ledger,
			owner:          slots.NewOwner(m.self, m.run, ledger, m.ledgerOptions()),
			servers:        make(map[ports.VMName]bool),
			heardFrom:      make(map[ports.DaemonID]time.Time),
			wantsAddresses: make(map[ports.DaemonID]bool),
		}
		m.owned[name] = s
	}
	return s
}

func sharesOf(document *configuration.Document) map[ports.WorkspaceID]float64 {
	shares := make(map[ports.WorkspaceID]float64, len(document.Workspaces))
	for id, workspace := range document.Workspaces {
		shares[id] = workspace.WithDefaults().ShareTarget
	}
	return shares
}

// shortClass and longClass leave out and put back the service's default class,
// which is the most frequent one on the wire. A default that has just changed
// makes an estimate that is settled at the end.
func (m *Manager) shortClass(service ports.ServiceName, class ports.ClassName) ports.ClassName {
	if class == m.document.Services[service].DefaultClass {
		return ""
	}
	return class
}

func (m *Manager) longClass(service ports.ServiceName, class ports.ClassName) ports.ClassName {
	if class == "" {
		return m.document.Services[service].DefaultClass
	}
	return class
}

func (m *Manager) limitOf(name ports.ServiceName) int {
	return m.document.Services[name].WithDefaults().MaxInFlight
}

// firstByteTarget returns the time to the first byte beyond which a server
// counts as congested, or zero: half of the class's target, for engines.
func (m *Manager) firstByteTarget(name ports.ServiceName, class ports.ClassName) time.Duration {
	if m.document.Services[name].Kind != configuration.ServiceKindEngine {
		return 0
	}
	return m.document.Classes[class].FirstTokenWithin.Value() / 2
}

func (m *Manager) tickOwner(now time.Time, s *ownedService) {
	if expired := s.owner.Expire(now); expired > 0 {
		m.scope.Counter("grants_expired").Inc(int64(expired))
	}
	m.grant(now, s)
	s.ledger.NoteBacklog(now)
}

// grant gives out what is free and sends it.
func (m *Manager) grant(now time.Time, s *ownedService) {
	for _, batch := range s.owner.Grant(now) {
		message := &ports.GrantsMessage{Service: s.name, OwnerIncarnation: m.run, Sequence: batch.Sequence}
		for _, grant := range batch.Grants {
			item := ports.GrantItem{
				ID:        grant.ID,
				Workspace: grant.Workspace,
				Class:     m.shortClass(s.name, grant.Class),
				Server:    grant.Server.Name,
				Estimate:  ports.Cost(grant.Estimate),
			}
			if s.wantsAddresses[batch.Entry] {
				item.Address = grant.Server.Address
			}
			message.Grants = append(message.Grants, item)
		}
		m.scope.Counter("grants").Inc(int64(len(batch.Grants)))
		m.outbox.add(batch.Entry, message)
	}
}

func (m *Manager) onDemand(from ports.DaemonID, message *ports.DemandMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(message.Service)
	for _, report := range message.Reports {
		m.applyReport(now, s, m.keyOf(from, report), report)
	}
	seen := m.seenBy(message.OwnerIncarnation, message.AckedSequence)
	s.owner.Confirm(now, from, seen)
	s.owner.SetDistance(from, message.Distance)
	s.owner.SetDemand(from, seen, m.demandsOf(now, s.name, message.Items), message.Full)
	m.grant(now, s)
}

func (m *Manager) demandsOf(now time.Time, service ports.ServiceName, items []ports.DemandItem) []slots.Demand {
	demands := make([]slots.Demand, 0, len(items))
	for _, item := range items {
		demands = append(demands, slots.Demand{
			Workspace: item.Workspace,
			Class:     m.longClass(service, item.Class),
			Deadline:  now.Add(time.Duration(item.FirstTokenInMillis) * time.Millisecond),
			Count:     item.Count,
		})
	}
	return demands
}

// seenBy returns the batch that an entry has seen of this run.
func (m *Manager) seenBy(run ports.ShortIncarnation, seen uint64) uint64 {
	if run != m.run {
		return 0
	}
	return seen
}

func (m *Manager) keyOf(from ports.DaemonID, report ports.SlotReport) slots.Key {
	key := slots.Key{Entry: from, Granter: m.self, Run: m.run, ID: report.ID}
	if report.Granter != "" {
		key.Granter = report.Granter
		key.Run = report.GranterIncarnation
	}
	return key
}

func (m *Manager) applyReport(now time.Time, s *ownedService, key slots.Key, report ports.SlotReport) {
	switch report.State {
	case ports.SlotReleased:
		run := ports.RunReport{
			Cost:           report.Cost,
			FirstByteAfter: time.Duration(report.FirstByteMillis) * time.Millisecond,
			Fault:          report.Fault,
		}
		targets := func(class ports.ClassName) time.Duration { return m.firstByteTarget(s.name, class) }
		s.owner.Release(now, key, report.Class, run, targets)
	case ports.SlotUnused:
		s.owner.Return(key)
	case ports.SlotUnknownServer:
		s.wantsAddresses[key.Entry] = true
		s.owner.Return(key)
	case ports.SlotProgress:
		s.owner.Progress(key, float64(report.Cost))
	case ports.SlotStarted:
		s.owner.Started(key, report.Class)
	}
}

func (m *Manager) onHeld(from ports.DaemonID, message *ports.HeldSlotsMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(message.Service)
	holds := make([]slots.Held, 0, len(message.Slots))
	for _, held := range message.Slots {
		holds = append(holds, slots.Held{
			Key: slots.Key{
				Entry:   from,
				Granter: held.Granter,
				Run:     held.GranterIncarnation,
				ID:      held.ID,
			},
			Workspace: held.Workspace,
			Class:     held.Class,
			Server:    held.Server,
			Charged:   float64(held.Charged),
		})
	}
	s.owner.Hold(now, from, m.seenBy(message.OwnerIncarnation, message.AckedSequence), holds, m.limitOf(s.name))
	s.heardFrom[from] = now
	m.endGrace(s)
	m.grant(now, s)
}

// endGrace lets a new owner grant as soon as every live entry has reported the
// slots that it holds.
func (m *Manager) endGrace(s *ownedService) {
	if !s.waiting {
		return
	}
	for entry := range m.live {
		if s.heardFrom[entry].Before(s.gainedAt.Add(-time.Second)) {
			return
		}
	}
	s.waiting = false
	s.owner.Ready()
}
