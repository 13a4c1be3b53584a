package dispatch

import "time"

const (
	// targetUse is the part of the target that the prediction may fill: a call
	// that is only just in time is often late.
	targetUse = 0.75
	// leastAllowance is the part of the allowance that is left to workspaces
	// far above their share: they get what the servers have to spare.
	leastAllowance = 0.25
	// patience is the part of the target for which a call waits for room.
	patience = 0.125
)

// Allowance is the longest predicted time to the first byte with which a call is
// sent, when the time waited already went by. A workspace above its fair share
// meets a shorter queue, so that the others find room in theirs.
func Allowance(work *Work, waited time.Duration, overuse float64) time.Duration {
	part := 1.0
	if overuse > 1 {
		part = max(leastAllowance, 1-(overuse-1))
	}
	return time.Duration(targetUse*part*float64(work.Target)) - waited
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
