package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// onlyServer returns the engine of the test manager.
func onlyServer() ports.VM {
	return new(fakeEnvironment).Servers("llm")[0]
}

// newPatientCall returns a call that waits for hours for a server.
func newPatientCall() *ports.Call {
	call := newEngineCall("w1")
	call.FirstTokenBy, call.Deadline = call.Arrived.Add(24*time.Hour), call.Arrived.Add(48*time.Hour)
	return call
}

// The only server says that it is leaving while a call waits for room there. That call
// and later ones are refused at once, as not run.
func TestCallsAreNotKeptWaitingForLeavingServers(t *testing.T) {
	m := newTestManager(t)
	taken := takeOnlySlot(t, m)
	waiting := make(chan error, 1)
	go func() {
		_, err := m.Acquire(context.Background(), newEngineCall("w1"))
		waiting <- err
	}()
	for waiterCount(m) == 0 {
		time.Sleep(time.Millisecond)
	}
	m.RecordLeaving(onlyServer())
	_, later := m.Acquire(context.Background(), newPatientCall())
	for name, err := range map[string]error{"the waiting call": <-waiting, "a later call": later} {
		if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonServerLeaving || refusal.RetryAfter <= 0 {
			t.Errorf("%s got %+v", name, refusal)
		}
	}
	taken.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
	if _, err := m.Acquire(context.Background(), newPatientCall()); err == nil {
		t.Error("the leaving server got a call after the end of another one")
	}
}

// A call has failed on the only server. It is refused at once instead of waiting for
// another server.
func TestRetryWithoutOtherServerIsRefusedAtOnce(t *testing.T) {
	m := newTestManager(t)
	call := newPatientCall()
	call.FailedServers = []ports.VMName{onlyServer().Name}
	_, err := m.Acquire(context.Background(), call)
	if refusal := mustBeRefusal(t, err); refusal.Reason != outcome.ReasonNoServer || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", refusal)
	}
}

// The only server asks for a long pause while a call waits for room there. That call and
// later ones are refused at once, with a time to come back after the pause.
func TestCallsAreNotKeptWaitingForLongPause(t *testing.T) {
	const pause = time.Hour
	m := newTestManager(t)
	takeOnlySlot(t, m)
	waiting := make(chan error, 1)
	go func() {
		_, err := m.Acquire(context.Background(), newEngineCall("w1"))
		waiting <- err
	}()
	for waiterCount(m) == 0 {
		time.Sleep(time.Millisecond)
	}
	if retryAfter := m.RecordPushback(newEngineCall("w1"), onlyServer(), pause); retryAfter < pause-time.Minute {
		t.Errorf("the call that was turned away may come back after %s", retryAfter)
	}
	_, later := m.Acquire(context.Background(), newEngineCall("w1"))
	for name, err := range map[string]error{"the waiting call": <-waiting, "a later call": later} {
		refusal := mustBeRefusal(t, err)
		if refusal.Reason != outcome.ReasonServerOverloaded || refusal.RetryAfter < pause-time.Minute {
			t.Errorf("%s got %+v", name, refusal)
		}
	}
}

// crowdedDirectory is the directory of a large failure domain, whose daemons report their
// load seldom.
type crowdedDirectory struct{ ports.Directory }

func (d crowdedDirectory) Daemons() []ports.VM {
	daemons := d.Directory.Daemons()
	for i := range 100 {
		daemons = append(daemons, ports.VM{Name: ports.VMName(fmt.Sprintf("peer-%d", i)), Domain: d.Self().Domain})
	}
	return daemons
}

// The only server asks for a pause that ends while a call waits. The call gets the
// server when the pause has ended, although nothing else happens then.
func TestCallWaitsForEndOfShortPause(t *testing.T) {
	m := newTestManager(t)
	m.directory = crowdedDirectory{m.directory}
	m.Run()
	defer m.Stop()
	const pause = 150 * time.Millisecond
	recordedAt := time.Now()
	m.RecordPushback(newEngineCall("w1"), onlyServer(), pause)
	slot, err := m.Acquire(context.Background(), newEngineCall("w1"))
	if err != nil {
		t.Fatal(err)
	}
	if waited := time.Since(recordedAt); waited < pause {
		t.Errorf("got the server %s after the answer", waited)
	}
	slot.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
}

// The end of a pause wakes the loop that serves the waiting calls.
func TestLoopWakesAtEndOfNextPause(t *testing.T) {
	m := newTestManager(t)
	if wait := m.untilNextFree(time.Now()); wait < maxPauseCheckPeriod {
		t.Errorf("wakes after %s without a pause", wait)
	}
	m.RecordPushback(newEngineCall("w1"), onlyServer(), time.Minute)
	if wait := m.untilNextFree(time.Now()); wait > time.Minute+resolveInterval || wait < 50*time.Second {
		t.Errorf("wakes after %s of a pause of a minute", wait)
	}
}
