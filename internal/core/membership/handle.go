package membership

import (
	"time"

	"hawthornstream/internal/ports"
)

// HandleProbe takes a probe of another daemon and answers it.
func (t *Table) HandleProbe(from ports.DaemonID, probe *ports.Probe, now time.Time) []Envelope {
	if m, ok := t.members[from]; !ok || m.incarnation < probe.Incarnation {
		// A daemon that just started has missed all claims.
		t.differing[from] = t.config.DifferingProbes
	}
	t.heard(from, probe.Incarnation, probe.Refutation, now)
	corrections := t.applyAll(probe.Updates, now)
	t.compare(from, probe.NotAliveDigest)
	return []Envelope{{To: from, Message: &ports.ProbeAck{
		Sequence:       probe.Sequence,
		Incarnation:    t.incarnation,
		Refutation:     t.refutation,
		Updates:        append(corrections, t.updatesFor(from)...),
		NotAliveDigest: t.notLiveDigest(),
	}}}
}

// HandleAck takes the answer to a probe. An answer to a probe that was sent for
// another daemon is passed on to it.
func (t *Table) HandleAck(from ports.DaemonID, ack *ports.ProbeAck, now time.Time) []Envelope {
	target := ack.Target
	if target == "" {
		target = from
	}
	refutation := t.refutation
	t.heard(target, ack.Incarnation, ack.Refutation, now)
	t.applyAll(ack.Updates, now)
	t.compare(from, ack.NotAliveDigest)
	var out []Envelope
	if t.refutation != refutation {
		// The sender's suspicion may end before it is probed in turn.
		out = append(out, t.probe(from, now))
	}
	if probe, ok := t.sent[ack.Sequence]; ok && probe.target == target {
		delete(t.sent, ack.Sequence)
		return out
	}
	probe, ok := t.relayed[ack.Sequence]
	if !ok || probe.target != target {
		return out
	}
	delete(t.relayed, ack.Sequence)
	return append(out, Envelope{To: probe.origin, Message: &ports.ProbeAck{
		Sequence:       probe.sequence,
		Target:         target,
		Incarnation:    ack.Incarnation,
		Refutation:     ack.Refutation,
		Updates:        t.updatesFor(probe.origin),
		NotAliveDigest: t.notLiveDigest(),
	}})
}

// HandleProbeRequest probes a daemon for another one.
func (t *Table) HandleProbeRequest(from ports.DaemonID, request *ports.ProbeRequest, now time.Time) []Envelope {
	t.applyAll(request.Updates, now)
	if m, ok := t.members[request.Target]; !ok || !m.located {
		return nil
	}
	t.sequence++
	t.relayed[t.sequence] = relayedProbe{
		origin:   from,
		sequence: request.Sequence,
		target:   request.Target,
		at:       now,
	}
	return []Envelope{t.probeMessage(request.Target, t.sequence)}
}

// Leave announces that this daemon gives its roles up. It goes on answering.
func (t *Table) Leave() []Envelope {
	if t.left {
		return nil
	}
	t.left = true
	t.version++
	t.gossip.add(t.selfUpdate())
	others := t.liveOthers()
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Envelope
	for _, other := range others[:min(t.config.LeaveFanout, len(others))] {
		t.sequence++
		out = append(out, t.probeMessage(other, t.sequence))
	}
	return out
}
