package memory

import (
	"time"

	"hawthornstream/internal/ports"
)

// request is what a reservation asks for.
type request struct {
	reservation *Reservation
	bytes       int64
	// after is what its workspace would hold.
	after   int64
	isSmall bool
}

// makeRoom decides whether a request may hold more bytes, and evicts others for it if
// that makes the workspaces' holdings more equal.
func (a *Account) makeRoom(now time.Time, r *Reservation, bytes int64) ([]*Reservation, error) {
	if a.isUnlimited() || a.held+bytes <= a.limit-a.reserve {
		return nil, nil
	}
	asked := request{
		reservation: r, bytes: bytes, after: a.HeldBy(r.workspace) + bytes, isSmall: r.bytes+bytes <= SmallCallBytes,
	}
	room := a.room(asked)
	missing := a.held + bytes - room
	if missing <= 0 {
		return nil, nil
	}
	victims, found := a.chooseVictims(asked, missing)
	if !found {
		a.turnover.recordRefused(now, bytes)
		return nil, &ExhaustedError{
			Needed: bytes, Free: max(room-a.held, 0), RetryAfter: a.turnover.retryAfter(now, missing),
		}
	}
	for _, victim := range victims {
		a.turnover.recordRefused(now, victim.bytes)
		a.end(victim)
	}
	return victims, nil
}

// room returns how many bytes may be held with a request.
func (a *Account) room(asked request) int64 {
	if a.mayUseReserve(asked) {
		return a.limit
	}
	return a.limit - a.reserve
}

// mayUseReserve reports whether a request is small, the only one of its workspace, or of
// a workspace that would hold no more than another one.
func (a *Account) mayUseReserve(asked request) bool {
	if asked.isSmall || asked.after == asked.reservation.bytes+asked.bytes {
		return true
	}
	for id, w := range a.workspaces {
		if id != asked.reservation.workspace && w.held >= asked.after {
			return true
		}
	}
	return false
}

// chooseVictims returns requests whose eviction frees the missing bytes, the largest of
// the workspace that holds most first.
func (a *Account) chooseVictims(asked request, missing int64) (victims []*Reservation, found bool) {
	held := make(map[ports.WorkspaceID]int64, len(a.workspaces))
	for id, w := range a.workspaces {
		held[id] = w.held
	}
	chosen := make(map[*Reservation]bool)
	for missing > 0 {
		victim := a.largestVictim(asked, held, chosen)
		if victim == nil {
			return nil, false
		}
		victims, chosen[victim] = append(victims, victim), true
		held[victim.workspace] -= victim.bytes
		missing -= victim.bytes
	}
	return victims, true
}

// largestVictim returns the largest request of the workspace that holds most, among those
// that may be evicted.
func (a *Account) largestVictim(
	asked request, held map[ports.WorkspaceID]int64, chosen map[*Reservation]bool,
) (largest *Reservation) {
	for id, w := range a.workspaces {
		for candidate := range w.receiving {
			if chosen[candidate] || !mayEvict(asked, candidate, held[id]) {
				continue
			}
			if largest == nil || held[id] > held[largest.workspace] ||
				id == largest.workspace && candidate.bytes > largest.bytes {
				largest = candidate
			}
		}
	}
	return largest
}

// mayEvict reports whether a request may take the place of another one, whose workspace
// holds the given bytes: if that workspace would still hold no less than its own, or if
// both are of the same workspace and only the other one is large.
func mayEvict(asked request, candidate *Reservation, held int64) bool {
	if candidate.workspace == asked.reservation.workspace {
		return asked.isSmall && candidate.bytes > SmallCallBytes && candidate != asked.reservation
	}
	return held-candidate.bytes >= asked.after
}
