package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// callSeconds is the processor time of a call, and relaySeconds that of a call
	// whose connection is handed over.
	callSeconds  = 0.002
	relaySeconds = 0.0003
	// offerPeriod is the time between two offers of a peer.
	offerPeriod = 0.32
)

// simulatedDaemon does work at the rate of its cores, in order of arrival. Calls and
// relays spread their work over streamSeconds.
type simulatedDaemon struct {
	cores            float64
	backlog, running float64
	shedder          *Shedder
	handover         *Handover[int]
	measureAt        float64
	usedSince        float64
	measuredAt       float64
	arrived, lost    int
}

func newSimulatedDaemon(cores float64) *simulatedDaemon {
	return &simulatedDaemon{
		cores: cores, shedder: NewShedder(allowedTestLag), handover: NewHandover[int](cores, allowedTestLag),
	}
}

func (d *simulatedDaemon) admit(work float64) {
	d.backlog += work / 2
	d.running += work / 2
}

// step does the work of one step and measures the load when it is due.
func (d *simulatedDaemon) step(now float64) {
	due := d.running * stepSeconds / streamSeconds
	d.running -= due
	d.backlog += due
	done := min(d.backlog, d.cores*stepSeconds)
	d.backlog -= done
	d.usedSince += done
	if now < d.measureAt {
		return
	}
	lag := time.Duration(d.backlog / d.cores * float64(time.Second))
	d.shedder.ObserveLag(lag)
	d.handover.Observe(simulatedTime(now), Load{Use: d.usedSince / max(now-d.measuredAt, stepSeconds), Lag: lag})
	d.usedSince, d.measuredAt, d.measureAt = 0, now, now+MeasurementPeriod.Seconds()
}

func simulatedTime(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// simulateDomain lets callers send calls, each over a new connection, to the first
// daemon, which hands over what it decides to.
func simulateDomain(daemons []*simulatedDaemon, seconds, callsPerSecond float64) {
	random := rand.New(rand.NewPCG(1, 2))
	small := daemons[0]
	due, offerAt := 0.0, 0.0
	for now := 0.0; now < seconds; now += stepSeconds {
		if now >= offerAt {
			offerAt += offerPeriod
			for i, peer := range daemons[1:] {
				small.handover.SetOffer(simulatedTime(now), i+1, peer.handover.Spare())
			}
		}
		for due += callsPerSecond * stepSeconds; due >= 1; due-- {
			small.arrived++
			shedFraction := small.shedder.ShedFraction()
			shed := small.handover.IsExhausted() && random.Float64() < shedFraction
			if !shed && small.handover.ShouldHandOver(random.Float64(), shedFraction) {
				if peer, ok := small.handover.Choose(simulatedTime(now), random.Float64(), random.Float64()); ok {
					small.admit(relaySeconds)
					daemons[peer].take(random)
					continue
				}
			}
			small.take(random)
		}
		for _, daemon := range daemons {
			daemon.step(now)
		}
	}
}

// take serves a call or sheds it.
func (d *simulatedDaemon) take(random *rand.Rand) {
	if random.Float64() < d.shedder.ShedFraction() {
		d.lost++
		d.admit(callSeconds * shedCost)
		return
	}
	d.admit(callSeconds)
}

func lostBy(daemons []*simulatedDaemon) int {
	lost := 0
	for _, daemon := range daemons {
		lost += daemon.lost
	}
	return lost
}

// The callers of one workspace all reach a daemon of 0.144 cores, which gets five times
// the work that it can do, while ten peers are idle. It loses no more calls than a large
// daemon that gets the same.
func TestSmallDaemonWithIdlePeersLosesNoMoreThanLargeOne(t *testing.T) {
	const seconds = 30
	callsPerSecond := 5 * 0.144 / callSeconds
	large := []*simulatedDaemon{newSimulatedDaemon(0.8)}
	simulateDomain(large, seconds, callsPerSecond)
	domain := []*simulatedDaemon{newSimulatedDaemon(0.144)}
	for _, cores := range []float64{0.8, 0.8, 0.48, 0.48, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144} {
		domain = append(domain, newSimulatedDaemon(cores))
	}
	simulateDomain(domain, seconds, callsPerSecond)
	t.Logf("of %d calls the large daemon loses %d, the small one and its peers %d", domain[0].arrived, lostBy(large), lostBy(domain))
	t.Logf("fraction %.2f, shed %.2f", domain[0].handover.Fraction(), domain[0].shedder.ShedFraction())
	if lostBy(domain) > lostBy(large) {
		t.Errorf("%d of %d calls are lost, %d at a large daemon", lostBy(domain), domain[0].arrived, lostBy(large))
	}
}

// All daemons of a domain are late. None of them is offered connections.
func TestLateDaemonsHandNothingOver(t *testing.T) {
	now := simulatedTime(0)
	late := NewHandover[string](0.5, allowedTestLag)
	for range 10 {
		now = now.Add(MeasurementPeriod)
		late.Observe(now, Load{Use: 0.5, Lag: allowedTestLag})
	}
	if late.Fraction() == 0 || late.Spare() != 0 {
		t.Fatalf("a late daemon hands over a fraction of %.2f and offers %.2f cores", late.Fraction(), late.Spare())
	}
	late.SetOffer(now, "peer", late.Spare())
	if peer, ok := late.Choose(now, 0.5, 0.5); ok {
		t.Errorf("a connection is handed over to %s, which has no time to spare", peer)
	}
	if late.ShouldRelease(now, 0) {
		t.Error("a kept connection is to be closed though no peer has time to spare")
	}
}

// A burst has raised the shed fraction, which falls within seconds only. Once the daemon
// is in time again, it hands over what it would shed.
func TestDaemonInTimeHandsOverInsteadOfShedding(t *testing.T) {
	now := simulatedTime(0)
	h := NewHandover[string](0.144, allowedTestLag)
	observe := func(lag time.Duration) {
		now = now.Add(MeasurementPeriod)
		h.Observe(now, Load{Use: 0.144, Lag: lag})
	}
	for range 10 {
		observe(5 * allowedTestLag)
	}
	if !h.IsExhausted() {
		t.Fatalf("the daemon hands over a fraction of %.2f under a burst", h.Fraction())
	}
	observe(allowedTestLag / 10)
	if h.IsExhausted() || !h.ShouldHandOver(0.9, 0.95) {
		t.Error("the daemon sheds though it is in time")
	}
}

// A burst takes all processor time from one measurement to the next, which comes late for
// it. The daemon hands over from then on.
func TestBurstIsHandedOverAfterOneMeasurement(t *testing.T) {
	now := simulatedTime(0)
	h := NewHandover[string](0.144, allowedTestLag)
	h.Observe(now, Load{Use: 0.02})
	const lag = 200 * time.Millisecond
	h.Observe(now.Add(MeasurementPeriod+lag), Load{Use: 0.144, Lag: lag})
	if h.Fraction() < 0.9 {
		t.Errorf("a fraction of %.2f is handed over after %v of full use", h.Fraction(), lag)
	}
}

// Several daemons are late at once and know the same offers. Each spreads its connections
// over the peers by their spare time until these tell what came.
func TestConnectionsAreSpreadOverPeersBySpareTime(t *testing.T) {
	now := simulatedTime(0)
	h := NewHandover[string](0.144, allowedTestLag)
	offers := map[string]float64{"large": 0.4, "medium": 0.2, "small": 0.05, "busy": 0}
	for id, spare := range offers {
		h.SetOffer(now, id, spare)
	}
	random := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[string]int)
	for range 1000 {
		peer, ok := h.Choose(now, random.Float64(), random.Float64())
		if !ok {
			break
		}
		chosen[peer]++
	}
	for id, spare := range offers {
		if most := int(spare*handedOverDecay.Seconds()/connectionWork.Seconds()) + 1; spare == 0 && chosen[id] > 0 || chosen[id] > most {
			t.Errorf("%d connections were handed over to the peer %s, which offered %.2f cores", chosen[id], id, spare)
		}
	}
	if chosen["small"] == 0 || chosen["large"] < chosen["small"] {
		t.Errorf("connections handed over: %v", chosen)
	}
}

// A peer that refused, or whose offers no longer come, gets nothing.
func TestWithdrawnAndOldOffersAreNotUsed(t *testing.T) {
	now := simulatedTime(0)
	h := NewHandover[string](0.144, allowedTestLag)
	h.SetOffer(now, "refusing", 0.4)
	h.Withdraw("refusing")
	if peer, ok := h.Choose(now, 0.5, 0.5); ok {
		t.Errorf("a connection is handed over to the peer %s after it refused one", peer)
	}
	h.SetOffer(now, "refusing", 0.4)
	if _, ok := h.Choose(now, 0.5, 0.5); !ok {
		t.Error("the peer's next offer is not used")
	}
	if _, ok := h.Choose(now.Add(offerMaxAge+time.Millisecond), 0.5, 0.5); ok {
		t.Error("an old offer is used")
	}
}

// A single late measurement, such as after a pause, hands nothing over.
func TestSingleLateMeasurementHandsNothingOver(t *testing.T) {
	now := simulatedTime(0)
	h := NewHandover[string](0.144, allowedTestLag)
	for i := range 40 {
		now = now.Add(MeasurementPeriod)
		load := Load{Use: 0.03}
		if i%4 == 0 {
			load.Lag = 10 * allowedTestLag
		}
		h.Observe(now, load)
		if h.Fraction() > 0 {
			t.Fatalf("a fraction of %.2f is handed over after measurement %d", h.Fraction(), i)
		}
	}
}
