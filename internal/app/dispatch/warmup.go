package dispatch

import (
	"time"

	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// States of a server in the counter and the log of its warm-up.
const (
	stateCold = "cold"
	stateWarm = "warm"
)

// warmUpSettings returns the settings of the warm-up; s may be nil.
func warmUpSettings(s *settings.Settings) settings.WarmUp {
	if s == nil {
		return settings.Default().WarmUp
	}
	return s.WarmUp
}

// warmUpOf returns how the servers of a service warm up.
func (m *Manager) warmUpOf(service *configuration.Service) core.WarmUp {
	return core.WarmUp{
		Within: service.WarmUpWithin.Value(), Rate: service.WarmUpRate,
		Factor: m.warmUp.Tolerance, Excess: m.warmUp.Excess,
	}
}

// setListFresh records in all pools whether the list of servers is up to date. The caller
// holds the mutex.
func (m *Manager) setListFresh(now time.Time, isFresh bool) {
	for _, pool := range m.pools {
		pool.SetListFresh(now, isFresh)
	}
}

// recordWarmthChanges counts and logs the servers that have become cold or warm. The
// caller holds the mutex.
func (m *Manager) recordWarmthChanges(service ports.ServiceName, changes []core.WarmthChange) {
	for _, change := range changes {
		state := stateWarm
		if change.IsCold {
			state = stateCold
		}
		m.warmthCounter.Inc(string(service), state, string(change.Reason))
		if !m.limiter.Allow("server-"+state, string(change.Reason)) {
			continue
		}
		m.logger.Info().Str("event", "server-"+state).Str("reason", string(change.Reason)).
			Str("server", string(change.VM.Name)).Str("service", string(service)).Msg("")
	}
}
