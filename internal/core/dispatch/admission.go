package dispatch

import "time"

const (
	// targetUse is the part of the target that the prediction may fill: a call
	// that is only just in time is often late.
	targetUse = 0.75
	// leastQueue is the part of the time behind others that is left to
	// workspaces at twice their share or more: they get what is idle.
	leastQueue = 0.1
	// patience is the part of the target for which a call waits for room.
	patience = 0.125
)

// Terms are what a call has to meet on a server.
type Terms struct {
	// Waited is the time since the call came.
	Waited time.Duration
	// Overuse is what the call's workspace gets as a part of its fair share.
	Overuse float64
	// Always admits the call everywhere: it was sent before, and what was begun
	// is ended.
	Always bool
}

// admit says whether a call may be sent to a server: its target can be met there,
// and a workspace above its fair share waits behind few others, so that these
// find room.
func (t *Terms) admit(choice Choice, work *Work) bool {
	if t.Always {
		return true
	}
	allowed := time.Duration(targetUse * float64(work.Target))
	if t.Waited+choice.Expected > allowed {
		return false
	}
	if t.Overuse <= 1 {
		return true
	}
	part := max(leastQueue, 2-t.Overuse)
	return choice.Expected-choice.Alone <= time.Duration(part*float64(allowed))
}

// Patience is how long a call that finds no room waits for it. What waits longer
// would be late even if it were sent then.
func Patience(work *Work) time.Duration {
	return time.Duration(patience * float64(work.Target))
}

const (
	// soonest and latest bound the time after which a refused caller comes back.
	soonest = 300 * time.Millisecond
	latest  = 4 * time.Second
)

// ComeBack returns when a refused caller should come back, for a random number
// from 0 to 1: the target is missed anyway, so that the load may pass first;
// spread, so that those who were refused together do not return together; and
// early enough for the answer.
func ComeBack(left, expected time.Duration, random float64) time.Duration {
	most := min(left/3, latest)
	least := min(max(expected, soonest), most)
	return least + time.Duration(random*float64(most-least))
}
