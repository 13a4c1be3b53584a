package dispatch

import (
	"context"
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
