package sharing

import (
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/ports"
)

// minProgressStep is the least cost between two progress reports of one run, in
// cost units.
const minProgressStep = 32

// heldSlot is a slot held by a call of this daemon. It implements ports.Slot.
type heldSlot struct {
	manager      *Manager
	service      ports.ServiceName
	key          slotKey
	workspace    ports.WorkspaceID
	class        ports.ClassName
	grantedClass ports.ClassName
	server       ports.VM
	estimate     ports.Cost
	grantDetails ports.GrantDetails
	// charged is the cost that was last reported to the owner, at first the estimate
	// of the grant.
	charged atomic.Int64
}

func (m *Manager) newHeldSlot(s *entryService, link *ownerLink, grant ports.GrantItem, item *admission.Item, server ports.VM) *heldSlot {
	slot := &heldSlot{
		manager:      m,
		service:      s.name,
		key:          slotKey{granter: link.owner, granterIncarnation: link.ownerIncarnation, id: grant.ID},
		workspace:    grant.Workspace,
		class:        item.Class,
		grantedClass: grant.Class,
		server:       server,
		estimate:     grant.Estimate,
	}
	slot.charged.Store(int64(grant.Estimate))
	s.heldSlots[slot.key] = slot
	return slot
}

// Server implements ports.Slot.
func (h *heldSlot) Server() ports.VM {
	return h.server
}

// GrantDetails implements ports.Slot.
func (h *heldSlot) GrantDetails() ports.GrantDetails {
	return h.grantDetails
}

// RecordUnlistedStart implements ports.Slot. Servers of the own interface have no software
// versions.
func (h *heldSlot) RecordUnlistedStart() {}

// Progress implements ports.Slot.
func (h *heldSlot) Progress(cost ports.Cost) {
	step := max(minProgressStep, int64(h.estimate)/2)
	if int64(cost) < h.charged.Load()+step {
		return
	}
	h.charged.Store(int64(cost))
	h.manager.reportProgress(h, cost)
}

// Release implements ports.Slot.
func (h *heldSlot) Release(report ports.RunReport) {
	h.manager.release(h, ports.SlotReport{
		State:           ports.SlotReleased,
		Cost:            report.Cost,
		FirstByteMillis: ceilMilliseconds(report.FirstByteAfter),
		Fault:           report.Fault,
	})
}

func (m *Manager) reportProgress(h *heldSlot, cost ports.Cost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(h.service)
	link := s.link(s.currentOwner(h))
	link.pendingReports = append(link.pendingReports, h.withSlotID(link, ports.SlotReport{State: ports.SlotProgress, Cost: cost}))
}

func (m *Manager) release(h *heldSlot, report ports.SlotReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(h.service)
	if s.heldSlots[h.key] != h {
		return
	}
	delete(s.heldSlots, h.key)
	if h.class != h.grantedClass {
		report.Class = h.class
	}
	link := s.link(s.currentOwner(h))
	link.pendingReports = append(link.pendingReports, h.withSlotID(link, report))
	m.sendReports(time.Now(), s, link)
}

// returnUnused returns a slot whose call is gone.
func (m *Manager) returnUnused(h *heldSlot) {
	s := m.entryService(h.service)
	delete(s.heldSlots, h.key)
	link := s.link(s.currentOwner(h))
	link.pendingReports = append(link.pendingReports, h.withSlotID(link, ports.SlotReport{State: ports.SlotUnused}))
	m.sendReports(time.Now(), s, link)
}

// withSlotID returns the report with the identity of the slot. The granter is left
// out when it is the current incarnation of the owner that gets the report.
func (h *heldSlot) withSlotID(link *ownerLink, report ports.SlotReport) ports.SlotReport {
	report.ID = h.key.id
	if h.key.granter != link.owner || h.key.granterIncarnation != link.ownerIncarnation {
		report.Granter = h.key.granter
		report.GranterIncarnation = h.key.granterIncarnation
	}
	return report
}

func (h *heldSlot) toMessage() ports.HeldSlot {
	return ports.HeldSlot{
		ID:                 h.key.id,
		Granter:            h.key.granter,
		GranterIncarnation: h.key.granterIncarnation,
		Workspace:          h.workspace,
		Class:              h.class,
		Server:             h.server.Name,
		Charged:            ports.Cost(h.charged.Load()),
	}
}

// ceilMilliseconds rounds up, so that a measured time never becomes zero.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
