package sharing

import (
	"context"
	"errors"
	"time"

	"hawthornstream/internal/ports"
)

// noLoadReport is an error of a server that answers and gives no report.
type noLoadReport interface {
	NoLoadReport()
}

// probe asks the servers that are due for their load reports. The answers come
// on goroutines of their own.
func (m *Manager) probe(now time.Time) {
	if m.loads == nil {
		return
	}
	for _, s := range m.dueProbes(now) {
		m.loops.Go(func() { m.probeServer(s.service, s.server) })
	}
}

// dueProbe is one server to be asked.
type dueProbe struct {
	service ports.ServiceName
	server  ports.VM
}

func (m *Manager) dueProbes(now time.Time) []dueProbe {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []dueProbe
	for name, s := range m.owned {
		for _, server := range s.owner.DueProbes(now) {
			due = append(due, dueProbe{service: name, server: server})
		}
	}
	return due
}

func (m *Manager) probeServer(service ports.ServiceName, server ports.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	asked := time.Now()
	report, err := m.loads.Load(ctx, server)
	now := time.Now()
	trip := now.Sub(asked)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.ownedService(service)
	var without noLoadReport
	switch {
	case err == nil:
		s.owner.ObserveProbe(now, server.Name, true, trip)
		s.owner.ObserveLoad(now, server.Name, report)
	case errors.As(err, &without):
		s.owner.ObserveProbe(now, server.Name, true, trip)
	default:
		m.scope.Counter("probes_failed").Inc(1)
		s.owner.ObserveProbe(now, server.Name, false, trip)
	}
	m.grant(now, s)
}
