package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// fakeVersionRecords is a store with the servers and the record of one service.
type fakeVersionRecords struct {
	mu     sync.Mutex
	listed []string
	record ports.VersionRecord
	// err is the result of each call; a call waits for release if that is not nil.
	err     error
	release chan struct{}
	lists   int
	reads   int
	writes  int
}

// newFakeVersionRecords returns a store in which servers of one version are listed and
// recorded.
func newFakeVersionRecords(version string) *fakeVersionRecords {
	return &fakeVersionRecords{listed: []string{version}, record: ports.VersionRecord{
		Service: "llm", SoftwareVersions: []string{version}, IsComplete: true, Revision: 1,
	}}
}

func (f *fakeVersionRecords) Listed(ctx context.Context) (ports.ListedSoftwareVersions, error) {
	f.mu.Lock()
	f.lists++
	release := f.release
	f.mu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return ports.ListedSoftwareVersions{}, &ports.PlatformUnavailableError{Operation: "list", Cause: ctx.Err()}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := map[ports.ServiceName][]string{"llm": slices.Clone(f.listed)}
	return ports.ListedSoftwareVersions{Versions: versions}, f.err
}

func (f *fakeVersionRecords) Records(context.Context) (ports.StoredVersionRecords, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	stored := ports.StoredVersionRecords{Records: make(map[ports.ServiceName]ports.VersionRecord)}
	if f.record.Revision > 0 {
		stored.Records["llm"] = f.record
	}
	return stored, f.err
}

func (f *fakeVersionRecords) Write(_ context.Context, record ports.VersionRecord) (ports.VersionRecord, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if record.Revision != f.record.Revision {
		return record, 0, &ports.VersionRecordConflictError{Service: record.Service}
	}
	record.Revision++
	f.record = record
	return record, 0, f.err
}

func (f *fakeVersionRecords) calls() (lists, reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.reads, f.writes
}

// newRecordingManager returns a manager with the records, which reads them for
// resumptions until the test ends.
func newRecordingManager(t *testing.T, records *fakeVersionRecords, servers ...ports.VM) *Manager {
	t.Helper()
	m := newTestManager(t, servers...)
	m.versions = newVersionExchange(records)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.versions.run(m.directory, m.applyEvidence)
	}()
	t.Cleanup(func() {
		m.versions.stop()
		<-done
	})
	return m
}

func serversOf(version string) []ports.VM {
	return []ports.VM{
		{Name: "e1", Service: "llm", Domain: "z1", Slots: 64, SoftwareVersion: version},
		{Name: "e2", Service: "llm", Domain: "z1", Slots: 64, SoftwareVersion: version},
	}
}

// resume returns the decision on a stream that no daemon knows.
func resume(m *Manager) streamorigin.Decision {
	decision, _ := m.resolveResumption(context.Background(), newResumption("again", "never-recorded"))
	return decision
}

// A daemon's list is some seconds old. Servers of a new version have joined, and streams
// have begun there through other daemons.
func TestUnknownStreamIsNotResumedByOldList(t *testing.T) {
	cases := map[string]struct {
		change func(f *fakeVersionRecords)
		want   streamorigin.Doubt
	}{
		"one version":             {func(*fakeVersionRecords) {}, ""},
		"new version listed":      {func(f *fakeVersionRecords) { f.listed = []string{"v1", "v2"} }, streamorigin.DoubtSeveralVersions},
		"old version unlisted":    {func(f *fakeVersionRecords) { f.listed = []string{"v2"} }, streamorigin.DoubtSeveralVersions},
		"version came and went":   {func(f *fakeVersionRecords) { f.record.SoftwareVersions = []string{"v1", "v2"} }, streamorigin.DoubtSeveralVersions},
		"record of another era":   {func(f *fakeVersionRecords) { f.record.Era = 1 }, streamorigin.DoubtIncompleteRecord},
		"service not recorded":    {func(f *fakeVersionRecords) { f.record = ports.VersionRecord{} }, streamorigin.DoubtNoRecord},
		"store does not answer":   {func(f *fakeVersionRecords) { f.release = make(chan struct{}) }, streamorigin.DoubtStoreNotRead},
		"store answers no client": {func(f *fakeVersionRecords) { f.err = &ports.PlatformUnavailableError{Operation: "list"} }, streamorigin.DoubtStoreNotRead},
	}
	for name, c := range cases {
		records := newFakeVersionRecords("v1")
		m := newRecordingManager(t, records, serversOf("v1")...)
		c.change(records)
		decision, refusal := m.resolveResumption(context.Background(), newResumption("again", "never-recorded"))
		if decision.Doubt != c.want || (refusal == nil) != (c.want == "") {
			t.Errorf("%s: got %+v, %+v", name, decision, refusal)
		}
		if refusal != nil && (refusal.Reason != outcome.ReasonStreamOriginUnknown || refusal.RetryAfter <= 0) {
			t.Errorf("%s: got %+v", name, refusal)
		}
	}
}

// The callers of all streams return at once after a kill of all daemons: they share reads,
// but none uses one that began before it arrived.
func TestResumptionsShareReadsOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := newFakeVersionRecords("v1")
		records.release = make(chan struct{})
		m := newRecordingManager(t, records, serversOf("v1")...)
		decide := func() {
			if decision := resume(m); decision.SoftwareVersion != "v1" {
				t.Errorf("got %+v", decision)
			}
		}
		go decide()
		synctest.Wait()
		for range 30 {
			go decide()
		}
		synctest.Wait()
		close(records.release)
		time.Sleep(minEvidenceInterval)
		synctest.Wait()
		if lists, reads, writes := records.calls(); lists != 2 || reads != 2 || writes != 0 {
			t.Errorf("%d lists, %d reads, %d writes", lists, reads, writes)
		}
	})
}

// All daemons of a large fleet are killed at once: their reads together stay within what
// the store takes.
func TestReadsOfAllDaemonsAreLimited(t *testing.T) {
	const readsPerSecond = 2000
	for _, daemons := range []int{1, 7, 60, 195, 1000} {
		reads := 2 * float64(daemons) / evidenceInterval(daemons).Seconds()
		if reads > readsPerSecond/2 {
			t.Errorf("%d daemons: %.0f requests a second", daemons, reads)
		}
	}
}

// The store takes longer to answer than the time that the call has for its first event.
// A new call would find room, and so does the resumption.
func TestReadOfTheStoreDoesNotCountAgainstTheCall(t *testing.T) {
	records := newFakeVersionRecords("v1")
	records.release = make(chan struct{})
	m := newRecordingManager(t, records, serversOf("v1")...)
	call := newResumption("again", "never-recorded")
	call.FirstTokenBy = call.Arrived.Add(100 * time.Millisecond)
	go func() {
		time.Sleep(150 * time.Millisecond)
		close(records.release)
	}()
	if _, err := m.Acquire(context.Background(), call); err != nil {
		t.Errorf("got %v", err)
	}
}

// While several versions are known to serve, callers that return again and again cost the
// store nothing.
func TestSeveralKnownVersionsCostNoReads(t *testing.T) {
	records := newFakeVersionRecords("v1")
	m := newRecordingManager(t, records, twoVersions()...)
	for range 10 {
		if decision := resume(m); decision.Doubt != streamorigin.DoubtSeveralVersions {
			t.Errorf("got %+v", decision)
		}
	}
	if lists, reads, _ := records.calls(); lists+reads > 0 {
		t.Errorf("%d lists and %d reads", lists, reads)
	}
}

// A stream of unknown origin that went on breaks again while a release begins. Its version
// was proven and is known from its next event on.
func TestStreamOfUnknownOriginIsKnownOnceItGoesOn(t *testing.T) {
	records := newFakeVersionRecords("v1")
	m := newRecordingManager(t, records, serversOf("v1")...)
	slot, err := m.Acquire(context.Background(), newResumption("again", "first"))
	if err != nil {
		t.Fatal(err)
	}
	slot.Progress(1)
	records.listed = []string{"v1", "v2"}
	decision, _ := m.resolveResumption(context.Background(), newResumption("once-more", "first"))
	if decision.SoftwareVersion != "v1" || decision.Source != streamorigin.SourceOwn {
		t.Errorf("got %+v", decision)
	}
}

// Many daemons see a new version at the same moment: one writes it, none loses that of
// another, and none writes again.
func TestVersionIsRecordedOnce(t *testing.T) {
	records := newFakeVersionRecords("v1")
	var managers []*Manager
	for range 5 {
		m := newTestManager(t, twoVersions()...)
		m.versions = newVersionExchange(records)
		managers = append(managers, m)
	}
	var updates sync.WaitGroup
	for _, m := range managers {
		updates.Go(func() {
			if err := m.updateVersionRecords(); err != nil {
				t.Error(err)
			}
		})
	}
	updates.Wait()
	if got := fmt.Sprint(records.record.SoftwareVersions, records.record.Revision); got != "[v1 v2] 2" {
		t.Errorf("got %s", got)
	}
	_, _, writes := records.calls()
	for _, m := range managers {
		if err := m.updateVersionRecords(); err != nil {
			t.Error(err)
		}
	}
	if _, _, after := records.calls(); after != writes {
		t.Errorf("%d more writes", after-writes)
	}
}

// Hundreds of daemons start at once and read the list. One of each failure domain sees to
// the records until some are known to watch.
func TestFewDaemonsOfStartingFleetReadRecords(t *testing.T) {
	f := newExchangeFleet(t, 3, 65)
	keeping := make(map[ports.FailureDomain]int)
	for _, daemon := range f.daemons {
		m := f.managers[daemon.Name]
		m.lists = newListExchange(&fakeListFeed{version: 7})
		if m.keepsRecords(m.lists.startedAt) {
			keeping[daemon.Domain]++
		}
		if m.keepsRecords(m.lists.startedAt.Add(startupPeriod)) {
			t.Errorf("%s keeps records though it does not watch", daemon.Name)
		}
	}
	if got := fmt.Sprint(keeping); got != "map[z0:1 z1:1 z2:1]" {
		t.Errorf("got %s", got)
	}
}
