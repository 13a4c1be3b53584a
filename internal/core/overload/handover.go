package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// targetUse is the part of its processor time that a daemon uses before it hands
	// connections over. What a daemon tells its peers as spare lies below it too.
	targetUse = 0.6
	// useSmoothing is the time over which measurements of the processor time are
	// averaged.
	useSmoothing = 200 * time.Millisecond
	// lateFraction is the lag from which a daemon counts as late, as a fraction of
	// the allowed lag: it hands over before requests have to be shed.
	lateFraction = 0.5
	// fullUse is the part of its processor time from which a single late measurement
	// shows a burst rather than a pause.
	fullUse = 0.9
	// handoverIncreasePerSecond is what each second at full use adds to the fraction
	// of new connections that is handed over, and handoverDecreasePerSecond what each
	// idle second subtracts.
	handoverIncreasePerSecond = 4.0
	handoverDecreasePerSecond = 0.3
	// offerMaxAge is the age from which an offer is no longer used.
	offerMaxAge = 1500 * time.Millisecond
	// handedOverDecay is the time constant with which the work that was handed over
	// to a peer is forgotten, because the peer's offers include it by then.
	handedOverDecay = 500 * time.Millisecond
	// connectionWork is the processor time that a connection is taken to cost the peer
	// that serves it, until the peer's offers show it.
	connectionWork = 3 * time.Millisecond
	// releaseThreshold is the fraction handed over from which kept connections are
	// asked to close after their answer, too.
	releaseThreshold = 0.5
)

// Handover decides which part of a daemon's new connections it hands over, unread, to
// peers with processor time to spare, and to which of them. It is not safe for
// concurrent use.
//
// Load pattern: the callers of one workspace all reach one small daemon, which gets
// several times the work that it can do, while its peers are idle.
type Handover[ID comparable] struct {
	cores      float64
	allowedLag time.Duration

	observedAt      time.Time
	use             float64
	consecutiveLate int
	fraction        float64
	peers           []*handoverPeer[ID]
}

// handoverPeer is what is known of one peer.
type handoverPeer[ID comparable] struct {
	id ID
	// spare is the processor time that the peer offered at offeredAt, in cores.
	spare     float64
	offeredAt time.Time
	// handedOver is the work handed over up to handedOverAt, in cores, with decay.
	handedOver   float64
	handedOverAt time.Time
}

// NewHandover returns the decision of a daemon that has the given number of cores and
// tolerates the given lag.
func NewHandover[ID comparable](cores float64, allowedLag time.Duration) *Handover[ID] {
	return &Handover[ID]{cores: cores, allowedLag: allowedLag}
}

// Load is one measurement of a daemon's own load.
type Load struct {
	// Use is the processor time used since the last measurement, in cores.
	Use float64
	// Lag is how late the daemon is with its work.
	Lag time.Duration
}

// Observe updates the fraction from a measurement of this daemon's load.
func (h *Handover[ID]) Observe(now time.Time, load Load) {
	elapsed := min(now.Sub(h.observedAt), time.Second)
	h.observedAt = now
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(useSmoothing))
	h.use += (load.Use - h.use) * weight
	h.consecutiveLate++
	if load.Lag >= h.allowedLag && load.Use >= fullUse*h.cores {
		h.consecutiveLate = max(h.consecutiveLate, minConsecutiveLate)
	}
	if float64(load.Lag) < lateFraction*float64(h.allowedLag) {
		h.consecutiveLate = 0
	}
	h.fraction = min(max(h.fraction+h.change()*elapsed.Seconds(), 0), 1)
}

// change returns the change of the fraction per second.
func (h *Handover[ID]) change() float64 {
	excess := h.use/h.cores - targetUse
	switch {
	case h.isLate():
		return handoverIncreasePerSecond
	case excess > 0:
		return handoverIncreasePerSecond * min(excess/(1-targetUse), 1)
	default:
		return handoverDecreasePerSecond * excess / targetUse
	}
}

// isLate reports whether consecutive measurements were late, or one that left no
// processor time unused; another single one may be caused by a pause.
func (h *Handover[ID]) isLate() bool {
	return h.consecutiveLate >= minConsecutiveLate
}

// Fraction returns the fraction of new connections to hand over, from 0 to 1.
func (h *Handover[ID]) Fraction() float64 {
	return h.fraction
}

// Spare returns the processor time that this daemon offers to its peers, in cores.
func (h *Handover[ID]) Spare() float64 {
	if h.isLate() || h.fraction > 0 {
		return 0
	}
	return max(0, targetUse*h.cores-h.use)
}

// SetOffer records the processor time that a peer offers, in cores.
func (h *Handover[ID]) SetOffer(now time.Time, id ID, spare float64) {
	peer := h.find(id)
	if peer == nil {
		peer = &handoverPeer[ID]{id: id}
		h.peers = append(h.peers, peer)
	}
	peer.spare, peer.offeredAt = spare, now
}

// Withdraw forgets a peer's offer until its next one, because it refused a connection
// or could not be reached.
func (h *Handover[ID]) Withdraw(id ID) {
	if peer := h.find(id); peer != nil {
		peer.spare = 0
	}
}

func (h *Handover[ID]) find(id ID) *handoverPeer[ID] {
	for _, peer := range h.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// ShouldHandOver decides for one new connection by a random number from 0 to 1. What
// would be shed is handed over if that is more.
func (h *Handover[ID]) ShouldHandOver(random, shedFraction float64) bool {
	return random < max(h.fraction, shedFraction)
}

// IsExhausted reports whether this daemon is late though all new connections are handed
// over, so that only shedding can reduce its work further.
func (h *Handover[ID]) IsExhausted() bool {
	return h.fraction >= 1 && h.isLate()
}

// ShouldRelease decides by a random number from 0 to 1 whether a kept connection is
// asked to close after its answer, so that the caller's next one can be handed over.
func (h *Handover[ID]) ShouldRelease(now time.Time, random float64) bool {
	return random < (h.fraction-releaseThreshold)/(1-releaseThreshold) && h.totalSpare(now) > 0
}

// Choose returns the peer to hand a connection over to, and false if no peer has
// processor time to spare. Two peers are drawn with their spare time as weight, by
// random numbers from 0 to 1, and the one with more of it is chosen, so that neither
// the largest peer nor small ones get all connections of several late daemons.
func (h *Handover[ID]) Choose(now time.Time, first, second float64) (ID, bool) {
	total := h.totalSpare(now)
	if total <= 0 {
		var none ID
		return none, false
	}
	chosen := h.draw(now, first*total)
	if other := h.draw(now, second*total); other.estimate(now) > chosen.estimate(now) {
		chosen = other
	}
	chosen.handedOver, chosen.handedOverAt = chosen.pending(now)+connectionWork.Seconds()/handedOverDecay.Seconds(), now
	return chosen.id, true
}

// draw returns the peer at the given position in the sum of all spare times, which is
// more than zero.
func (h *Handover[ID]) draw(now time.Time, position float64) *handoverPeer[ID] {
	var last *handoverPeer[ID]
	for _, peer := range h.peers {
		estimate := peer.estimate(now)
		if estimate <= 0 {
			continue
		}
		last = peer
		if position -= estimate; position < 0 {
			break
		}
	}
	return last
}

// SpareOf returns the processor time that a peer is taken to have left, in cores.
func (h *Handover[ID]) SpareOf(now time.Time, id ID) float64 {
	peer := h.find(id)
	if peer == nil || now.Sub(peer.offeredAt) > offerMaxAge {
		return 0
	}
	return peer.estimate(now)
}

// totalSpare returns the sum of the peers' spare times and forgets old offers.
func (h *Handover[ID]) totalSpare(now time.Time) float64 {
	h.peers = slices.DeleteFunc(h.peers, func(p *handoverPeer[ID]) bool { return now.Sub(p.offeredAt) > offerMaxAge })
	total := 0.0
	for _, peer := range h.peers {
		total += peer.estimate(now)
	}
	return total
}

// estimate returns the peer's spare time less what was handed over since its offer.
func (p *handoverPeer[ID]) estimate(now time.Time) float64 {
	return max(0, p.spare-p.pending(now))
}

// pending returns the work that the peer's offers don't include yet.
func (p *handoverPeer[ID]) pending(now time.Time) float64 {
	return p.handedOver * math.Exp(-float64(now.Sub(p.handedOverAt))/float64(handedOverDecay))
}
