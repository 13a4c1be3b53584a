package overload

import "time"

const (
	// leaveFrom is the part of the requests turned away from which a daemon should
	// get no new connections, once that has lasted for leaveAfter.
	leaveFrom  = 0.3
	leaveAfter = 500 * time.Millisecond
	// returnAfter is the time without an overload after which it takes them again.
	returnAfter = time.Second
)

// Rotation decides whether the balancer should lead new connections to this
// daemon. The load pattern: the balancer leads all connections of a workspace to
// one daemon for as long as that is in rotation, refusals or not, while the
// daemons beside it are idle. Connections that are open stay.
type Rotation struct {
	out   bool
	since time.Time
}

// Out takes the part that is turned away now and returns whether the daemon
// should be out of rotation.
func (r *Rotation) Out(now time.Time, part float64) bool {
	against := part >= leaveFrom
	if r.out {
		against = part == 0
	}
	switch {
	case !against:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	case !r.out && now.Sub(r.since) >= leaveAfter, r.out && now.Sub(r.since) >= returnAfter:
		r.out = !r.out
		r.since = time.Time{}
	}
	return r.out
}
