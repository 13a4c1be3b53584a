package sharing

import (
	"context"
	"errors"
	"time"

	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/ports"
)

// noLoadReportError is the error of a server that answers but provides no load
// report.
type noLoadReportError interface {
	NoLoadReport()
}

// probeDueServers requests the load reports that are due, each in its own
// goroutine.
func (m *Manager) probeDueServers(now time.Time) {
	if m.loads == nil {
		return
	}
	for _, s := range m.dueProbes(now) {
		m.goroutines.Go(func() { m.probeServer(s.service, s.server) })
	}
}

// dueProbe is one server whose load report is to be requested.
type dueProbe struct {
	service ports.ServiceName
	server  ports.VM
}

func (m *Manager) dueProbes(now time.Time) []dueProbe {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []dueProbe
	for name, s := range m.ownedServices {
		for _, server := range s.owner.DueProbes(now) {
			due = append(due, dueProbe{service: name, server: server})
		}
	}
	return due
}

func (m *Manager) probeServer(service ports.ServiceName, server ports.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sentAt := time.Now()
	report, err := m.loads.Load(ctx, server)
	now := time.Now()
	roundTrip := now.Sub(sentAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(service)
	var noReport noLoadReportError
	switch {
	case err == nil:
		s.owner.ObserveProbe(now, server.Name, true, roundTrip)
		s.owner.ObserveLoad(now, server.Name, report)
	case errors.As(err, &noReport):
		s.owner.ObserveProbe(now, server.Name, true, roundTrip)
	default:
		m.scope.Counter("probes_failed").Inc(1)
		if m.limiter.Allow("load-report-failed", string(service)) {
			m.logger.Info().Str("event", "load-report-failed").Str("service", string(service)).
				Str("server", string(server.Name)).Str("error", fieldcheck.Quote(err.Error())).Msg("")
		}
		s.owner.ObserveProbe(now, server.Name, false, roundTrip)
	}
	m.grantFreeSlots(now, s)
}
