package membership

import (
	"time"

	"hawthornstream/internal/ports"
)

// member is the state of one other daemon as this daemon sees it.
type member struct {
	vm ports.VM
	// vmKnown is true once the VM list has contained the member, so that all of
	// vm is known.
	vmKnown bool
	// listed is true if the last VM list contains the member.
	listed bool
	// presumedAlive is true if the member is considered alive before its first
	// sign of life.
	presumedAlive bool
	// incarnation is 0 before the first sign of life.
	incarnation ports.Incarnation
	refutation  uint32
	state       ports.MemberState
	// suspicionDeadline is when a suspect gets its final probe and, after that,
	// when it is declared dead.
	suspicionDeadline time.Time
	// finalProbeSent is true if the suspect was probed again at its deadline.
	finalProbeSent bool
	// changedAt is when the state was last set or the member was dropped from the
	// VM list.
	changedAt time.Time
}

// isConsideredAlive reports whether the member takes part in placement: its VM is
// known, it is in the state alive or suspect, and it has given a sign of life or
// is presumed alive.
func (m *member) isConsideredAlive() bool {
	if !m.vmKnown || m.state >= ports.MemberDead {
		return false
	}
	return m.presumedAlive || m.incarnation != 0
}

// isListedButUnseen reports whether the member is in the VM list, has given no
// sign of life yet and is not presumed alive.
func (m *member) isListedButUnseen() bool {
	return m.listed && m.incarnation == 0 && !m.isConsideredAlive()
}

// update returns the member's state as an update for other daemons.
func (m *member) update() ports.MemberUpdate {
	return ports.MemberUpdate{
		Daemon:      m.vm.Name,
		Incarnation: m.incarnation,
		Refutation:  m.refutation,
		State:       m.state,
	}
}

// supersedes reports whether an update replaces the current state: the later
// incarnation wins, then the later refutation, then the stronger state.
func supersedes(update, current ports.MemberUpdate) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	if update.Refutation != current.Refutation {
		return update.Refutation > current.Refutation
	}
	return update.State > current.State
}
