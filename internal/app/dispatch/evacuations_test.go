package dispatch

import (
	"context"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/evacuation"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// fakeEvacuationFeed is a list of evacuations without a platform.
type fakeEvacuationFeed struct {
	table    *evacuation.Table
	onChange func()
}

func newFakeEvacuationFeed() *fakeEvacuationFeed {
	feed := &fakeEvacuationFeed{table: evacuation.NewTable()}
	feed.table.Replace(time.Now(), ports.StoreVersion{Era: 1, Revision: 1}, nil)
	return feed
}

func (f *fakeEvacuationFeed) Digest() ports.ServerListDigest {
	version := f.table.Version()
	return ports.ServerListDigest{Era: version.Era, Version: version.Revision}
}

func (f *fakeEvacuationFeed) Snapshot() ports.EvacuationPush {
	return f.table.Snapshot(time.Now())
}

func (f *fakeEvacuationFeed) Adopt(list ports.EvacuationPush) bool {
	before := len(f.InForce())
	f.table.Adopt(time.Now(), list)
	return len(f.InForce()) != before
}

func (f *fakeEvacuationFeed) SetWatching(bool) {}

func (f *fakeEvacuationFeed) InForce() map[ports.FailureDomain]time.Time {
	return f.table.InForce(time.Now())
}

func (f *fakeEvacuationFeed) OnStoreChange(callback func()) { f.onChange = callback }

// read applies a change as the platform's answer does.
func (f *fakeEvacuationFeed) read(revision uint64, change evacuation.Change) {
	f.table.Apply(time.Now(), ports.StoreVersion{Era: 1, Revision: revision}, []evacuation.Change{change})
	f.onChange()
}

// newEvacuationFleet returns a fleet whose daemons have lists of evacuations.
func newEvacuationFleet(t *testing.T, domains, perDomain int) (*exchangeFleet, map[ports.DaemonID]*fakeEvacuationFeed) {
	t.Helper()
	fleet, feeds := newExchangeFleet(t, domains, perDomain), make(map[ports.DaemonID]*fakeEvacuationFeed)
	for name, node := range fleet.nodes {
		feeds[name] = newFakeEvacuationFeed()
		node.evacuations = feeds[name]
		fleet.managers[name] = newExchangeManager(node)
	}
	return fleet, feeds
}

// uninformed returns how many running daemons don't know that the domain is evacuated.
func uninformed(f *exchangeFleet, feeds map[ports.DaemonID]*fakeEvacuationFeed, domain ports.FailureDomain) int {
	count := 0
	for name, feed := range feeds {
		if _, known := feed.InForce()[domain]; !known && !f.stopped[name] {
			count++
		}
	}
	return count
}

// One daemon reads a change, while the first daemon of each other domain has just been
// lost, which would have watched. All others know at once, and few messages cross the
// links between domains. A daemon that was cut off pulls the list later.
func TestEvacuationReachesEveryDaemonAtOnce(t *testing.T) {
	const domains, perDomain = 6, 10
	f, feeds := newEvacuationFleet(t, domains, perDomain)
	reader, cutOff := f.daemons[0], f.daemons[1]
	for _, daemon := range f.daemons {
		if rankInDomain(daemon, f.daemons) == 0 && daemon.Domain != reader.Domain {
			f.stopped[daemon.Name] = true
		}
	}
	f.stopped[cutOff.Name] = true
	feeds[reader.Name].read(5, evacuation.Change{Domain: "z3"})
	if count := uninformed(f, feeds, "z3"); count != 0 {
		t.Errorf("%d daemons don't know", count)
	}
	if limit := (domains - 1) * evacuationReceiversPerDomain; f.crossDomain > limit {
		t.Errorf("%d messages between domains, want at most %d", f.crossDomain, limit)
	}
	clear(f.stopped)
	f.report(time.Now())
	if count := uninformed(f, feeds, "z3"); count != 0 {
		t.Errorf("%d daemons have not pulled the list", count)
	}
}

// setEvacuated applies a configuration that evacuates the domains.
func setEvacuated(m *Manager, domains ...configuration.FailureDomain) {
	environment := m.configuration.(fakeConfigurationSource).fakeEnvironment
	changed := *environment.configuration
	changed.Document.EvacuatedDomains = domains
	environment.configuration = &changed
	m.refresh()
}

// All servers of a service are evacuated while their slots are taken and a call waits. That
// call and later ones are refused at once, as not run; the calls that run go on. When one
// domain is taken back, it gets calls.
func TestCallsAreNotKeptWaitingForEvacuatedServers(t *testing.T) {
	m := newTestManager(t, ports.VM{Name: "a", Domain: "z1", Slots: 1}, ports.VM{Name: "b", Domain: "z2", Slots: 1})
	running := []ports.Slot{takeOnlySlot(t, m), takeOnlySlot(t, m)}
	waiting := make(chan error, 1)
	go func() {
		_, err := m.Acquire(context.Background(), newEngineCall("w1"))
		waiting <- err
	}()
	for waiterCount(m) == 0 {
		time.Sleep(time.Millisecond)
	}
	setEvacuated(m, "z1", "z2")
	_, later := m.Acquire(context.Background(), newPatientCall())
	for name, err := range map[string]error{"the waiting call": <-waiting, "a later call": later} {
		if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonServersEvacuated || refusal.RetryAfter <= 0 {
			t.Errorf("%s got %+v", name, refusal)
		}
	}
	if _, ok := m.TryAcquire(newPatientCall()); ok {
		t.Error("a run is replaced by one in an evacuated domain")
	}
	if status := m.Evacuations(); len(status) != 2 || status[0].Running+status[1].Running != 2 {
		t.Errorf("status shows %+v", status)
	}
	for _, slot := range running {
		slot.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
	}
	setEvacuated(m, "z1")
	slot, err := m.Acquire(context.Background(), newEngineCall("w1"))
	if err != nil || slot.Server().Name != "b" {
		t.Fatalf("got %v, %v", slot, err)
	}
	slot.Release(ports.RunReport{})
}
