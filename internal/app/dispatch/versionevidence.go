package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// severalVersions reports whether streams of several software versions of a service may be
// in progress, as far as this daemon knows. The caller holds the mutex.
func (m *Manager) severalVersions(now time.Time, service ports.ServiceName) bool {
	view, ok := m.versionViews[service]
	return ok && len(view.Possible(now)) > 1
}
