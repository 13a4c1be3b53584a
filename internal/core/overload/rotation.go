package overload

import "time"

const (
	// leaveThreshold is the shed fraction from which a daemon should get no new
	// connections, once it has lasted for leaveDelay.
	leaveThreshold = 0.3
	leaveDelay     = 500 * time.Millisecond
	// returnDelay is the time without shedding after which it gets new
	// connections again.
	returnDelay = time.Second
)

// Rotation decides whether the load balancer should route new connections to
// this daemon. It guards against this load pattern: the balancer routes all
// connections of a workspace to one daemon for as long as that is in rotation,
// even if it refuses requests, while other daemons are idle. Open connections
// stay open.
type Rotation struct {
	outOfRotation  bool
	changeDueSince time.Time
}

// Update takes the current shed fraction and reports whether the daemon should
// be out of rotation.
func (r *Rotation) Update(now time.Time, shedFraction float64) bool {
	changeDue := shedFraction >= leaveThreshold
	if r.outOfRotation {
		changeDue = shedFraction == 0
	}
	switch {
	case !changeDue:
		r.changeDueSince = time.Time{}
	case r.changeDueSince.IsZero():
		r.changeDueSince = now
	case !r.outOfRotation && now.Sub(r.changeDueSince) >= leaveDelay,
		r.outOfRotation && now.Sub(r.changeDueSince) >= returnDelay:
		r.outOfRotation = !r.outOfRotation
		r.changeDueSince = time.Time{}
	}
	return r.outOfRotation
}
