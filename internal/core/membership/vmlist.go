package membership

import (
	"time"

	"hawthornstream/internal/ports"
)

// ApplyVMList applies the daemons of a VM list. The daemons of the first list
// that isn't empty are considered alive until they fail to answer; a daemon that
// a later list adds is considered alive from its first sign of life. A daemon
// that is no longer in the list stays alive while it answers.
func (t *Table) ApplyVMList(daemons []ports.VM, now time.Time) {
	listed := make(map[ports.DaemonID]bool, len(daemons))
	for _, vm := range daemons {
		listed[vm.Name] = true
		if vm.Name == t.self.Name {
			t.applyListedSelf(vm)
			continue
		}
		t.applyListedMember(vm)
	}
	for id, m := range t.members {
		if !listed[id] {
			t.markUnlisted(id, m, now)
		}
	}
	t.vmListApplied = t.vmListApplied || len(daemons) > 0
}

func (t *Table) applyListedSelf(vm ports.VM) {
	if t.self.Leaving != vm.Leaving {
		t.self.Leaving = vm.Leaving
		t.aliveVersion++
	}
}

func (t *Table) applyListedMember(vm ports.VM) {
	m, ok := t.members[vm.Name]
	if !ok {
		m = &member{presumedAlive: !t.vmListApplied}
		t.members[vm.Name] = m
	}
	changed := !m.vmKnown || m.vm != vm
	m.vm, m.vmKnown, m.listed = vm, true, true
	if changed && m.isConsideredAlive() {
		t.aliveVersion++
	}
}

// markUnlisted handles a member that is not in the VM list. A suspect is
// declared dead at once, since the list confirms the suspicion.
func (t *Table) markUnlisted(id ports.DaemonID, m *member, now time.Time) {
	if !m.listed {
		return
	}
	m.listed = false
	m.changedAt = now
	if m.state == ports.MemberSuspect {
		update := m.update()
		update.State = ports.MemberDead
		t.setState(m, update, now)
	}
	if m.incarnation == 0 && !m.isConsideredAlive() {
		t.forget(id)
	}
}

// forgetExpired drops the members that are neither considered alive nor in the
// VM list and have not changed for ForgetAfter.
func (t *Table) forgetExpired(now time.Time) {
	expired := t.selectMembers(func(m *member) bool {
		return !m.listed && !m.isConsideredAlive() && now.Sub(m.changedAt) >= t.config.ForgetAfter
	})
	for _, id := range expired {
		t.forget(id)
	}
}

func (t *Table) forget(id ports.DaemonID) {
	delete(t.members, id)
	t.updateQueue.remove(id)
	delete(t.digestMismatches, id)
}
