package membership

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

// probeState is the part of the table that tracks probes of other daemons.
type probeState struct {
	sequence uint64
	// pendingProbes are this daemon's own probes that wait for an ack, by sequence.
	pendingProbes map[uint64]*pendingProbe
	// indirectProbes are the probes sent on behalf of other daemons, by sequence.
	indirectProbes map[uint64]indirectProbe
	// probeTargets are the members that this daemon probes in turn, computed for
	// targetsAliveVersion.
	probeTargets        []ports.DaemonID
	targetIndex         int
	targetsAliveVersion uint64
	lastTickAt          time.Time
	nextProbeAt         time.Time
	nextDeadProbeAt     time.Time
	// fastDeadProbesUntil is the end of the time in which dead members are probed
	// in every ProbePeriod.
	fastDeadProbesUntil time.Time
}

type pendingProbe struct {
	target ports.DaemonID
	sentAt time.Time
	// indirectRequested is true once indirect probes were requested.
	indirectRequested bool
}

type indirectProbe struct {
	requester ports.DaemonID
	// requestSequence is the sequence of the requester's own probe.
	requestSequence uint64
	target          ports.DaemonID
	sentAt          time.Time
}

func newProbeState() probeState {
	return probeState{
		pendingProbes:  make(map[uint64]*pendingProbe),
		indirectProbes: make(map[uint64]indirectProbe),
	}
}

// Tick runs the timers of the protocol and returns the messages that are due. It
// must be called several times in each AckTimeout.
func (t *Table) Tick(now time.Time) []Envelope {
	t.compensatePause(now)
	var out []Envelope
	out = append(out, t.checkPendingProbes(now)...)
	t.expireIndirectProbes(now)
	out = append(out, t.checkSuspects(now)...)
	if !now.Before(t.nextProbeAt) {
		t.nextProbeAt = now.Add(t.config.ProbePeriod)
		out = append(out, t.probeRound(now)...)
	}
	if !now.Before(t.nextDeadProbeAt) {
		t.nextDeadProbeAt = now.Add(t.config.DeadProbePeriod)
		t.forgetExpired(now)
		out = append(out, t.probeRandom(now, (*member).isListedButDead)...)
	}
	return out
}

// compensatePause detects that this daemon itself was paused. It drops the
// probes in progress and extends all suspicions by the pause, so that other
// daemons are not declared dead because of it.
func (t *Table) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTickAt)
	paused := !t.lastTickAt.IsZero() && gap > t.config.PauseThreshold
	t.lastTickAt = now
	if !paused {
		return
	}
	clear(t.pendingProbes)
	clear(t.indirectProbes)
	for _, m := range t.members {
		if m.state == ports.MemberSuspect {
			m.suspicionDeadline = m.suspicionDeadline.Add(gap)
		}
	}
}

// checkPendingProbes requests indirect probes of targets that have not answered
// within AckTimeout, and suspects those that have not within ProbePeriod.
func (t *Table) checkPendingProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, sequence := range sortedKeys(t.pendingProbes) {
		probe := t.pendingProbes[sequence]
		waited := now.Sub(probe.sentAt)
		switch {
		case waited >= t.config.ProbePeriod:
			delete(t.pendingProbes, sequence)
			t.markSuspect(probe.target, now)
		case waited >= t.config.AckTimeout && !probe.indirectRequested:
			probe.indirectRequested = true
			out = append(out, t.requestIndirectProbes(probe.target, sequence)...)
		}
	}
	return out
}

func (t *Table) expireIndirectProbes(now time.Time) {
	for sequence, probe := range t.indirectProbes {
		if now.Sub(probe.sentAt) >= t.config.ProbePeriod {
			delete(t.indirectProbes, sequence)
		}
	}
}

func (t *Table) markSuspect(id ports.DaemonID, now time.Time) {
	m, ok := t.members[id]
	if !ok || !m.isConsideredAlive() || m.state != ports.MemberAlive {
		return
	}
	update := m.update()
	update.State = ports.MemberSuspect
	t.setState(m, update, now)
}

// checkSuspects sends each suspect a final probe at its deadline, and declares
// it dead when that is not answered within AckTimeout either. The final probe is
// needed because silent connections are replaced at about the time a suspicion
// ends, and the regular probes may not reach the suspect in between.
func (t *Table) checkSuspects(now time.Time) []Envelope {
	var out []Envelope
	for _, id := range t.selectMembers((*member).isSuspect) {
		m := t.members[id]
		switch {
		case now.Before(m.suspicionDeadline):
		case !m.finalProbeSent:
			m.finalProbeSent = true
			m.suspicionDeadline = now.Add(t.config.AckTimeout)
			out = append(out, t.startProbe(id, now))
		default:
			update := m.update()
			update.State = ports.MemberDead
			t.setState(m, update, now)
		}
	}
	return out
}

// suspicionTimeout returns how long a suspect has to refute. It grows with the
// logarithm of the fleet size, as does the time that a refutation takes to
// spread.
func (t *Table) suspicionTimeout() time.Duration {
	multiplier := math.Log10(float64(len(t.members) + 1))
	return time.Duration(float64(t.config.SuspicionTimeout) * max(1, multiplier))
}

// probeRound probes the next regular target and one random member of each kind
// whose state is uncertain.
func (t *Table) probeRound(now time.Time) []Envelope {
	var out []Envelope
	if target, ok := t.nextProbeTarget(); ok {
		out = append(out, t.startProbe(target, now))
	}
	out = append(out, t.probeRandom(now, (*member).isSuspect)...)
	out = append(out, t.probeRandom(now, (*member).isListedButUnseen)...)
	out = append(out, t.probeRandom(now, (*member).isUnlistedButConsideredAlive)...)
	if now.Before(t.fastDeadProbesUntil) {
		out = append(out, t.probeRandom(now, (*member).isListedButDead)...)
	}
	return out
}

// probeRandom probes one random matching member.
func (t *Table) probeRandom(now time.Time, matches func(*member) bool) []Envelope {
	ids := t.selectMembers(func(m *member) bool { return m.vmKnown && matches(m) })
	if len(ids) == 0 {
		return nil
	}
	return []Envelope{t.startProbe(ids[t.random.IntN(len(ids))], now)}
}

func (m *member) isSuspect() bool { return m.state == ports.MemberSuspect }

func (m *member) isListedButDead() bool { return m.listed && m.state == ports.MemberDead }

// isUnlistedButConsideredAlive reports whether a member is considered alive but
// is not in the VM list.
func (m *member) isUnlistedButConsideredAlive() bool { return !m.listed && m.isConsideredAlive() }

// HandleSessionLost probes a daemon in the state alive at once when the session
// with it is lost, since the daemon may have failed. It does nothing while a probe
// of the daemon is pending.
func (t *Table) HandleSessionLost(id ports.DaemonID, now time.Time) []Envelope {
	m, ok := t.members[id]
	if !ok || !m.isConsideredAlive() || m.state != ports.MemberAlive || t.hasPendingProbe(id) {
		return nil
	}
	return []Envelope{t.startProbe(id, now)}
}

// HandleSessionOpened probes a suspect at once when a session with it is opened,
// since earlier probes may have been lost with the previous session.
func (t *Table) HandleSessionOpened(id ports.DaemonID, now time.Time) []Envelope {
	m, ok := t.members[id]
	if !ok || !m.isSuspect() {
		return nil
	}
	return []Envelope{t.startProbe(id, now)}
}

// hasPendingProbe reports whether a probe of the member waits for its ack.
func (t *Table) hasPendingProbe(id ports.DaemonID) bool {
	for _, probe := range t.pendingProbes {
		if probe.target == id {
			return true
		}
	}
	return false
}

// nextProbeTarget returns the next regular target, and false when there is none.
func (t *Table) nextProbeTarget() (ports.DaemonID, bool) {
	if t.probeTargets == nil || t.targetsAliveVersion != t.aliveVersion {
		t.probeTargets = selectProbeTargets(t.self.Name, t.aliveOthers())
		t.targetsAliveVersion = t.aliveVersion
	}
	if len(t.probeTargets) == 0 {
		return "", false
	}
	t.targetIndex = (t.targetIndex + 1) % len(t.probeTargets)
	return t.probeTargets[t.targetIndex], true
}

// startProbe returns a probe of the target and records it as pending.
func (t *Table) startProbe(target ports.DaemonID, now time.Time) Envelope {
	t.sequence++
	t.pendingProbes[t.sequence] = &pendingProbe{target: target, sentAt: now}
	return t.probeMessage(target, t.sequence)
}

func (t *Table) probeMessage(target ports.DaemonID, sequence uint64) Envelope {
	return Envelope{To: target, Message: &ports.Probe{
		Sequence:         sequence,
		Incarnation:      t.incarnation,
		Refutation:       t.refutation,
		Updates:          t.updatesFor(target),
		DeadOrLeftDigest: t.deadOrLeftDigest(),
	}}
}

// requestIndirectProbes asks random daemons in the state alive to probe a target
// that is considered alive.
func (t *Table) requestIndirectProbes(target ports.DaemonID, sequence uint64) []Envelope {
	m, ok := t.members[target]
	if !ok || !m.isConsideredAlive() {
		return nil
	}
	others := t.selectMembers(func(m *member) bool {
		return m.isConsideredAlive() && m.state == ports.MemberAlive && m.vm.Name != target
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

// updatesFor returns the updates to piggyback on a message. First come what the
// receiver must refute, this daemon's own leave and the reconciliation updates,
// then the least often sent updates of the queue.
func (t *Table) updatesFor(receiver ports.DaemonID) []ports.MemberUpdate {
	var updates []ports.MemberUpdate
	if m, ok := t.members[receiver]; ok && m.state != ports.MemberAlive {
		updates = append(updates, m.update())
	}
	if t.leaveAnnounced {
		updates = append(updates, t.selfUpdate())
	}
	updates = append(updates, t.reconciliationUpdates(receiver)...)
	maxSends := maxUpdateSends(t.config.RetransmitMultiplier, len(t.members)+1)
	return append(updates, t.updateQueue.takeLeastSent(t.config.MaxMessageUpdates-len(updates), maxSends)...)
}
