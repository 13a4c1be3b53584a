package dispatch

import "time"

const (
	// burstFraction is the part of the tolerated excess that the senders of a server may
	// send at once, when none has sent for a while. The rest is for daemons that know the
	// fleet or the bound late.
	burstFraction = 0.5
	// minBurst is the least number of requests that each sender may send at once: more
	// than one, so that it can leave a part to workspaces within their fair share.
	minBurst = 1.5
)

// RateTolerance is how far a backend server bears more requests than a rate: in each
// Window, Factor times those that the rate permits, and Excess more.
type RateTolerance struct {
	Factor, Excess float64
	Window         time.Duration
}

// RateBound bounds the requests that all daemons together send to a backend server.
type RateBound struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that all senders together may send at once.
	Burst float64
	// RequiresPeers is set if a daemon that has just started sends nothing before the
	// daemons know of each other, since it can't tell how many do the same.
	RequiresPeers bool
}

// Bound returns the bound for a rate in requests per second.
func (t RateTolerance) Bound(rate float64) RateBound {
	seconds := t.Window.Seconds()
	bound := RateBound{Rate: rate, Burst: burstFraction * ((t.Factor-1)*rate*seconds + t.Excess)}
	if bound.Burst < minBurst {
		// One sender is left. What it sends at once has to come from the rate.
		allowed := t.Factor*rate*seconds + t.Excess
		bound.Burst, bound.Rate = 1, min(rate, max(allowed-1, allowed/2)/seconds)
	}
	return bound
}

// stricter returns the bound that keeps both.
func (b RateBound) stricter(other RateBound) RateBound {
	return RateBound{
		Rate: min(b.Rate, other.Rate), Burst: min(b.Burst, other.Burst), RequiresPeers: b.RequiresPeers || other.RequiresPeers,
	}
}
