package cluster

import (
	"time"

	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

// registerHandlers registers the handlers of membership messages and session
// changes.
func (m *Manager) registerHandlers() {
	transport := m.options.Transport
	transport.Handle(ports.KindProbe, func() ports.Message { return &ports.Probe{} }, m.handleProbe)
	transport.Handle(ports.KindProbeAck, func() ports.Message { return &ports.ProbeAck{} }, m.handleAck)
	transport.OnSession(m.handleSessionChange)
	transport.Handle(ports.KindProbeRequest, func() ports.Message { return &ports.ProbeRequest{} }, m.handleProbeRequest)
}

// handleSessionChange probes at once a daemon whose session was lost, or a
// suspect whose session was opened.
func (m *Manager) handleSessionChange(peer ports.DaemonID, up bool) {
	if up {
		m.updateTable(func(now time.Time) []membership.Envelope { return m.table.HandleSessionOpened(peer, now) })
		return
	}
	m.updateTable(func(now time.Time) []membership.Envelope { return m.table.HandleSessionLost(peer, now) })
}

func (m *Manager) handleProbe(from ports.DaemonID, message ports.Message) {
	probe := message.(*ports.Probe)
	m.updateTable(func(now time.Time) []membership.Envelope { return m.table.HandleProbe(from, probe, now) })
	m.observeRevision(from, probe.ConfigurationRevision)
}

func (m *Manager) handleAck(from ports.DaemonID, message ports.Message) {
	ack := message.(*ports.ProbeAck)
	m.updateTable(func(now time.Time) []membership.Envelope { return m.table.HandleAck(from, ack, now) })
	m.observeRevision(from, ack.ConfigurationRevision)
}

func (m *Manager) handleProbeRequest(from ports.DaemonID, message ports.Message) {
	request := message.(*ports.ProbeRequest)
	m.updateTable(func(now time.Time) []membership.Envelope {
		return m.table.HandleProbeRequest(from, request, now)
	})
}
