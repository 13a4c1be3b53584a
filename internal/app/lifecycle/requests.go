package lifecycle

import (
	"os"
	"time"

	"hawthornstream/internal/core/gracefulstop"
)

// HandleSignals requests the stop upon the first signal, and its end at once upon an
// interrupt during the stop. Another signal during a stop limits it if it was planned, and
// changes nothing else. It returns when the channel is closed.
func (m *Manager) HandleSignals(signals <-chan os.Signal) {
	for received := range signals {
		request := gracefulstop.RequestStop
		if received == os.Interrupt {
			request = gracefulstop.RequestInterrupt
		}
		m.requestStop(time.Now(), request, CauseSignal)
	}
}

func (m *Manager) requestStop(now time.Time, request gracefulstop.Request, cause StopCause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	action, beganAt := m.requests.Receive(now, request)
	switch action {
	case gracefulstop.ActionBegin:
		m.stopping.Store(true)
		m.stopRequested <- Stop{Cause: cause, RequestedAt: now}
	case gracefulstop.ActionLimit:
		m.killAnnounced <- now
	case gracefulstop.ActionCut:
		if !m.isCut {
			m.isCut = true
			close(m.cutRequested)
		}
	}
	m.scope.Tagged(map[string]string{"cause": string(cause), "action": action.String()}).Counter("stop_requests").Inc(1)
	m.logger.Info().
		Str("event", "stop-requested").
		Str("cause", string(cause)).
		Stringer("action", action).
		Dur("sinceFirst", now.Sub(beganAt)).
		Msg("")
}
