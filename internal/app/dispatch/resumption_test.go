package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// A daemon and the rest of its failure domain are killed; the callers of its streams
// return to the other domain.
func TestOriginOutlivesItsFailureDomain(t *testing.T) {
	f := newExchangeFleet(t, 2, 2)
	recorder := f.managers["d0-0"].origins
	versions := []string{"v1", "v2"}
	for i := range 40 {
		recorder.recordFirstEvent(time.Now(), ports.RequestID(fmt.Sprint(i)), streamorigin.Origin{
			Service: "llm", SoftwareVersion: versions[i%2],
		}, core.Regions{})
	}
	recorder.flush()
	f.stopped["d0-0"], f.stopped["d0-1"] = true, true
	for i := range 40 {
		asker := f.managers[ports.DaemonID(fmt.Sprint("d1-", i/2%2))].origins
		origin, source := asker.lookUp(context.Background(), ports.RequestID(fmt.Sprint(i)), time.Minute)
		if origin != (streamorigin.Origin{Service: "llm", SoftwareVersion: versions[i%2]}) {
			t.Errorf("stream %d: %+v from %s", i, origin, source)
		}
	}
	origin, source := f.managers["d1-0"].origins.lookUp(context.Background(), "unknown", time.Minute)
	if source != streamorigin.SourceUnknown {
		t.Errorf("a stream that never began: %+v from %s", origin, source)
	}
	for name, m := range f.managers {
		if len(m.origins.queries) > 0 {
			t.Errorf("%s keeps %d queries", name, len(m.origins.queries))
		}
	}
}

// twoVersions returns servers of two software versions, with two slots each.
func twoVersions() []ports.VM {
	var servers []ports.VM
	for i, version := range []string{"v1", "v1", "v2", "v2", "v2", "v2"} {
		servers = append(servers, ports.VM{
			Name: ports.VMName(fmt.Sprint("e", i)), Service: "llm", Domain: "z1", Slots: 2, SoftwareVersion: version,
		})
	}
	return servers
}

// newStream returns a call that begins a resumable stream.
func newStream(id string) *ports.Call {
	call := newEngineCall("w1")
	call.ID, call.Stream, call.Resumable = ports.RequestID(id), true, true
	call.FirstTokenBy = call.Arrived.Add(400 * time.Millisecond)
	return call
}

// newResumption returns a call that resumes the stream that another call began.
func newResumption(id, resumes string) *ports.Call {
	call := newStream(id)
	call.Resumes, call.LastEventID = ports.RequestID(resumes), 3
	return call
}

// All slots are taken when the callers of many broken streams come back beside those
// that begin streams. Of the resumptions at least as large a share goes on, although
// fewer servers may run them.
func TestResumptionsUnderLoadGoOnLikeNewStreams(t *testing.T) {
	m := newTestManager(t, twoVersions()...)
	const streams = 30
	for i := range streams {
		m.origins.recordFirstEvent(time.Now(), ports.RequestID(fmt.Sprint("first-", i)), streamorigin.Origin{
			Service: "llm", SoftwareVersion: "v1",
		}, core.Regions{})
	}
	var mu sync.Mutex
	var began, resumed int
	var calls sync.WaitGroup
	acquire := func(call *ports.Call, admitted *int) {
		slot, err := m.Acquire(context.Background(), call)
		if err != nil {
			return
		}
		if call.IsResumption() && slot.Server().SoftwareVersion != "v1" {
			t.Errorf("resumed at %s", slot.Server().SoftwareVersion)
		}
		mu.Lock()
		defer mu.Unlock()
		*admitted++
	}
	for i := range streams {
		calls.Go(func() { acquire(newStream(fmt.Sprint("new-", i)), &began) })
		calls.Go(func() { acquire(newResumption(fmt.Sprint("again-", i), fmt.Sprint("first-", i)), &resumed) })
	}
	calls.Wait()
	if began == streams || resumed < began {
		t.Errorf("of %d each, %d streams began and %d went on", streams, began, resumed)
	}
}

// A caller names streams that never began, to pass admission with new calls.
func TestResumptionOfUnknownStreamIsAdmittedLikeNewCall(t *testing.T) {
	records := newFakeVersionRecords("v1")
	m := newRecordingManager(t, records, ports.VM{Name: "e1", Service: "llm", Domain: "z1", Slots: 1, SoftwareVersion: "v1"})
	takeOnlySlot(t, m)
	_, err := m.Acquire(context.Background(), newResumption("again", "never-began"))
	if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonQueueFull {
		t.Errorf("got %+v", refusal)
	}
}

// A resumption that no server may run is refused at once, as not run, with a time to
// come back, rather than placed at another version.
func TestResumptionWithoutItsVersionIsRefused(t *testing.T) {
	cases := map[string]struct {
		recorded streamorigin.Origin
		reason   outcome.Reason
	}{
		"origin unknown":  {reason: outcome.ReasonStreamOriginUnknown},
		"version gone":    {streamorigin.Origin{Service: "llm", SoftwareVersion: "v0"}, outcome.ReasonSoftwareVersionGone},
		"another service": {streamorigin.Origin{Service: "old", SoftwareVersion: "v1"}, outcome.ReasonSoftwareVersionGone},
	}
	for name, c := range cases {
		m := newTestManager(t, twoVersions()...)
		if c.recorded.Service != "" {
			m.origins.recordFirstEvent(time.Now(), "first", c.recorded, core.Regions{})
		}
		_, err := m.Acquire(context.Background(), newResumption("again", "first"))
		if refusal := mustBeRefusal(t, err); refusal.Reason != c.reason || refusal.RetryAfter <= 0 {
			t.Errorf("%s: got %+v", name, refusal)
		}
	}
}

// A stream that broke at the only server of its version has nowhere to go on.
func TestRetryOfStreamWithoutAnotherServerOfItsVersionIsRefused(t *testing.T) {
	m := newTestManager(t, twoVersions()[1:]...)
	call := newStream("s")
	call.SoftwareVersion, call.LastEventID, call.FailedServers = "v1", 3, []ports.VMName{"e1"}
	_, err := m.Acquire(context.Background(), call)
	if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonSoftwareVersionGone {
		t.Errorf("got %+v", refusal)
	}
}

// The first event alone begins a stream: what is recorded is the version of the server
// that sent it, and nothing is recorded for a resumption or a stream that can't resume.
func TestFirstEventRecordsOrigin(t *testing.T) {
	m := newTestManager(t, twoVersions()...)
	known := func(id ports.RequestID) (streamorigin.Origin, bool) {
		m.origins.mu.Lock()
		defer m.origins.mu.Unlock()
		return m.origins.table.LookUp(time.Now(), streamorigin.KeyOf(id))
	}
	slot, err := m.Acquire(context.Background(), newStream("first"))
	if err != nil {
		t.Fatal(err)
	}
	if _, recorded := known("first"); recorded {
		t.Error("recorded before its first event")
	}
	slot.Progress(1)
	origin, recorded := known("first")
	if !recorded || origin.SoftwareVersion != slot.Server().SoftwareVersion {
		t.Errorf("got %+v, %v", origin, recorded)
	}
	once := newStream("once")
	once.Resumable = false
	for _, call := range []*ports.Call{newResumption("again", "first"), once} {
		slot, err := m.Acquire(context.Background(), call)
		if err != nil {
			t.Fatal(err)
		}
		slot.Progress(1)
		if origin, recorded := known(call.ID); recorded {
			t.Errorf("%s is recorded: %+v", call.ID, origin)
		}
	}
}
