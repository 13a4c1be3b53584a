package quarantine

import "time"

// recentCalls remembers when the latest of a limited number of calls had sound answers.
type recentCalls struct {
	at map[CauseHash]time.Time
	// order has the calls in the order of their first answer; next is the place of the
	// oldest once it is full.
	order []CauseHash
	next  int
	limit int
}

func newRecentCalls(limit int) *recentCalls {
	return &recentCalls{at: make(map[CauseHash]time.Time), limit: limit}
}

// record records a sound answer that began at the given time.
func (r *recentCalls) record(call CauseHash, at time.Time) {
	known, ok := r.at[call]
	if at.After(known) {
		r.at[call] = at
	}
	switch {
	case ok:
	case len(r.order) < r.limit:
		r.order = append(r.order, call)
	default:
		delete(r.at, r.order[r.next])
		r.order[r.next] = call
		r.next = (r.next + 1) % r.limit
	}
}

// soundAt returns when the latest sound answer of a call began; zero if none is known.
func (r *recentCalls) soundAt(call CauseHash) time.Time {
	return r.at[call]
}
