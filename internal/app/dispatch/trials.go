package dispatch

import (
	"strconv"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Results of the trial of a quarantined call.
const (
	trialSound        = "sound"
	trialServerEnded  = "server-ended"
	trialInconclusive = "inconclusive"
)

// minServersForTrial is the number of servers that must accept a quarantined call for it
// to be tried at one of them.
const minServersForTrial = 2

// reportDelay returns the time within which what this daemon reports has reached all
// others, through an aggregator of its failure domain.
func reportDelay(peers, daemons int) time.Duration {
	own := reportPeriod + time.Duration(peers)*reportPeriodPerPeer
	sums := aggregatePeriod + time.Duration(daemons)*aggregatePeriodPerDaemon
	return (3*own + sums) * 5 / 4
}

// mayTry reports whether a quarantined call may run as a trial: it may be repeated, a
// server can be spared, and it is this daemon's turn. The caller holds the mutex.
func (m *Manager) mayTry(now time.Time, w *waiter) bool {
	if !w.call.Repeatable || len(w.call.FailedServers) > 0 || w.call.IsResumption() {
		return false
	}
	turn, ok := m.quarantine.TrialTurn(now, w.causes)
	if !ok || m.directory.KeyOwner("quarantine-trial/"+strconv.FormatInt(turn, 10)) != m.directory.Self().Name {
		return false
	}
	pool := m.pools[w.call.Service]
	return pool != nil && pool.CountAccepting(now, &w.work) >= minServersForTrial
}

// beginTrial records that the call gets the slot as a trial if it is quarantined.
// The caller holds the mutex.
func (m *Manager) beginTrial(now time.Time, s *slot) {
	s.isTrial = m.quarantine.RecordOwnTrial(now, s.causes)
}

// recordTrialEnd logs and counts what the trial showed. The caller holds the manager's
// mutex.
func (s *slot) recordTrialEnd(report ports.RunReport) {
	if !s.isTrial {
		return
	}
	result := trialInconclusive
	switch {
	case s.soundRecorded && report.Reason != outcome.ReasonServerFailed:
		result = trialSound
	case report.Reason == outcome.ReasonConnectionBroken || report.Reason == outcome.ReasonAnswerTruncated:
		result = trialServerEnded
	}
	s.manager.trialCounter.Inc(result)
	s.manager.logger.Info().Str("event", "quarantine-trial").Str("result", result).Str("request", string(s.call.ID)).
		Uint64("call", uint64(s.causes[0])).Strs("parts", s.call.Prompt.SharedPartIDs()).
		Str("server", string(s.server.Name)).Msg("")
}
