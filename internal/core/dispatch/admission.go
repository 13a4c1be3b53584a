package dispatch

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// targetUse is the part of the target that the prediction may fill: a call
	// that is only just in time is often late.
	targetUse = 0.75
	// alwaysBehind is the part of the target for which an engine's call may wait
	// behind others whatever its own prompt takes: the largest prompts take the
	// whole target alone, and are worth as much for each token as others.
	alwaysBehind = 0.1
	// plainTargets is targetUse for plain services, in targets.
	plainTargets = 2.0
	// leastSpare and mostSpare bound the part of the time behind others that is
	// left to workspaces far above their share.
	leastSpare = 0.05
	mostSpare  = 0.6
	// tightFrom is the part of the usual allowed time from which the time behind
	// others of a call within its share shows that the servers have little to
	// spare. What is left to others then shrinks by spareDecrease, and else grows
	// by spareIncrease.
	tightFrom     = 0.25
	spareDecrease = 0.8
	spareIncrease = 0.01
	// mostReserved is the part of each server's slots that workspaces above their
	// share leave free when the servers have nothing to spare: a slot that they
	// take is gone for seconds.
	mostReserved = 0.25
	// farAbove is the overuse from which a workspace gets less than those that
	// are less above their share, by the square, down to leastWeight; it leaves up
	// to reservedFarAbove more of the slots free.
	farAbove         = 2.0
	leastWeight      = 0.05
	reservedFarAbove = 0.4
	// patience is the part of the target for which a call waits for room.
	patience = 0.125
)

// Terms are what a call has to meet on a server.
type Terms struct {
	// Waited is the time since the call came.
	Waited time.Duration
	// Overuse is what the call's workspace gets as a part of its fair share.
	Overuse float64
	// Capped says that the workspace gets too much more than another one that is
	// hungry.
	Capped bool
	// Always admits the call everywhere: it was sent before, and what was begun
	// is ended.
	Always bool

	// spare and queue are the pool's.
	spare, queue float64
}

// FarAbove says whether a workspace gets so much more than its share that its calls
// don't wait for room.
func FarAbove(overuse float64) bool {
	return overuse > farAbove
}

// slotPart is the part of a server's slots that the call may use.
func (t *Terms) slotPart() float64 {
	if t.Overuse <= 1 || t.Always {
		return 1
	}
	return 1 - mostReserved*(1-t.spare/mostSpare) - reservedFarAbove*(1-t.weight())
}

// weight makes workspaces that are above their share get alike: otherwise those
// whose callers meet idle servers would get all there is to spare.
func (t *Terms) weight() float64 {
	above := t.Overuse / farAbove
	return min(max(1/(above*above), leastWeight), 1)
}

// allowed is the longest time to the first byte that is predicted for a call that
// is sent. Plain services are seldom the scarce thing: a late answer of theirs is
// better than none.
func (w *Work) allowed() time.Duration {
	if !w.Engine {
		return time.Duration(plainTargets * float64(w.Target))
	}
	return time.Duration(targetUse * float64(w.Target))
}

// alwaysAllowed is the longest time behind others that is allowed to a call whose
// own prompt makes it late.
func (w *Work) alwaysAllowed() time.Duration {
	if !w.Engine {
		return 0
	}
	return time.Duration(alwaysBehind * float64(w.Target))
}

// feelLoad learns from the best place of a call within its share how much the
// servers have to spare for workspaces above theirs: a queue that fills on their
// account makes the others late.
func (p *Pool) feelLoad(best Choice) {
	if float64(best.Expected-best.Alone) > tightFrom*p.usualAllowed {
		p.spare = max(leastSpare, p.spare*spareDecrease)
		return
	}
	p.spare = min(mostSpare, p.spare+spareIncrease)
}

// admit says whether a call may be sent to a server: its target can be met there,
// and a workspace above its fair share waits behind few others, so that these
// find room.
func (t *Terms) admit(choice Choice, work *Work) bool {
	if t.Always {
		return true
	}
	if t.Capped {
		return false
	}
	behind := choice.Expected - choice.Alone
	if t.Waited+choice.Expected > work.allowed() && t.Waited+behind > work.alwaysAllowed() {
		return false
	}
	if t.Overuse <= 1 {
		return true
	}
	return float64(behind) <= max(t.spare*t.weight(), 2-t.Overuse)*t.queue
}

// usual remembers what calls of a pool are like: a queue is as long for a call
// with a short target as for one with a long one, and a class whose calls are
// small gives more answers for the same work.
type usual struct {
	// usualAllowed is the mean of the calls' allowed times in nanoseconds.
	usualAllowed float64
	// tokens are the mean tokens of all calls, and of each class.
	tokens  float64
	byClass map[ports.ClassName]float64
}

const (
	// usualWeight is the weight of one more call in the means.
	usualWeight = 0.02
	// leastPreference and mostPreference bound how much longer a queue a class of
	// small calls may wait in than the mean, and how much shorter one of large.
	leastPreference = 0.5
	mostPreference  = 2.0
)

// see takes a call into the means.
func (u *usual) see(work *Work) {
	if u.usualAllowed == 0 {
		u.usualAllowed, u.tokens = float64(work.allowed()), work.Tokens()
		u.byClass = make(map[ports.ClassName]float64)
	}
	u.usualAllowed += usualWeight * (float64(work.allowed()) - u.usualAllowed)
	u.tokens += usualWeight * (work.Tokens() - u.tokens)
	mean, known := u.byClass[work.Class]
	if !known {
		mean = work.Tokens()
	}
	u.byClass[work.Class] = mean + usualWeight*(work.Tokens()-mean)
}

// queue is the time behind others, in nanoseconds, of which workspaces above
// their share get a part.
func (u *usual) queue(work *Work) float64 {
	preference := math.Sqrt(u.tokens / max(u.byClass[work.Class], 1))
	return u.usualAllowed * min(max(preference, leastPreference), mostPreference)
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
