package callerhttp

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"hawthornstream/internal/core/overload"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// millicores is the number of thousandths of a core in one.
const millicores = 1000

// HandoverTable holds the offers of the failure domain's daemons to serve connections
// for each other, and decides which connections this daemon hands over. It implements
// ports.HandoverOffers and ports.HandoverView and is safe for concurrent use.
type HandoverTable struct {
	domain       ports.FailureDomain
	transport    ports.PeerTransport
	incarnations ports.PeerIncarnations

	// mu guards everything below.
	mu sync.Mutex
	// address is where this daemon takes connections over; empty for nowhere.
	address  string
	stopping bool
	decision *overload.Handover[handoverPeer]
	peers    map[ports.DaemonID]handoverPeer
}

// handoverPeer is a daemon that takes connections over at an address.
type handoverPeer struct {
	daemon  ports.DaemonID
	address string
}

// NewHandoverTable returns a table without offers, for daemons that reach each other by the
// transport.
func NewHandoverTable(
	s *settings.Settings, transport ports.PeerTransport, incarnations ports.PeerIncarnations,
) *HandoverTable {
	cores := s.Limits.Processors
	if cores <= 0 {
		cores = float64(runtime.GOMAXPROCS(0))
	}
	return &HandoverTable{
		domain:       s.VM.FailureDomain,
		transport:    transport,
		incarnations: incarnations,
		decision:     overload.NewHandover[handoverPeer](cores, s.Limits.MaxProcessorWait.Value()),
		peers:        make(map[ports.DaemonID]handoverPeer),
	}
}

// OwnOffer implements ports.HandoverOffers.
func (t *HandoverTable) OwnOffer() *ports.HandoverOffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address == "" || t.stopping {
		return nil
	}
	return &ports.HandoverOffer{Domain: t.domain, Address: t.address, SpareMillicores: toMillicores(t.decision.Spare())}
}

// SetPeerOffer implements ports.HandoverOffers. An offer from another failure domain is
// ignored.
func (t *HandoverTable) SetPeerOffer(from ports.DaemonID, offer *ports.HandoverOffer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.peers[from]
	if found && (offer == nil || offer.Address != known.address) {
		t.decision.Withdraw(known)
		delete(t.peers, from)
	}
	if offer == nil || offer.Domain != t.domain || offer.Address == "" {
		return
	}
	peer := handoverPeer{daemon: from, address: offer.Address}
	t.peers[from] = peer
	t.decision.SetOffer(time.Now(), peer, float64(offer.SpareMillicores)/millicores)
}

// HandoverStatus implements ports.HandoverView.
func (t *HandoverTable) HandoverStatus() *ports.HandoverStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address == "" {
		return nil
	}
	now := time.Now()
	status := &ports.HandoverStatus{
		Address: t.address, Fraction: t.decision.Fraction(), SpareMillicores: toMillicores(t.decision.Spare()),
		Peers: make(map[ports.DaemonID]int64, len(t.peers)),
	}
	for daemon, peer := range t.peers {
		status.Peers[daemon] = toMillicores(t.decision.SpareOf(now, peer))
	}
	return status
}

func toMillicores(cores float64) int64 {
	return int64(math.Floor(cores * millicores))
}

// start makes this daemon offer to take connections over at the address, and hand its
// own over.
func (t *HandoverTable) start(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
}

// announceStop withdraws this daemon's offer and ends handing over.
func (t *HandoverTable) announceStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// observe records a measurement of this daemon's load and returns the fraction of new
// connections that is handed over.
func (t *HandoverTable) observe(now time.Time, load overload.Load) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision.Observe(now, load)
	return t.decision.Fraction()
}

// fraction returns the fraction of new connections that is handed over.
func (t *HandoverTable) fraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address == "" || t.stopping {
		return 0
	}
	return t.decision.Fraction()
}

// shouldHandOver decides for one new connection.
func (t *HandoverTable) shouldHandOver(shedFraction float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address != "" && !t.stopping && t.decision.ShouldHandOver(rand.Float64(), shedFraction)
}

// isExhausted reports whether handing over can reduce this daemon's work no further.
func (t *HandoverTable) isExhausted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address == "" || t.stopping || t.decision.IsExhausted()
}

// choose returns the peer for a connection that is to be handed over, and false if no
// peer has processor time to spare.
func (t *HandoverTable) choose() (handoverPeer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address == "" || t.stopping {
		return handoverPeer{}, false
	}
	return t.decision.Choose(time.Now(), rand.Float64(), rand.Float64())
}

// withdraw forgets the offer of a peer that took a connection not over.
func (t *HandoverTable) withdraw(peer handoverPeer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision.Withdraw(peer)
}

// shouldRelease decides whether a kept connection is to be closed after its answer, so
// that the caller's next one can be handed over.
func (t *HandoverTable) shouldRelease() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address != "" && !t.stopping && t.decision.ShouldRelease(time.Now(), rand.Float64())
}
