package sharing

import (
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/core/slots"
	"hawthornstream/internal/ports"
)

// ownedService is this daemon's state, as a shard owner, of one service.
type ownedService struct {
	name   ports.ServiceName
	ledger *fairshare.Ledger
	owner  *slots.Owner
	// servers are the owned backend servers, and serversGainedAt is when servers
	// were last added.
	servers         map[ports.VMName]bool
	serversGainedAt time.Time
	inGracePeriod   bool
	// heldSlotsReportedAt is when each entry last reported its held slots.
	heldSlotsReportedAt map[ports.DaemonID]time.Time
	// needsAddresses are the entries to which grants carry server addresses,
	// because they once did not know a granted server.
	needsAddresses map[ports.DaemonID]bool
	// lastSnapshotHadBacklogs is true if the last snapshot listed a workspace.
	lastSnapshotHadBacklogs bool
}

// ownedService returns the state of a service and creates it if there is none.
func (m *Manager) ownedService(name ports.ServiceName) *ownedService {
	s, ok := m.ownedServices[name]
	if !ok {
		ledger := fairshare.NewLedger(m.ledgerOptions())
		ledger.SetShares(shareTargets(m.document))
		s = &ownedService{
			name:                name,
			ledger:              ledger,
			owner:               slots.NewOwner(m.self, m.shortIncarnation, ledger, m.ledgerOptions()),
			servers:             make(map[ports.VMName]bool),
			heldSlotsReportedAt: make(map[ports.DaemonID]time.Time),
			needsAddresses:      make(map[ports.DaemonID]bool),
		}
		m.ownedServices[name] = s
	}
	return s
}

func shareTargets(document *configuration.Document) map[ports.WorkspaceID]float64 {
	shares := make(map[ports.WorkspaceID]float64, len(document.Workspaces))
	for id, workspace := range document.Workspaces {
		shares[id] = workspace.WithDefaults().ShareTarget
	}
	return shares
}

// omitDefaultClass and restoreDefaultClass replace the service's default class,
// the most frequent one on the wire, by an empty string and back. While a change of
// the default spreads, a cost may be estimated for the wrong class; the charge is
// corrected when the run ends.
func (m *Manager) omitDefaultClass(service ports.ServiceName, class ports.ClassName) ports.ClassName {
	if class == m.document.Services[service].DefaultClass {
		return ""
	}
	return class
}

func (m *Manager) restoreDefaultClass(service ports.ServiceName, class ports.ClassName) ports.ClassName {
	if class == "" {
		return m.document.Services[service].DefaultClass
	}
	return class
}

func (m *Manager) windowLimit(name ports.ServiceName) int {
	return m.document.Services[name].WithDefaults().MaxInFlight
}

// congestionThreshold returns the time to the first byte beyond which a server counts
// as congested: half of the class's target for model engines, zero (no limit) for
// other services.
func (m *Manager) congestionThreshold(name ports.ServiceName, class ports.ClassName) time.Duration {
	if m.document.Services[name].Kind != configuration.ServiceKindEngine {
		return 0
	}
	return m.document.Classes[class].FirstTokenWithin.Value() / 2
}

func (m *Manager) tickOwner(now time.Time, s *ownedService) {
	if expired := s.owner.ExpireGrants(now); expired > 0 {
		m.scope.Counter("grants_expired").Inc(int64(expired))
	}
	m.grantFreeSlots(now, s)
	s.ledger.UpdateBacklogs(now)
}

// grantFreeSlots grants the free slots of a service and sends the grants.
func (m *Manager) grantFreeSlots(now time.Time, s *ownedService) {
	for _, batch := range s.owner.Grant(now) {
		message := &ports.GrantsMessage{Service: s.name, OwnerIncarnation: m.shortIncarnation, Sequence: batch.Sequence}
		for _, grant := range batch.Grants {
			item := ports.GrantItem{
				ID:        grant.ID,
				Workspace: grant.Workspace,
				Class:     m.omitDefaultClass(s.name, grant.Class),
				Server:    grant.Server.Name,
				Estimate:  ports.Cost(grant.Estimate),
			}
			if s.needsAddresses[batch.Entry] {
				item.Address = grant.Server.Address
			}
			message.Grants = append(message.Grants, item)
		}
		m.scope.Counter("grants").Inc(int64(len(batch.Grants)))
		m.outbox.add(batch.Entry, message)
	}
}

func (m *Manager) handleDemand(from ports.DaemonID, message *ports.DemandMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(message.Service)
	for _, report := range message.Reports {
		m.applyReport(now, s, m.slotKeyOf(from, report), report)
	}
	ackedSequence := m.ackedSequence(message.OwnerIncarnation, message.AckedSequence)
	s.owner.AckGrants(now, from, ackedSequence)
	s.owner.SetDistance(from, message.Distance)
	s.owner.SetDemand(from, ackedSequence, m.demandsFrom(now, s.name, message.Items), message.Full)
	m.grantFreeSlots(now, s)
}

func (m *Manager) demandsFrom(now time.Time, service ports.ServiceName, items []ports.DemandItem) []slots.Demand {
	demands := make([]slots.Demand, 0, len(items))
	for _, item := range items {
		demands = append(demands, slots.Demand{
			Workspace:    item.Workspace,
			Class:        m.restoreDefaultClass(service, item.Class),
			FirstTokenBy: now.Add(time.Duration(item.FirstTokenInMillis) * time.Millisecond),
			Count:        item.Count,
		})
	}
	return demands
}

// ackedSequence returns the sequence number of the last batch of this incarnation
// that an entry has handled, given the incarnation and sequence number in its
// message.
func (m *Manager) ackedSequence(incarnation ports.ShortIncarnation, sequence uint64) uint64 {
	if incarnation != m.shortIncarnation {
		return 0
	}
	return sequence
}

func (m *Manager) slotKeyOf(from ports.DaemonID, report ports.SlotReport) slots.Key {
	key := slots.Key{Entry: from, Granter: m.self, GranterIncarnation: m.shortIncarnation, ID: report.ID}
	if report.Granter != "" {
		key.Granter = report.Granter
		key.GranterIncarnation = report.GranterIncarnation
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
		congestionThreshold := func(class ports.ClassName) time.Duration { return m.congestionThreshold(s.name, class) }
		s.owner.Release(now, key, report.Class, run, congestionThreshold)
	case ports.SlotUnused:
		s.owner.ReturnUnused(key)
	case ports.SlotUnknownServer:
		s.needsAddresses[key.Entry] = true
		s.owner.ReturnUnused(key)
	case ports.SlotProgress:
		s.owner.ChargeProgress(key, float64(report.Cost))
	case ports.SlotStarted:
		s.owner.CorrectClass(key, report.Class)
	}
}

func (m *Manager) handleHeldSlots(from ports.DaemonID, message *ports.HeldSlotsMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(message.Service)
	heldSlots := make([]slots.HeldSlot, 0, len(message.Slots))
	for _, held := range message.Slots {
		heldSlots = append(heldSlots, slots.HeldSlot{
			Key: slots.Key{
				Entry:              from,
				Granter:            held.Granter,
				GranterIncarnation: held.GranterIncarnation,
				ID:                 held.ID,
			},
			Workspace: held.Workspace,
			Class:     held.Class,
			Server:    held.Server,
			Charged:   float64(held.Charged),
		})
	}
	s.owner.SetHeldSlots(now, from, m.ackedSequence(message.OwnerIncarnation, message.AckedSequence), heldSlots, m.windowLimit(s.name))
	s.heldSlotsReportedAt[from] = now
	m.endGracePeriodIfReported(s)
	m.grantFreeSlots(now, s)
}

// endGracePeriodIfReported ends the grace period of a new owner early, once every
// daemon considered alive has reported its held slots. Reports count from 1 second
// before the servers were gained.
func (m *Manager) endGracePeriodIfReported(s *ownedService) {
	if !s.inGracePeriod {
		return
	}
	for entry := range m.alive {
		if s.heldSlotsReportedAt[entry].Before(s.serversGainedAt.Add(-time.Second)) {
			return
		}
	}
	s.inGracePeriod = false
	s.owner.EndGracePeriod()
}
