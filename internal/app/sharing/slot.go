package sharing

import (
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/ports"
)

// progressStep is the least cost between two reports of progress of one run.
const progressStep = 32

// heldSlot is a slot that a call of this daemon holds. It implements
// ports.Slot.
type heldSlot struct {
	manager   *Manager
	service   ports.ServiceName
	key       slotKey
	workspace ports.WorkspaceID
	class     ports.ClassName
	granted   ports.ClassName
	server    ports.VM
	estimate  ports.Cost
	origin    ports.GrantDetails
	// charged is the cost that the owner has charged, as far as known here.
	charged atomic.Int64
}

func (m *Manager) newHeldSlot(s *entryService, link *ownerLink, grant ports.GrantItem, item *admission.Item, server ports.VM) *heldSlot {
	slot := &heldSlot{
		manager:   m,
		service:   s.name,
		key:       slotKey{granter: link.owner, run: link.run, id: grant.ID},
		workspace: grant.Workspace,
		class:     item.Class,
		granted:   grant.Class,
		server:    server,
		estimate:  grant.Estimate,
	}
	slot.charged.Store(int64(grant.Estimate))
	s.held[slot.key] = slot
	return slot
}

// Server implements ports.Slot.
func (h *heldSlot) Server() ports.VM {
	return h.server
}

// GrantDetails implements ports.Slot.
func (h *heldSlot) GrantDetails() ports.GrantDetails {
	return h.origin
}

// Progress implements ports.Slot.
func (h *heldSlot) Progress(cost ports.Cost) {
	step := max(progressStep, int64(h.estimate)/2)
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
		FirstByteMillis: milliseconds(report.FirstByteAfter),
		Fault:           report.Fault,
	})
}

func (m *Manager) reportProgress(h *heldSlot, cost ports.Cost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(h.service)
	link := s.link(s.ownerOf(h))
	link.reports = append(link.reports, h.report(link, ports.SlotReport{State: ports.SlotProgress, Cost: cost}))
}

func (m *Manager) release(h *heldSlot, report ports.SlotReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.entryService(h.service)
	if s.held[h.key] != h {
		return
	}
	delete(s.held, h.key)
	if h.class != h.granted {
		report.Class = h.class
	}
	link := s.link(s.ownerOf(h))
	link.reports = append(link.reports, h.report(link, report))
	m.report(time.Now(), s, link)
}

// returnUnused gives back a slot whose call went away.
func (m *Manager) returnUnused(h *heldSlot) {
	s := m.entryService(h.service)
	delete(s.held, h.key)
	link := s.link(s.ownerOf(h))
	link.reports = append(link.reports, h.report(link, ports.SlotReport{State: ports.SlotUnused}))
	m.report(time.Now(), s, link)
}

// report fills in which slot a report is about.
func (h *heldSlot) report(link *ownerLink, report ports.SlotReport) ports.SlotReport {
	report.ID = h.key.id
	if h.key.granter != link.owner || h.key.run != link.run {
		report.Granter = h.key.granter
		report.GranterIncarnation = h.key.run
	}
	return report
}

func (h *heldSlot) heldReport() ports.HeldSlot {
	return ports.HeldSlot{
		ID:                 h.key.id,
		Granter:            h.key.granter,
		GranterIncarnation: h.key.run,
		Workspace:          h.workspace,
		Class:              h.class,
		Server:             h.server.Name,
		Charged:            ports.Cost(h.charged.Load()),
	}
}

// milliseconds rounds up, so that a measured time never becomes zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
