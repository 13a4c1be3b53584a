package dispatch

import (
	"sync/atomic"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// slot implements ports.Slot.
type slot struct {
	manager       *Manager
	call          *ports.Call
	server        ports.VM
	booking       *core.Booking
	grantDetails  ports.GrantDetails
	firstByteSeen atomic.Bool
	// causes are what of the call may end servers, the whole call first.
	causes []quarantine.CauseHash
	// grant is what is counted in shares as granted to the workspace.
	grant  core.Grant
	shares *core.ShareTracker
	// instance identifies the server since its start, and grantedAt is when the call got
	// the slot.
	instance  quarantine.ServerInstance
	grantedAt time.Time
	// answerBeganAt is when the first event arrived; zero before. soundRecorded is true
	// once the answer has shown that the call is sound.
	answerBeganAt time.Time
	soundRecorded bool
}

// Server implements ports.Slot.
func (s *slot) Server() ports.VM {
	return s.server
}

// GrantDetails implements ports.Slot.
func (s *slot) GrantDetails() ports.GrantDetails {
	return s.grantDetails
}

// RecordUnlistedStart implements ports.Slot.
func (s *slot) RecordUnlistedStart() {
	s.server.SoftwareVersion = streamorigin.UnknownVersion
}

// Progress implements ports.Slot. The first call records the first byte.
func (s *slot) Progress(ports.Cost) {
	if s.firstByteSeen.Swap(true) {
		s.recordLastingAnswer()
		return
	}
	now := time.Now()
	s.answerBeganAt = now
	s.manager.recordFirstEvent(now, s.call, s.server)
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	s.booking.RecordFirstByte(now)
	s.recordServerLife(now)
	s.manager.resolveLines(now)
}

// Release implements ports.Slot.
func (s *slot) Release(report ports.RunReport) {
	if s.firstByteSeen.Load() {
		s.manager.checkpoints.recordEnd(time.Now(), s.call, report.Reason == "")
	}
	s.manager.recordHealthChange(s.server, s.release(report), report.Fault)
}

func (s *slot) release(report ports.RunReport) core.HealthChange {
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	now := time.Now()
	change := s.releaseLocked(now, report)
	s.manager.resolveLines(now)
	return change
}

// releaseLocked ends the booking of the slot. The caller holds the manager's mutex.
func (s *slot) releaseLocked(now time.Time, report ports.RunReport) core.HealthChange {
	if report.FirstByteAfter > 0 && !s.firstByteSeen.Swap(true) {
		s.booking.RecordFirstByte(now)
		s.recordServerLife(now)
	}
	if report == (ports.RunReport{}) && !s.firstByteSeen.Load() {
		s.booking.ReturnUnsent()
	}
	if !s.firstByteSeen.Load() {
		s.shares.CancelGrant(now, s.grant)
	}
	s.recordCauses(now, report)
	return s.booking.RecordEnd(now, report.Fault)
}
