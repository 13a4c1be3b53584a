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

// partHashes returns the hashes of the parts of a call's prompt prefix.
func partHashes(call *ports.Call) []quarantine.CauseHash {
	ids := call.Prompt.SharedPartIDs()
	if len(ids) == 0 {
		return nil
	}
	hashes := make([]quarantine.CauseHash, len(ids))
	for i, id := range ids {
		hashes[i] = quarantine.HashPart(call.Service, id)
	}
	return hashes
}

// quarantineRefusal returns the refusal of a call with a quarantined part, or nil.
func (m *Manager) quarantineRefusal(now time.Time, w *waiter) *outcome.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantineRefusalLocked(now, w)
}

// quarantineRefusalLocked does the same for a caller that holds the mutex.
func (m *Manager) quarantineRefusalLocked(now time.Time, w *waiter) *outcome.Refusal {
	for _, part := range w.parts {
		if until, ok := m.quarantine.QuarantinedUntil(now, part); ok {
			return &outcome.Refusal{
				Reason: outcome.ReasonPartQuarantined, End: outcome.NotRun,
				Detail: "a part of the prompt ended the backend servers that ran it", RetryAfter: until.Sub(now),
			}
		}
	}
	return nil
}

// recordLastingAnswer records the parts of an answer as sound once it has lasted long
// enough.
func (s *slot) recordLastingAnswer() {
	if s.soundRecorded || len(s.parts) == 0 {
		return
	}
	now := time.Now()
	if now.Sub(s.answerBeganAt) < quarantine.SoundAfter {
		return
	}
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	s.recordSoundLocked(now)
}

// recordParts records what the end of a run says about the parts of its prompt. The
// caller holds the manager's mutex.
func (s *slot) recordParts(now time.Time, report ports.RunReport) {
	switch {
	case s.soundRecorded:
	case report.Reason == "" && report.FirstByteAfter > 0:
		s.recordSoundLocked(now)
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

func (s *slot) recordSoundLocked(now time.Time) {
	s.soundRecorded = true
	began := s.answerBeganAt
	if began.IsZero() {
		began = now
	}
	for _, part := range s.parts {
		if s.manager.quarantine.RecordOwnSound(now, quarantine.SoundAnswer{Cause: part, At: began}) {
			s.manager.logReleased([]quarantine.CauseHash{part})
		}
	}
}

func (s *slot) recordServerEndLocked(now time.Time) {
	for _, part := range s.parts {
		if s.manager.quarantine.RecordOwnEnd(now, quarantine.ServerEnd{Cause: part, Server: s.instance, At: now}) {
			s.manager.logQuarantined(part, quarantinedByEnds)
		}
	}
}

// addPartUpdates adds what this daemon has learned of prompt parts to a message.
func addPartUpdates(now time.Time, message *ports.LoadMessage, updates quarantine.Updates) {
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

// mergeParts records what a peer has learned of prompt parts. The caller holds the mutex.
func (m *Manager) mergeParts(now time.Time, message *ports.LoadMessage, fromDomain bool) {
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
	for _, part := range quarantined {
		m.logQuarantined(part, quarantinedByEnds)
	}
	m.logReleased(released)
	for _, part := range m.quarantine.Adopt(now, fromServerEnds(now, message.QuarantineEnds)) {
		m.logQuarantined(part, quarantinedByPeer)
	}
}

func (m *Manager) logQuarantined(part quarantine.CauseHash, source string) {
	m.quarantineCounter.Inc(source)
	m.logger.Warn().Str("event", "prompt-part-quarantined").Uint64("part", uint64(part)).Str("source", source).Msg("")
}

func (m *Manager) logReleased(parts []quarantine.CauseHash) {
	for _, part := range parts {
		m.logger.Info().Str("event", "prompt-part-released").Uint64("part", uint64(part)).Msg("")
	}
}
