package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// Envelope is a message that the caller must send.
type Envelope struct {
	To      ports.DaemonID
	Message ports.Message
}

// Table is one daemon's view of the fleet. It is not safe for concurrent use.
type Table struct {
	config Config
	random *rand.Rand

	self        ports.VM
	incarnation ports.Incarnation
	refutation  uint32
	left        bool

	members map[ports.DaemonID]*member
	seeded  bool
	gossip  *gossip
	// differing counts the probes and answers in a row that showed another set
	// of members that are not live, by sender.
	differing   map[ports.DaemonID]int
	transitions []Transition
	// version counts the changes of the live set.
	version uint64

	probing
}

// New returns a table that knows only this daemon. The random source must not
// be shared.
func New(self ports.VM, incarnation ports.Incarnation, config Config, random *rand.Rand) *Table {
	return &Table{
		config:      config,
		random:      random,
		self:        self,
		incarnation: incarnation,
		members:     make(map[ports.DaemonID]*member),
		gossip:      newGossip(),
		differing:   make(map[ports.DaemonID]int),
		probing:     newProbing(),
	}
}

// Transition is a change of what is believed of a daemon.
type Transition struct {
	Daemon ports.DaemonID
	State  ports.MemberState
}

// TakeTransitions returns the changes since the last call.
func (t *Table) TakeTransitions() []Transition {
	transitions := t.transitions
	t.transitions = nil
	return transitions
}

// Version changes whenever Live would return something else.
func (t *Table) Version() uint64 {
	return t.version
}

// Live returns the VMs of the daemons believed live, this one included, by
// name. After Leave, this daemon is flagged as leaving.
func (t *Table) Live() []ports.VM {
	live := []ports.VM{t.Self()}
	for _, m := range t.members {
		if m.live() {
			live = append(live, m.vm)
		}
	}
	slices.SortFunc(live, func(a, b ports.VM) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Self returns this daemon's VM, flagged as leaving after Leave.
func (t *Table) Self() ports.VM {
	self := t.self
	self.Leaving = self.Leaving || t.left
	return self
}

// State returns what is believed of a daemon, and false when it is unknown or
// never gave a sign of life.
func (t *Table) State(id ports.DaemonID) (ports.MemberState, bool) {
	m, ok := t.members[id]
	if !ok || !m.live() && m.incarnation == 0 && m.state == ports.MemberAlive {
		return ports.MemberAlive, false
	}
	return m.state, true
}

// heard takes a sign of life that names the member's own incarnation.
func (t *Table) heard(id ports.DaemonID, incarnation ports.Incarnation, refutation uint32, now time.Time) {
	t.apply(ports.MemberUpdate{
		Daemon:      id,
		Incarnation: incarnation,
		Refutation:  refutation,
		State:       ports.MemberAlive,
	}, now)
}

// applyAll takes claims over and returns the better ones that the sender lacks.
func (t *Table) applyAll(updates []ports.MemberUpdate, now time.Time) []ports.MemberUpdate {
	var corrections []ports.MemberUpdate
	for _, update := range updates {
		t.apply(update, now)
		m, ok := t.members[update.Daemon]
		if ok && update.State != ports.MemberAlive && overrides(m.update(), update) {
			corrections = append(corrections, m.update())
		}
	}
	return corrections
}

// apply takes a claim over if it supersedes what is believed, and passes it on.
func (t *Table) apply(claim ports.MemberUpdate, now time.Time) {
	if claim.State > ports.MemberLeft || claim.Daemon == "" {
		return
	}
	if claim.Daemon == t.self.Name {
		t.refute(claim)
		return
	}
	m, ok := t.members[claim.Daemon]
	if !ok {
		m = t.addUnlisted(claim.Daemon)
	}
	if m == nil || !overrides(claim, m.update()) {
		return
	}
	t.set(m, claim, now)
}

func (t *Table) set(m *member, claim ports.MemberUpdate, now time.Time) {
	wasLive := m.live()
	before := m.state
	// The first sign of life of a member that counts as live anyway is no news.
	news := m.incarnation != 0 || !wasLive || claim.State != ports.MemberAlive
	m.incarnation, m.refutation, m.state = claim.Incarnation, claim.Refutation, claim.State
	m.changed = now
	m.lastProbed = false
	if m.state == ports.MemberSuspect {
		m.deadline = now.Add(t.suspicionTimeout())
		if !m.listed && m.located {
			m.state = ports.MemberDead
		}
	}
	if before >= ports.MemberDead && m.state == ports.MemberAlive {
		t.healUntil = now.Add(t.config.HealPeriod)
	}
	if m.live() != wasLive {
		t.version++
	}
	if m.state != before || m.live() != wasLive {
		t.transitions = append(t.transitions, Transition{Daemon: m.vm.Name, State: m.state})
	}
	if news {
		t.gossip.add(m.update())
	}
}

// refute answers a claim that this daemon is suspect or dead with a later
// refutation. A claim about an earlier run needs none.
func (t *Table) refute(claim ports.MemberUpdate) {
	if claim.State == ports.MemberAlive || t.left {
		return
	}
	own := t.selfUpdate()
	if !overrides(claim, own) {
		return
	}
	// An earlier run may have had a higher incarnation when the clock was set
	// back.
	t.incarnation = claim.Incarnation
	t.refutation = claim.Refutation + 1
	t.gossip.add(t.selfUpdate())
}

func (t *Table) selfUpdate() ports.MemberUpdate {
	state := ports.MemberAlive
	if t.left {
		state = ports.MemberLeft
	}
	return ports.MemberUpdate{
		Daemon:      t.self.Name,
		Incarnation: t.incarnation,
		Refutation:  t.refutation,
		State:       state,
	}
}

// addUnlisted makes room for a member that the VM list does not show, or
// returns nil when there are too many.
func (t *Table) addUnlisted(id ports.DaemonID) *member {
	unlisted := 0
	for _, m := range t.members {
		if !m.listed {
			unlisted++
		}
	}
	if unlisted >= t.config.MaxUnlisted {
		return nil
	}
	m := &member{vm: ports.VM{Name: id, Kind: ports.VMKindDaemon}}
	t.members[id] = m
	return m
}

// liveOthers returns the live members by name.
func (t *Table) liveOthers() []ports.DaemonID {
	return t.selectMembers((*member).live)
}

func (t *Table) selectMembers(wanted func(*member) bool) []ports.DaemonID {
	var ids []ports.DaemonID
	for id, m := range t.members {
		if wanted(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Located returns the VMs of all members that the VM list has shown, live or
// not, by name.
func (t *Table) Located() []ports.VM {
	var vms []ports.VM
	for _, id := range t.selectMembers(func(m *member) bool { return m.located }) {
		vms = append(vms, t.members[id].vm)
	}
	return vms
}
