package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// fakeOriginStore holds the checkpoints of a fleet.
type fakeOriginStore struct {
	checkpoints map[ports.DaemonID]ports.StreamOriginCheckpoint
	revision    uint64
	era         uint64
	// self is the daemon that writes.
	self ports.DaemonID
	// failures is the number of requests that fail before the store answers.
	failures int
}

func newFakeOriginStore(self ports.DaemonID) *fakeOriginStore {
	return &fakeOriginStore{checkpoints: make(map[ports.DaemonID]ports.StreamOriginCheckpoint), era: 1, self: self}
}

func (s *fakeOriginStore) fail() error {
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return &ports.PlatformUnavailableError{Operation: "any", Cause: context.DeadlineExceeded}
}

func (s *fakeOriginStore) Read(context.Context, bool) ([]ports.StreamOriginCheckpoint, uint64, error) {
	var all []ports.StreamOriginCheckpoint
	for _, checkpoint := range s.checkpoints {
		all = append(all, checkpoint)
	}
	return all, s.era, s.fail()
}

func (s *fakeOriginStore) Write(_ context.Context, groups []ports.StreamOriginGroup) (uint64, error) {
	if err := s.fail(); err != nil {
		return 0, err
	}
	s.put(s.self, groups...)
	return s.era, nil
}

func (s *fakeOriginStore) put(daemon ports.DaemonID, groups ...ports.StreamOriginGroup) {
	s.revision++
	s.checkpoints[daemon] = ports.StreamOriginCheckpoint{
		Daemon: daemon, Groups: groups, Version: ports.StoreVersion{Era: s.era, Revision: s.revision},
	}
}

func (s *fakeOriginStore) Remove(_ context.Context, daemon ports.DaemonID, revision uint64) (uint64, error) {
	if err := s.fail(); err != nil {
		return 0, err
	}
	if revision == 0 || s.checkpoints[daemon].Version.Revision == revision {
		delete(s.checkpoints, daemon)
	}
	return s.era, nil
}

func (s *fakeOriginStore) Era() uint64 { return s.era }

// stored returns the hashes of a daemon's checkpoint.
func (s *fakeOriginStore) stored(daemon ports.DaemonID) (attempts []uint64) {
	for _, group := range s.checkpoints[daemon].Groups {
		attempts = append(attempts, group.Attempts...)
	}
	slices.Sort(attempts)
	return attempts
}

// useStore gives the manager, whose loops don't run, another process's store.
func useStore(m *Manager, store *fakeOriginStore) *originCheckpoints {
	c := newOriginCheckpoints(store, m.directory, m.transport, m.logger, m.limiter, m.checkpoints.scope)
	m.checkpoints, m.origins.checkpoints = c, c
	return c
}

func keyOf(attempt ports.RequestID) uint64 { return uint64(streamorigin.KeyOf(attempt)) }

// A daemon starts while the store is away, and callers come back at once. They wait a short
// time and are refused; what the daemon's earlier process has left is not overwritten before
// it was read, and the streams go on afterwards.
func TestResumptionsAtStartWithoutStoreAreRefusedUntilItAnswers(t *testing.T) {
	m := newTestManager(t, twoVersions()...)
	self := m.directory.Self().Name
	store := newFakeOriginStore(self)
	store.put(self, ports.StreamOriginGroup{Service: "llm", SoftwareVersion: "v1", Attempts: []uint64{keyOf("first")}})
	store.put("gone", ports.StreamOriginGroup{Service: "llm", SoftwareVersion: "v2", Attempts: []uint64{keyOf("other")}})
	c := useStore(m, store)
	_, err := m.Acquire(context.Background(), newResumption("again", "first"))
	if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonStreamOriginUnknown {
		t.Errorf("got %+v", refusal)
	}
	m.checkpoints.recordEvent(time.Now(), newStream("second"), streamorigin.Origin{Service: "llm", SoftwareVersion: "v2"})
	store.failures = 2
	c.read(context.Background())
	for attempt, version := range map[ports.RequestID]string{"first": "v1", "other": "v2"} {
		slot, err := m.Acquire(context.Background(), newResumption("again-"+string(attempt), string(attempt)))
		if err != nil || slot.Server().SoftwareVersion != version {
			t.Fatalf("%s: got %v, %v", attempt, slot, err)
		}
	}
	c.update(context.Background(), time.Now(), store.self)
	want := []uint64{keyOf("first"), keyOf("second")}
	slices.Sort(want)
	if got := store.stored(self); !slices.Equal(got, want) {
		t.Errorf("the store holds %v, want %v", got, want)
	}
}

// A resumption that arrives while the checkpoints are being read waits for them, for a short
// time: on a busy machine it may be over before they are read.
func TestResumptionWaitsForCheckpoints(t *testing.T) {
	const tries = 20
	for range tries {
		m := newTestManager(t, twoVersions()...)
		store := newFakeOriginStore(m.directory.Self().Name)
		store.put("gone", ports.StreamOriginGroup{Service: "llm", SoftwareVersion: "v1", Attempts: []uint64{keyOf("first")}})
		c := useStore(m, store)
		result := make(chan streamorigin.Source, 1)
		go func() {
			_, source := m.origins.lookUp(context.Background(), "first", time.Hour)
			result <- source
		}()
		for waits := false; !waits; {
			m.origins.mu.Lock()
			waits = len(m.origins.queries) > 0
			m.origins.mu.Unlock()
		}
		c.read(context.Background())
		if <-result == streamorigin.SourceCheckpoint {
			return
		}
	}
	t.Error("no resumption has waited")
}

// The events and ends of calls decide what is in the checkpoint: streams that broke stay for
// their callers, those that are complete or bound to regions don't, and a failed write is
// made again.
func TestCheckpointFollowsStreams(t *testing.T) {
	servers := twoVersions()
	for i := range servers {
		servers[i].Region = "r1"
	}
	m := newTestManager(t, servers...)
	store := newFakeOriginStore(m.directory.Self().Name)
	c := useStore(m, store)
	c.read(context.Background())
	m.refresh()
	run := func(call *ports.Call, reason outcome.Reason) {
		t.Helper()
		slot, err := m.Acquire(context.Background(), call)
		if err != nil {
			t.Fatal(err)
		}
		slot.Progress(1)
		slot.Release(ports.RunReport{Reason: reason})
	}
	once := newStream("once")
	once.Resumable = false
	run(newStream("whole"), "")
	run(once, outcome.ReasonConnectionSilent)
	bound := newStream("bound")
	bound.Regions.Route = []ports.Region{"r1"}
	run(bound, outcome.ReasonConnectionSilent)
	run(newStream("broken"), outcome.ReasonConnectionSilent)
	slot, err := m.Acquire(context.Background(), newStream("running"))
	if err != nil {
		t.Fatal(err)
	}
	slot.Progress(1)
	store.failures = 1
	c.update(context.Background(), time.Now(), store.self)
	if got := store.stored(store.self); len(got) > 0 || c.failures != 1 {
		t.Errorf("got %v with %d failures", got, c.failures)
	}
	c.update(context.Background(), time.Now(), store.self)
	want := []uint64{keyOf("broken"), keyOf("running")}
	slices.Sort(want)
	if got := store.stored(store.self); !slices.Equal(got, want) {
		t.Errorf("the store holds %v, want %v", got, want)
	}
	run(newResumption("again", "broken"), "")
	m.checkpoints.recordEvent(time.Now(), newStream("next"), streamorigin.Origin{Service: "llm", SoftwareVersion: "v1"})
	c.update(context.Background(), time.Now(), store.self)
	if got := store.stored(store.self); slices.Contains(got, keyOf("broken")) || len(got) != 2 {
		t.Errorf("the store holds %v after the broken stream was completed", got)
	}
}

// The old version has left before this daemon started, and no checkpoint tells of it. After
// another end of all daemons its streams can't be told from those that begin now, unless
// these are recorded.
func TestCheckpointIsWrittenWhileRecordTellsOfVersionThatLeft(t *testing.T) {
	m, now := newTestManager(t, twoVersions()[2:]...), time.Now()
	store := newFakeOriginStore(m.directory.Self().Name)
	c := useStore(m, store)
	c.read(context.Background())
	m.refresh()
	c.recordEvent(now, newStream("s"), streamorigin.Origin{Service: "llm", SoftwareVersion: "v2"})
	c.update(context.Background(), now, store.self)
	if got := store.stored(store.self); len(got) > 0 {
		t.Errorf("the store holds %v while one version is known", got)
	}
	m.mu.Lock()
	m.versionViews["llm"].RecordRead(streamorigin.Record{Found: true, Versions: []string{"v1", "v2"}}, 0)
	m.observeVersions(now, true)
	m.mu.Unlock()
	c.update(context.Background(), now, store.self)
	if got := store.stored(store.self); len(got) != 1 {
		t.Errorf("the store holds %v", got)
	}
}

// In a large fleet, the streams of all daemons reach the store through a few of them, without
// a message to another failure domain.
func TestFewDaemonsWriteCheckpointsOfLargeFleet(t *testing.T) {
	f, store := newExchangeFleet(t, 3, 20), newFakeOriginStore("")
	ctx, now := context.Background(), time.Now()
	for i, daemon := range f.daemons {
		own := *store
		own.self = daemon.Name
		c := useStore(f.managers[daemon.Name], &own)
		c.read(ctx)
		c.observeVersions(now, "llm", []string{"v1", "v2"}, false)
		c.recordEvent(now, newStream(fmt.Sprint("s", i)), streamorigin.Origin{Service: "llm", SoftwareVersion: "v1"})
	}
	for range 2 {
		for _, daemon := range f.daemons {
			c := f.managers[daemon.Name].checkpoints
			writer, _ := c.writer()
			c.update(ctx, now, writer)
		}
	}
	stored := make(map[uint64]bool)
	for daemon := range store.checkpoints {
		for _, attempt := range store.stored(daemon) {
			stored[attempt] = true
		}
	}
	if len(stored) != len(f.daemons) || len(store.checkpoints) > 12 || f.crossDomain > 0 {
		t.Errorf("%d checkpoints hold %d of %d streams, %d messages left their domain",
			len(store.checkpoints), len(stored), len(f.daemons), f.crossDomain)
	}
}

// The VM of a daemon is replaced while several versions serve: its checkpoint is removed by
// one of the others, and that of a daemon that is alive stays.
func TestCheckpointOfReplacedDaemonIsRemoved(t *testing.T) {
	f := newExchangeFleet(t, 1, 2)
	m := f.managers["d0-0"]
	store := newFakeOriginStore("d0-0")
	group := ports.StreamOriginGroup{Service: "llm", SoftwareVersion: "v1", Attempts: []uint64{1}}
	store.put("d0-1", group)
	store.put("gone", group)
	c := useStore(m, store)
	c.read(context.Background())
	for i := range 3 {
		c.sweep(context.Background(), time.Now().Add(time.Duration(i)*streamorigin.SweepInterval))
	}
	if names := fmt.Sprint(len(store.checkpoints), store.stored("d0-1")); names != "1 [1]" {
		t.Errorf("the store holds %v", store.checkpoints)
	}
}
