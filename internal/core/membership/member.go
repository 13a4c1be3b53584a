package membership

import (
	"time"

	"hawthornstream/internal/ports"
)

// member is what this daemon believes of one other daemon.
type member struct {
	vm ports.VM
	// located says that the VM list has shown the member's VM at least once.
	located bool
	// listed says that the last VM list shows it.
	listed bool
	// presumed says that it counts as live before its first sign of life.
	presumed    bool
	incarnation ports.Incarnation
	refutation  uint32
	state       ports.MemberState
	// deadline is when a suspect is declared dead.
	deadline time.Time
	// lastProbed says that a suspect was probed once more at its deadline.
	lastProbed bool
	// changed is when the state was last set or the VM list dropped the member.
	changed time.Time
}

// live says whether the member has a part in placement.
func (m *member) live() bool {
	if !m.located || m.state >= ports.MemberDead {
		return false
	}
	return m.presumed || m.incarnation != 0
}

// awaited says whether the VM list shows a member that gave no sign of life
// yet.
func (m *member) awaited() bool {
	return m.listed && m.incarnation == 0 && !m.live()
}

func (m *member) update() ports.MemberUpdate {
	return ports.MemberUpdate{
		Daemon:      m.vm.Name,
		Incarnation: m.incarnation,
		Refutation:  m.refutation,
		State:       m.state,
	}
}

// overrides says whether a claim supersedes what is believed: a later run or
// refutation wins, and at equal ones the stronger state.
func overrides(claim, believed ports.MemberUpdate) bool {
	if claim.Incarnation != believed.Incarnation {
		return claim.Incarnation > believed.Incarnation
	}
	if claim.Refutation != believed.Refutation {
		return claim.Refutation > believed.Refutation
	}
	return claim.State > believed.State
}
