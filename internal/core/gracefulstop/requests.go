package gracefulstop

import "time"

// Request is a request to stop.
type Request uint8

// The kinds of requests.
const (
	// RequestStop asks for a graceful stop before the platform kills the process: SIGTERM.
	RequestStop Request = iota
	// RequestPlanned asks for a graceful stop, after which no kill follows.
	RequestPlanned
	// RequestInterrupt asks for a graceful stop, and for its end at once if one is in
	// progress: SIGINT.
	RequestInterrupt
)

// Action is what a request leads to.
type Action uint8

// The actions.
const (
	// ActionBegin begins the stop.
	ActionBegin Action = iota
	// ActionNone leaves the stop in progress as it is: supervisors repeat their signals.
	ActionNone
	// ActionLimit ends a planned stop before the platform's kill, which now follows.
	ActionLimit
	// ActionCut cuts off the calls in progress.
	ActionCut
)

// String implements fmt.Stringer.
func (a Action) String() string {
	return [...]string{"begin", "none", "limit", "cut"}[a]
}

// Requests tells the first request to stop from its repetitions. The zero value has
// received none.
type Requests struct {
	beganAt time.Time
	// killFollows says that a signal has been received.
	killFollows bool
}

// Receive returns what a request leads to, and when the stop was first requested.
func (r *Requests) Receive(now time.Time, request Request) (Action, time.Time) {
	limited := r.killFollows
	r.killFollows = limited || request != RequestPlanned
	switch {
	case r.beganAt.IsZero():
		r.beganAt = now
		return ActionBegin, now
	case request == RequestInterrupt:
		return ActionCut, r.beganAt
	case r.killFollows && !limited:
		return ActionLimit, r.beganAt
	default:
		return ActionNone, r.beganAt
	}
}
