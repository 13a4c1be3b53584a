package cluster

import (
	"time"

	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

// handleMessages registers the handlers of the membership protocol.
func (m *Manager) handleMessages() {
	transport := m.options.Transport
	transport.Handle(ports.KindProbe, func() ports.Message { return &ports.Probe{} }, m.handleProbe)
	transport.Handle(ports.KindProbeAck, func() ports.Message { return &ports.ProbeAck{} }, m.handleAck)
	transport.OnSession(m.handleSession)
	transport.Handle(ports.KindProbeRequest, func() ports.Message { return &ports.ProbeRequest{} }, m.handleProbeRequest)
}

// handleSession probes a daemon at once whose session was lost, or a suspect
// whose session was opened.
func (m *Manager) handleSession(peer ports.DaemonID, up bool) {
	if up {
		m.advance(func(now time.Time) []membership.Envelope { return m.table.HandleSessionOpened(peer, now) })
		return
	}
	m.advance(func(now time.Time) []membership.Envelope { return m.table.HandleSessionLost(peer, now) })
}

func (m *Manager) handleProbe(from ports.DaemonID, message ports.Message) {
	probe := message.(*ports.Probe)
	m.advance(func(now time.Time) []membership.Envelope { return m.table.HandleProbe(from, probe, now) })
	m.observe(from, probe.ConfigurationRevision)
}

func (m *Manager) handleAck(from ports.DaemonID, message ports.Message) {
	ack := message.(*ports.ProbeAck)
	m.advance(func(now time.Time) []membership.Envelope { return m.table.HandleAck(from, ack, now) })
	m.observe(from, ack.ConfigurationRevision)
}

func (m *Manager) handleProbeRequest(from ports.DaemonID, message ports.Message) {
	request := message.(*ports.ProbeRequest)
	m.advance(func(now time.Time) []membership.Envelope {
		return m.table.HandleProbeRequest(from, request, now)
	})
}
