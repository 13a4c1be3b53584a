package dispatch

import (
	"math/rand/v2"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

const (
	eventPushback = "server-pushback"
	// maxPauseCheckPeriod is the longest time between two checks for the end of a
	// pause.
	maxPauseCheckPeriod = time.Hour
)

// RecordLeaving implements ports.ServerNotices. Only the first answer of a server that
// says so is logged and counted.
func (m *Manager) RecordLeaving(server ports.VM) {
	if !m.applyLeaving(time.Now(), server) {
		return
	}
	m.leavingCounter.Inc(string(server.Service))
	m.logger.Info().Str("event", "server-leaving").Str("reason", "answer").Str("server", string(server.Name)).
		Str("service", string(server.Service)).Str("address", server.Address).Msg("")
}

// applyLeaving reports false if the server was known to be leaving.
func (m *Manager) applyLeaving(now time.Time, server ports.VM) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.notices.RecordLeaving(now, server) {
		return false
	}
	m.applyNotices(now, true)
	return true
}

// applyNotices makes the notices take effect for the servers and the waiting calls. If a
// server no longer takes calls, those that wait for it choose others or are refused at
// once, also within resolveInterval. The caller holds the mutex.
func (m *Manager) applyNotices(now time.Time, serverLost bool) {
	for _, pool := range m.pools {
		pool.ApplyNotices(m.notices)
	}
	if serverLost {
		m.linesResolvedAt = time.Time{}
	}
	m.resolveLines(now)
}

// RecordPushback implements ports.ServerNotices.
func (m *Manager) RecordPushback(call *ports.Call, server ports.VM, pause time.Duration) time.Duration {
	untilFree := m.applyPause(time.Now(), call, server, pause)
	m.signalPause()
	m.pushbackCounter.Inc(string(server.Service))
	if m.limiter.Allow(eventPushback, string(server.Service)) {
		m.logger.Info().Str("event", eventPushback).Str("reason", "retry-after").Str("server", string(server.Name)).
			Str("service", string(server.Service)).Dur("pause", pause).Dur("untilFree", untilFree).Msg("")
	}
	if untilFree <= 0 {
		return 0
	}
	return core.RetryAfterPause(untilFree, rand.Float64())
}

// applyPause returns the time until a server of the same service in the call's regions
// takes calls, zero if one does so now or none is left.
func (m *Manager) applyPause(now time.Time, call *ports.Call, server ports.VM, pause time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyNotices(now, m.notices.RecordPause(now, server, pause))
	pool, ok := m.pools[server.Service]
	if !ok {
		return 0
	}
	work := core.WorkIn(core.AllowedRegions(core.CurrentRegionLists(call, m.revision, m.document)))
	free, found := pool.EarliestFree(now, &work)
	if !found {
		return 0
	}
	return free.Sub(now)
}

// untilNextFree returns the time after which the waiting calls can use the next server
// whose pause ends or whose limit permits one more.
func (m *Manager) untilNextFree(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := now.Add(maxPauseCheckPeriod)
	for _, pool := range m.pools {
		if free, found := pool.NextFree(now); found && free.Before(next) {
			next = free
		}
	}
	// A pass over the waiting calls is omitted within resolveInterval of the last one.
	return next.Sub(now) + resolveInterval
}

// signalPause makes the loop determine again when the next server takes calls.
func (m *Manager) signalPause() {
	select {
	case m.pauseSignal <- struct{}{}:
	default:
	}
}
