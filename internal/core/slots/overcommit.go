package slots

import (
	"math"
	"time"
)

const (
	// roundTripDrift is the largest factor by which one measurement raises a round
	// trip, so that it follows a link that became slower.
	roundTripDrift = 1.02
	// newHoldTimeWeight is the weight of a new value in the mean hold time.
	newHoldTimeWeight = 0.05
	// roundingOffsetStep is the golden ratio's fraction: its multiples spread the
	// rounding offsets evenly between 0 and 1.
	roundingOffsetStep = 0.618
)

// updateRoundTrip returns the round trip after a new measurement. Replies may be
// delayed to be sent with others, so the shortest measurement counts.
func updateRoundTrip(previous, measured time.Duration) time.Duration {
	if previous == 0 {
		return measured
	}
	return min(measured, time.Duration(float64(previous)*roundTripDrift))
}

// observeHoldTime adds the time that a slot was held to the moving mean.
func (o *Owner) observeHoldTime(holdTime time.Duration) {
	if o.meanHoldTime == 0 {
		o.meanHoldTime = holdTime
		return
	}
	o.meanHoldTime += time.Duration(newHoldTimeWeight * float64(holdTime-o.meanHoldTime))
}

// overcommit returns how many slots of a server may be granted beyond its window,
// to make up for slots that are idle while they pass from one call to the next:
// the end of a run travels to the entry, a report to the owner, a grant back and a
// call to the server. A fraction of a slot is granted for that part of the time,
// by rounding with an offset that changes with each freed slot.
func (o *Owner) overcommit(s *server) int {
	if o.meanHoldTime == 0 {
		return 0
	}
	idleSlots := 0.0
	for id, count := range s.inUseByEntry {
		entryRoundTrip := o.entry(id).roundTrip
		serverRoundTrip := s.roundTrip
		if id != o.self {
			serverRoundTrip = max(serverRoundTrip, entryRoundTrip)
		}
		fraction := float64(entryRoundTrip+serverRoundTrip) / float64(o.meanHoldTime)
		idleSlots += float64(count) * min(fraction, 1)
	}
	return int(idleSlots + s.roundingOffset)
}

// markInUse counts a slot as in use at its server.
func (o *Owner) markInUse(held *slot) {
	s := held.server
	s.inUse++
	s.inUseByEntry[held.key.Entry]++
}

// markFree counts a slot as no longer in use at its server.
func (o *Owner) markFree(held *slot) {
	s := held.server
	s.inUse--
	s.inUseByEntry[held.key.Entry]--
	if s.inUseByEntry[held.key.Entry] == 0 {
		delete(s.inUseByEntry, held.key.Entry)
	}
	_, s.roundingOffset = math.Modf(s.roundingOffset + roundingOffsetStep)
}
