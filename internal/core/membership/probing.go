package membership

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

// probing is the part of the table that watches other daemons.
type probing struct {
	sequence uint64
	// sent are the probes that wait for their answer, by sequence.
	sent map[uint64]*sentProbe
	// relayed are the probes sent for others, by sequence.
	relayed map[uint64]relayedProbe
	// targets are the members that this daemon watches, in turn.
	targets        []ports.DaemonID
	nextTarget     int
	targetsVersion uint64
	lastTick       time.Time
	nextProbe      time.Time
	nextRetry      time.Time
	// healUntil is the end of the time in which members that are not live are
	// retried more often.
	healUntil time.Time
}

type sentProbe struct {
	target   ports.DaemonID
	at       time.Time
	indirect bool
}

type relayedProbe struct {
	origin   ports.DaemonID
	sequence uint64
	target   ports.DaemonID
	at       time.Time
}

func newProbing() probing {
	return probing{
		sent:    make(map[uint64]*sentProbe),
		relayed: make(map[uint64]relayedProbe),
	}
}

// Tick does what is due at the given time. It must be called several times in
// each AckTimeout.
func (t *Table) Tick(now time.Time) []Envelope {
	t.noticePause(now)
	var out []Envelope
	out = append(out, t.checkSent(now)...)
	t.checkRelayed(now)
	out = append(out, t.checkSuspects(now)...)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(t.config.ProbePeriod)
		out = append(out, t.probeRound(now)...)
	}
	if !now.Before(t.nextRetry) {
		t.nextRetry = now.Add(t.config.RetryPeriod)
		t.forgetGone(now)
		out = append(out, t.retry(now, (*member).dead)...)
	}
	return out
}

// noticePause forgives the others the time in which this daemon did not run.
func (t *Table) noticePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > t.config.PauseThreshold
	t.lastTick = now
	if !paused {
		return
	}
	clear(t.sent)
	clear(t.relayed)
	for _, m := range t.members {
		if m.state == ports.MemberSuspect {
			m.deadline = m.deadline.Add(gap)
		}
	}
}

func (t *Table) checkSent(now time.Time) []Envelope {
	var out []Envelope
	for _, sequence := range sortedKeys(t.sent) {
		probe := t.sent[sequence]
		waited := now.Sub(probe.at)
		switch {
		case waited >= t.config.ProbePeriod:
			delete(t.sent, sequence)
			t.suspect(probe.target, now)
		case waited >= t.config.AckTimeout && !probe.indirect:
			probe.indirect = true
			out = append(out, t.probeIndirectly(probe.target, sequence)...)
		}
	}
	return out
}

func (t *Table) checkRelayed(now time.Time) {
	for sequence, probe := range t.relayed {
		if now.Sub(probe.at) >= t.config.ProbePeriod {
			delete(t.relayed, sequence)
		}
	}
}

func (t *Table) suspect(id ports.DaemonID, now time.Time) {
	m, ok := t.members[id]
	if !ok || !m.live() || m.state != ports.MemberAlive {
		return
	}
	claim := m.update()
	claim.State = ports.MemberSuspect
	t.set(m, claim, now)
}

// checkSuspects declares suspects dead that let their time pass and a last probe
// unanswered. Silent connections are replaced at about the same time as a
// suspicion ends, and the round of probes may not meet the suspect in between.
func (t *Table) checkSuspects(now time.Time) []Envelope {
	var out []Envelope
	for _, id := range t.selectMembers((*member).suspected) {
		m := t.members[id]
		switch {
		case now.Before(m.deadline):
		case !m.lastProbed:
			m.lastProbed = true
			m.deadline = now.Add(t.config.AckTimeout)
			out = append(out, t.probe(id, now))
		default:
			claim := m.update()
			claim.State = ports.MemberDead
			t.set(m, claim, now)
		}
	}
	return out
}

// suspicionTimeout grows with the logarithm of the fleet, as the way of a
// refutation through it does.
func (t *Table) suspicionTimeout() time.Duration {
	factor := math.Log10(float64(len(t.members) + 1))
	return time.Duration(float64(t.config.SuspicionTimeout) * max(1, factor))
}

// probeRound probes the next target and one member of each kind whose state is
// in doubt.
func (t *Table) probeRound(now time.Time) []Envelope {
	var out []Envelope
	if target, ok := t.nextInTurn(); ok {
		out = append(out, t.probe(target, now))
	}
	out = append(out, t.retry(now, (*member).suspected)...)
	out = append(out, t.retry(now, (*member).awaited)...)
	out = append(out, t.retry(now, (*member).delisted)...)
	if now.Before(t.healUntil) {
		out = append(out, t.retry(now, (*member).dead)...)
	}
	return out
}

// retry probes one random member of a kind.
func (t *Table) retry(now time.Time, wanted func(*member) bool) []Envelope {
	ids := t.selectMembers(func(m *member) bool { return m.located && wanted(m) })
	if len(ids) == 0 {
		return nil
	}
	return []Envelope{t.probe(ids[t.random.IntN(len(ids))], now)}
}

func (m *member) suspected() bool { return m.state == ports.MemberSuspect }

func (m *member) dead() bool { return m.listed && m.state == ports.MemberDead }

// delisted says whether the VM list no longer shows a live member.
func (m *member) delisted() bool { return !m.listed && m.live() }

// Doubt probes a live daemon at once, since something outside the protocol
// speaks against it.
func (t *Table) Doubt(id ports.DaemonID, now time.Time) []Envelope {
	m, ok := t.members[id]
	if !ok || !m.live() || m.state != ports.MemberAlive || t.awaits(id) {
		return nil
	}
	return []Envelope{t.probe(id, now)}
}

// Reached probes a suspect whose session was just opened at once, since the
// probes before it may have been lost with the session that it replaces.
func (t *Table) Reached(id ports.DaemonID, now time.Time) []Envelope {
	m, ok := t.members[id]
	if !ok || !m.suspected() {
		return nil
	}
	return []Envelope{t.probe(id, now)}
}

// awaits says whether a probe of the member waits for its answer.
func (t *Table) awaits(id ports.DaemonID) bool {
	for _, probe := range t.sent {
		if probe.target == id {
			return true
		}
	}
	return false
}

func (t *Table) nextInTurn() (ports.DaemonID, bool) {
	if t.targets == nil || t.targetsVersion != t.version {
		t.targets = watched(t.self.Name, t.liveOthers())
		t.targetsVersion = t.version
	}
	if len(t.targets) == 0 {
		return "", false
	}
	t.nextTarget = (t.nextTarget + 1) % len(t.targets)
	return t.targets[t.nextTarget], true
}

func (t *Table) probe(target ports.DaemonID, now time.Time) Envelope {
	t.sequence++
	t.sent[t.sequence] = &sentProbe{target: target, at: now}
	return t.probeMessage(target, t.sequence)
}

func (t *Table) probeMessage(target ports.DaemonID, sequence uint64) Envelope {
	return Envelope{To: target, Message: &ports.Probe{
		Sequence:       sequence,
		Incarnation:    t.incarnation,
		Refutation:     t.refutation,
		Updates:        t.updatesFor(target),
		NotAliveDigest: t.notLiveDigest(),
	}}
}

func (t *Table) probeIndirectly(target ports.DaemonID, sequence uint64) []Envelope {
	m, ok := t.members[target]
	if !ok || !m.live() {
		return nil
	}
	others := t.selectMembers(func(m *member) bool {
		return m.live() && m.state == ports.MemberAlive && m.vm.Name != target
	})
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Envelope
	for _, other := range others[:min(t.config.IndirectProbes, len(others))] {
		out = append(out, Envelope{To: other, Message: &ports.ProbeRequest{
			Sequence: sequence,
			Target:   target,
			Updates:  t.updatesFor(other),
		}})
	}
	return out
}

// updatesFor returns the claims for a message: what the receiver must refute,
// this daemon's own leave and the set in which the two differ first, then the
// least sent ones.
func (t *Table) updatesFor(receiver ports.DaemonID) []ports.MemberUpdate {
	var updates []ports.MemberUpdate
	if m, ok := t.members[receiver]; ok && m.state != ports.MemberAlive {
		updates = append(updates, m.update())
	}
	if t.left {
		updates = append(updates, t.selfUpdate())
	}
	updates = append(updates, t.reconcile(receiver)...)
	count := transmissions(t.config.Retransmission, len(t.members)+1)
	return append(updates, t.gossip.take(t.config.MaxUpdates-len(updates), count)...)
}
