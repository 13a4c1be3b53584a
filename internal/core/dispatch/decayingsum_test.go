package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Grants of calls without an answer left a rest, as the sum and the grant decayed by
// different steps.
func TestCancelledGrantsLeaveNoRest(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		shares, now := NewShareTracker(), start
		advance := func() { now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond)))) }
		shares.RecordDemand(now, "w", 1e9)
		grants := make([]Grant, 0, 20)
		for range 1 + random.IntN(20) {
			advance()
			grants = append(grants, shares.RecordGrant(now, "w", 1+50_000*random.Float64()))
			if random.IntN(2) == 0 {
				advance()
				shares.OwnRates(now)
			}
		}
		random.Shuffle(len(grants), func(i, j int) { grants[i], grants[j] = grants[j], grants[i] })
		for _, grant := range grants {
			advance()
			shares.CancelGrant(now, grant)
		}
		if granted := shares.OwnRates(now)["w"].Granted; granted != 0 {
			t.Errorf("seed %d: granted %g after all %d grants were cancelled", seed, granted, len(grants))
		}
	}
}

func TestDecayingSumDecaysWithItsTimeConstant(t *testing.T) {
	var sum decayingSum
	sum.add(time.Second, 1000)
	if got := sum.at(time.Second + rateDecayTime); got < 367.87 || got > 367.89 {
		t.Errorf("%v of 1000 remain after the time constant, want 1000/e", got)
	}
}
