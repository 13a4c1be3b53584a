package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// Envelope is a message with its receiver. The caller must send it.
type Envelope struct {
	To      ports.DaemonID
	Message ports.Message
}

// Table is one daemon's view of the fleet. It is not safe for concurrent use.
type Table struct {
	config Config
	random *rand.Rand

	self           ports.VM
	incarnation    ports.Incarnation
	refutation     uint32
	leaveAnnounced bool

	// members are the other daemons.
	members map[ports.DaemonID]*member
	// vmListApplied is true once a VM list with daemons was applied.
	vmListApplied bool
	updateQueue   *updateQueue
	// digestMismatches counts the consecutive probes and acks whose digest of dead
	// or left members differed from this daemon's, by sender.
	digestMismatches map[ports.DaemonID]int
	transitions      []Transition
	// aliveVersion counts the changes of what AliveDaemons returns.
	aliveVersion uint64

	probeState
}

// New returns a table that contains only this daemon. The random source must not
// be shared.
func New(self ports.VM, incarnation ports.Incarnation, config Config, random *rand.Rand) *Table {
	return &Table{
		config:           config,
		random:           random,
		self:             self,
		incarnation:      incarnation,
		members:          make(map[ports.DaemonID]*member),
		updateQueue:      newUpdateQueue(),
		digestMismatches: make(map[ports.DaemonID]int),
		probeState:       newProbeState(),
	}
}

// Transition is a change of a daemon's state or liveness.
type Transition struct {
	Daemon ports.DaemonID
	State  ports.MemberState
}

// TakeTransitions returns the transitions since its last call.
func (t *Table) TakeTransitions() []Transition {
	transitions := t.transitions
	t.transitions = nil
	return transitions
}

// AliveVersion returns a number that changes whenever the result of AliveDaemons
// changes.
func (t *Table) AliveVersion() uint64 {
	return t.aliveVersion
}

// AliveDaemons returns the VMs of the daemons considered alive, this one
// included, ordered by name. Suspects are considered alive until they are
// declared dead. After Leave, this daemon is flagged as leaving.
func (t *Table) AliveDaemons() []ports.VM {
	alive := []ports.VM{t.Self()}
	for _, m := range t.members {
		if m.isConsideredAlive() {
			alive = append(alive, m.vm)
		}
	}
	slices.SortFunc(alive, func(a, b ports.VM) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Self returns this daemon's VM, flagged as leaving after Leave.
func (t *Table) Self() ports.VM {
	self := t.self
	self.Leaving = self.Leaving || t.leaveAnnounced
	return self
}

// State returns the state of another daemon. The result is false when the daemon
// is unknown, or has given no sign of life and was never presumed alive.
func (t *Table) State(id ports.DaemonID) (ports.MemberState, bool) {
	m, ok := t.members[id]
	if !ok || !m.isConsideredAlive() && m.incarnation == 0 && m.state == ports.MemberAlive {
		return ports.MemberAlive, false
	}
	return m.state, true
}

// observeAlive applies a sign of life of a member, with the incarnation and
// refutation that the member itself reported.
func (t *Table) observeAlive(id ports.DaemonID, incarnation ports.Incarnation, refutation uint32, now time.Time) {
	t.applyUpdate(ports.MemberUpdate{
		Daemon:      id,
		Incarnation: incarnation,
		Refutation:  refutation,
		State:       ports.MemberAlive,
	}, now)
}

// applyUpdates applies the updates of a message. It returns corrections: this
// daemon's state of each member that the sender considers suspect, dead or left
// on older information.
func (t *Table) applyUpdates(updates []ports.MemberUpdate, now time.Time) []ports.MemberUpdate {
	var corrections []ports.MemberUpdate
	for _, update := range updates {
		t.applyUpdate(update, now)
		m, ok := t.members[update.Daemon]
		if ok && update.State != ports.MemberAlive && supersedes(m.update(), update) {
			corrections = append(corrections, m.update())
		}
	}
	return corrections
}

// applyUpdate applies an update if it supersedes the current state, and queues
// it for other daemons. An update about this daemon itself may be refuted.
func (t *Table) applyUpdate(update ports.MemberUpdate, now time.Time) {
	if update.State > ports.MemberLeft || update.Daemon == "" {
		return
	}
	if update.Daemon == t.self.Name {
		t.refute(update)
		return
	}
	m, ok := t.members[update.Daemon]
	if !ok {
		m = t.addUnlistedMember(update.Daemon)
	}
	if m == nil || !supersedes(update, m.update()) {
		return
	}
	t.setState(m, update, now)
}

// setState stores the state of an update that supersedes the member's. A suspect
// that was dropped from the VM list becomes dead at once.
func (t *Table) setState(m *member, update ports.MemberUpdate, now time.Time) {
	wasConsideredAlive := m.isConsideredAlive()
	stateBefore := m.state
	// The first sign of life of a member that is presumed alive is not sent on.
	disseminate := m.incarnation != 0 || !wasConsideredAlive || update.State != ports.MemberAlive
	m.incarnation, m.refutation, m.state = update.Incarnation, update.Refutation, update.State
	m.changedAt = now
	m.finalProbeSent = false
	if m.state == ports.MemberSuspect {
		m.suspicionDeadline = now.Add(t.suspicionTimeout())
		if !m.listed && m.vmKnown {
			m.state = ports.MemberDead
		}
	}
	if stateBefore >= ports.MemberDead && m.state == ports.MemberAlive {
		t.fastDeadProbesUntil = now.Add(t.config.FastDeadProbeDuration)
	}
	if m.isConsideredAlive() != wasConsideredAlive {
		t.aliveVersion++
	}
	if m.state != stateBefore || m.isConsideredAlive() != wasConsideredAlive {
		t.transitions = append(t.transitions, Transition{Daemon: m.vm.Name, State: m.state})
	}
	if disseminate {
		t.updateQueue.add(m.update())
	}
}

// refute queues a later refutation when an update says that this daemon is
// suspect, dead or left. An update about an earlier incarnation needs none.
func (t *Table) refute(update ports.MemberUpdate) {
	if update.State == ports.MemberAlive || t.leaveAnnounced {
		return
	}
	selfUpdate := t.selfUpdate()
	if !supersedes(update, selfUpdate) {
		return
	}
	// The update may be about an earlier start of this daemon with a higher
	// incarnation if the clock was set back.
	t.incarnation = update.Incarnation
	t.refutation = update.Refutation + 1
	t.updateQueue.add(t.selfUpdate())
}

// selfUpdate returns this daemon's state as an update for other daemons.
func (t *Table) selfUpdate() ports.MemberUpdate {
	state := ports.MemberAlive
	if t.leaveAnnounced {
		state = ports.MemberLeft
	}
	return ports.MemberUpdate{
		Daemon:      t.self.Name,
		Incarnation: t.incarnation,
		Refutation:  t.refutation,
		State:       state,
	}
}

// addUnlistedMember adds a member that is not in the VM list. It returns nil
// when there are already MaxUnlistedMembers of them.
func (t *Table) addUnlistedMember(id ports.DaemonID) *member {
	unlisted := 0
	for _, m := range t.members {
		if !m.listed {
			unlisted++
		}
	}
	if unlisted >= t.config.MaxUnlistedMembers {
		return nil
	}
	m := &member{vm: ports.VM{Name: id, Kind: ports.VMKindDaemon}}
	t.members[id] = m
	return m
}

// aliveOthers returns the daemons considered alive other than this one, ordered
// by name.
func (t *Table) aliveOthers() []ports.DaemonID {
	return t.selectMembers((*member).isConsideredAlive)
}

// selectMembers returns the matching members, ordered by name.
func (t *Table) selectMembers(matches func(*member) bool) []ports.DaemonID {
	var ids []ports.DaemonID
	for id, m := range t.members {
		if matches(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// KnownVMs returns the VMs of all members that the VM list has contained, alive
// or not, ordered by name.
func (t *Table) KnownVMs() []ports.VM {
	var vms []ports.VM
	for _, id := range t.selectMembers(func(m *member) bool { return m.vmKnown }) {
		vms = append(vms, t.members[id].vm)
	}
	return vms
}
