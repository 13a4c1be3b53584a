package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
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
	for _, pool := range m.pools {
		pool.ApplyNotices(m.notices)
	}
	// The waiting calls choose others at once, also within resolveInterval.
	m.waitersResolvedAt = time.Time{}
	m.resolveWaiters(now)
	return true
}
