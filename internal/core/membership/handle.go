package membership

import (
	"time"

	"hawthornstream/internal/ports"
)

// HandleProbe handles a probe from another daemon and returns its ack.
func (t *Table) HandleProbe(from ports.DaemonID, probe *ports.Probe, now time.Time) []Envelope {
	if m, ok := t.members[from]; !ok || m.incarnation < probe.Incarnation {
		// A daemon that just started has received no updates yet, so its ack
		// carries the dead and left members.
		t.digestMismatches[from] = t.config.DigestMismatchThreshold
	}
	t.observeAlive(from, probe.Incarnation, probe.Refutation, now)
	corrections := t.applyUpdates(probe.Updates, now)
	t.compareDigest(from, probe.DeadOrLeftDigest)
	return []Envelope{{To: from, Message: &ports.ProbeAck{
		Sequence:         probe.Sequence,
		Incarnation:      t.incarnation,
		Refutation:       t.refutation,
		Updates:          append(corrections, t.updatesFor(from)...),
		DeadOrLeftDigest: t.deadOrLeftDigest(),
	}}}
}

// HandleAck handles the ack of a probe. The ack of an indirect probe is
// forwarded to the daemon that requested it.
func (t *Table) HandleAck(from ports.DaemonID, ack *ports.ProbeAck, now time.Time) []Envelope {
	target := ack.Target
	if target == "" {
		target = from
	}
	refutationBefore := t.refutation
	t.observeAlive(target, ack.Incarnation, ack.Refutation, now)
	t.applyUpdates(ack.Updates, now)
	t.compareDigest(from, ack.DeadOrLeftDigest)
	var out []Envelope
	if t.refutation != refutationBefore {
		// The ack carried a suspicion of this daemon. Its sender gets the
		// refutation at once, as it may declare this daemon dead before its next
		// regular probe.
		out = append(out, t.startProbe(from, now))
	}
	if probe, ok := t.pendingProbes[ack.Sequence]; ok && probe.target == target {
		delete(t.pendingProbes, ack.Sequence)
		return out
	}
	probe, ok := t.indirectProbes[ack.Sequence]
	if !ok || probe.target != target {
		return out
	}
	delete(t.indirectProbes, ack.Sequence)
	return append(out, Envelope{To: probe.requester, Message: &ports.ProbeAck{
		Sequence:         probe.requestSequence,
		Target:           target,
		Incarnation:      ack.Incarnation,
		Refutation:       ack.Refutation,
		Updates:          t.updatesFor(probe.requester),
		DeadOrLeftDigest: t.deadOrLeftDigest(),
	}})
}

// HandleProbeRequest returns an indirect probe of the requested target.
func (t *Table) HandleProbeRequest(from ports.DaemonID, request *ports.ProbeRequest, now time.Time) []Envelope {
	t.applyUpdates(request.Updates, now)
	if m, ok := t.members[request.Target]; !ok || !m.vmKnown {
		return nil
	}
	t.sequence++
	t.indirectProbes[t.sequence] = indirectProbe{
		requester:       from,
		requestSequence: request.Sequence,
		target:          request.Target,
		sentAt:          now,
	}
	return []Envelope{t.probeMessage(request.Target, t.sequence)}
}

// Leave announces that this daemon gives up its roles. The daemon still answers
// probes afterwards.
func (t *Table) Leave() []Envelope {
	if t.leaveAnnounced {
		return nil
	}
	t.leaveAnnounced = true
	t.aliveVersion++
	t.updateQueue.add(t.selfUpdate())
	others := t.aliveOthers()
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Envelope
	for _, other := range others[:min(t.config.LeaveFanout, len(others))] {
		t.sequence++
		out = append(out, t.probeMessage(other, t.sequence))
	}
	return out
}
