package dispatch

import "time"

const (
	// maxPaceCredit limits the credit of a pace to what accrues in this time: a workspace
	// that pauses may not catch up at once.
	maxPaceCredit = 500 * time.Millisecond
	// maxInitialDebt limits the debt that a pace begins with to what accrues in this time.
	maxInitialDebt = 2 * time.Second
)

// pace limits the tokens that one daemon grants to a workspace above the ceiling. Calls
// are refused while it is in debt, however large they are, so that large ones get the
// same part as small ones.
//
// Load pattern: the callers of a workspace reach all daemons, which learn of each other's
// grants seconds late. Daemons that compare the sum of the grants with the ceiling all
// admit the workspace's whole demand until they hear of it, and then none of it for
// seconds; in all it gets several times the ceiling.
type pace struct {
	// bucket holds the tokens that may be granted.
	bucket
}

// newPace returns a pace at the given rate, in tokens per second, that begins with the
// given credit.
func newPace(now time.Time, rate, credit float64) pace {
	return pace{bucket{
		credit:    min(max(credit, -rate*maxInitialDebt.Seconds()), rate*maxPaceCredit.Seconds()),
		updatedAt: now,
	}}
}

func (p *pace) isSet() bool {
	return !p.updatedAt.IsZero()
}

// isExhausted adds what accrued at the given rate, in tokens per second, and reports
// whether the next call has to be refused.
func (p *pace) isExhausted(now time.Time, rate float64) bool {
	p.refill(now, rate, rate*maxPaceCredit.Seconds())
	return p.credit < 0
}

// spend takes the tokens of a granted call.
func (p *pace) spend(tokens float64) {
	if p.isSet() {
		p.credit -= tokens
	}
}
