package dispatch

import (
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/ports"
)

// Sources of a quarantine: the ends that this daemon knows, or another daemon's
// quarantine.
const (
	quarantinedByEnds = "ends"
	quarantinedByPeer = "peer"
)

// causesOf returns what of a call may end servers: the whole call, which is the first, and
// the parts of its prompt prefix.
func causesOf(call *ports.Call) []quarantine.CauseHash {
	ids := call.Prompt.SharedPartIDs()
	hashes := make([]quarantine.CauseHash, 0, len(ids)+1)
	hashes = append(hashes, quarantine.HashCall(call))
	for _, id := range ids {
		hashes = append(hashes, quarantine.HashPart(call.Service, id))
	}
	return hashes
}

// quarantineRefusal returns the refusal of a call that is quarantined or has a quarantined
// part, or nil.
func (m *Manager) quarantineRefusal(now time.Time, w *waiter) *outcome.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantineRefusalLocked(now, w)
}

// quarantineRefusalLocked does the same for a caller that holds the mutex.
func (m *Manager) quarantineRefusalLocked(now time.Time, w *waiter) *outcome.Refusal {
	for _, cause := range w.causes {
		until, ok := m.quarantine.QuarantinedUntil(now, cause)
		if !ok {
			continue
		}
		refusal := &outcome.Refusal{
			Reason: outcome.ReasonPartQuarantined, End: outcome.NotRun,
			Detail: "a part of the prompt ended the backend servers that ran it", RetryAfter: until.Sub(now),
		}
		if cause.IsCall() {
			refusal.Reason, refusal.Detail = outcome.ReasonCallQuarantined, "the call ended the backend servers that ran it"
		}
		return refusal
	}
	return nil
}

// recordLastingAnswer records the call and its parts as sound once the answer has lasted
// long enough.
func (s *slot) recordLastingAnswer() {
	if s.soundRecorded {
		return
	}
	now := time.Now()
	if now.Sub(s.answerBeganAt) < quarantine.SoundAfter {
		return
	}
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	s.recordSoundLocked(now, s.causes)
}

// recordCauses records what the end of a run says about the call and the parts of its
// prompt. An error of the server is an answer: it shows that the call doesn't end
// servers, but nothing about its parts. The caller holds the manager's mutex.
func (s *slot) recordCauses(now time.Time, report ports.RunReport) {
	switch {
	case s.soundRecorded:
	case report.Reason == "" && report.FirstByteAfter > 0:
		s.recordSoundLocked(now, s.causes)
	case report.Reason == outcome.ReasonServerFailed || report.Reason == outcome.ReasonStreamNotContinued:
		s.recordSoundLocked(now, s.causes[:1])
	case report.Reason == outcome.ReasonConnectionBroken || report.Reason == outcome.ReasonAnswerTruncated:
		s.recordServerEndLocked(now)
	}
}

// recordServerLife records the first byte of the server's answer. The caller holds the
// manager's mutex.
func (s *slot) recordServerLife(now time.Time) {
	life := quarantine.SignOfLife{Server: s.instance, At: s.grantedAt}
	s.manager.logReleased(s.manager.quarantine.RecordOwnLife(now, life))
}

func (s *slot) recordSoundLocked(now time.Time, causes []quarantine.CauseHash) {
	s.soundRecorded = true
	began := s.answerBeganAt
	if began.IsZero() {
		began = now
	}
	for _, cause := range causes {
		if s.manager.quarantine.RecordOwnSound(now, quarantine.SoundAnswer{Cause: cause, At: began}) {
			s.manager.logReleased([]quarantine.CauseHash{cause})
		}
	}
}

func (s *slot) recordServerEndLocked(now time.Time) {
	for _, cause := range s.causes {
		if s.manager.quarantine.RecordOwnEnd(now, quarantine.ServerEnd{Cause: cause, Server: s.instance, At: now}) {
			s.manager.logQuarantined(cause, quarantinedByEnds)
		}
	}
}

// addCauseUpdates adds what this daemon has learned of calls and prompt parts to a message.
func addCauseUpdates(now time.Time, message *ports.LoadMessage, updates quarantine.Updates) {
	message.ServerEnds = toServerEnds(now, updates.Ends)
	for _, sound := range updates.Sounds {
		message.SoundAnswers = append(message.SoundAnswers, ports.SoundAnswer{
			Part: uint64(sound.Cause), AgeMillis: ageMillis(now, sound.At),
		})
	}
	for _, life := range updates.Lives {
		message.SignsOfLife = append(message.SignsOfLife, ports.SignOfLife{
			Server: uint64(life.Server), AgeMillis: ageMillis(now, life.At),
		})
	}
}

// ageMillis returns the age of an event in milliseconds. Daemons send ages, since their
// clocks differ.
func ageMillis(now, at time.Time) int64 {
	return now.Sub(at).Milliseconds()
}

func timeOfAge(now time.Time, ageMillis int64) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

func toServerEnds(now time.Time, ends []quarantine.ServerEnd) []ports.ServerEnd {
	var reported []ports.ServerEnd
	for _, end := range ends {
		reported = append(reported, ports.ServerEnd{
			Part: uint64(end.Cause), Server: uint64(end.Server), AgeMillis: ageMillis(now, end.At),
		})
	}
	return reported
}

func fromServerEnds(now time.Time, reported []ports.ServerEnd) []quarantine.ServerEnd {
	var ends []quarantine.ServerEnd
	for _, end := range reported {
		ends = append(ends, quarantine.ServerEnd{
			Cause: quarantine.CauseHash(end.Part), Server: quarantine.ServerInstance(end.Server), At: timeOfAge(now, end.AgeMillis),
		})
	}
	return ends
}

// mergeCauses records what a peer has learned of calls and prompt parts. The caller holds
// the mutex.
func (m *Manager) mergeCauses(now time.Time, message *ports.LoadMessage, fromDomain bool) {
	updates := quarantine.Updates{Ends: fromServerEnds(now, message.ServerEnds)}
	for _, sound := range message.SoundAnswers {
		updates.Sounds = append(updates.Sounds, quarantine.SoundAnswer{
			Cause: quarantine.CauseHash(sound.Part), At: timeOfAge(now, sound.AgeMillis),
		})
	}
	for _, life := range message.SignsOfLife {
		updates.Lives = append(updates.Lives, quarantine.SignOfLife{
			Server: quarantine.ServerInstance(life.Server), At: timeOfAge(now, life.AgeMillis),
		})
	}
	quarantined, released := m.quarantine.Merge(now, updates, fromDomain)
	for _, cause := range quarantined {
		m.logQuarantined(cause, quarantinedByEnds)
	}
	m.logReleased(released)
	for _, cause := range m.quarantine.Adopt(now, fromServerEnds(now, message.QuarantineEnds)) {
		m.logQuarantined(cause, quarantinedByPeer)
	}
}

func (m *Manager) logQuarantined(cause quarantine.CauseHash, source string) {
	if cause.IsCall() {
		m.callQuarantineCounter.Inc(source)
		m.logger.Warn().Str("event", "call-quarantined").Uint64("call", uint64(cause)).Str("source", source).Msg("")
		return
	}
	m.quarantineCounter.Inc(source)
	m.logger.Warn().Str("event", "prompt-part-quarantined").Uint64("part", uint64(cause)).Str("source", source).Msg("")
}

func (m *Manager) logReleased(causes []quarantine.CauseHash) {
	for _, cause := range causes {
		if cause.IsCall() {
			m.logger.Info().Str("event", "call-released").Uint64("call", uint64(cause)).Msg("")
			continue
		}
		m.logger.Info().Str("event", "prompt-part-released").Uint64("part", uint64(cause)).Msg("")
	}
}
