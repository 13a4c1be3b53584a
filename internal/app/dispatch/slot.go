package dispatch

import (
	"sync/atomic"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// slot implements ports.Slot.
type slot struct {
	manager *Manager
	server  ports.VM
	booking *core.Booking
	origin  ports.GrantDetails
	begun   atomic.Bool
}

// Server implements ports.Slot.
func (s *slot) Server() ports.VM {
	return s.server
}

// GrantDetails implements ports.Slot.
func (s *slot) GrantDetails() ports.GrantDetails {
	return s.origin
}

// Progress implements ports.Slot: the first report tells that the answer began.
func (s *slot) Progress(ports.Cost) {
	if s.begun.Swap(true) {
		return
	}
	now := time.Now()
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	s.booking.Begun(now)
	s.manager.settleWaiters(now)
}

// Release implements ports.Slot.
func (s *slot) Release(report ports.RunReport) {
	s.manager.tellHealth(s.server, s.release(report), report.Fault)
}

func (s *slot) release(report ports.RunReport) core.HealthChange {
	now := time.Now()
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	if report.FirstByteAfter > 0 && !s.begun.Swap(true) {
		s.booking.Begun(now)
	}
	change := s.booking.Ended(now, report.Fault)
	s.manager.settleWaiters(now)
	return change
}
