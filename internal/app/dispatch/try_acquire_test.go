package dispatch

import (
	"context"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// newSilentCall is a call that was sent to another server, as TryAcquire gets it.
func newSilentCall() *ports.Call {
	call := newEngineCall("w1")
	call.FailedServers = []ports.VMName{"e0"}
	call.Prompt.Parts = []ports.PromptPart{{ID: "p1", Tokens: 900}, {ID: "u1", Tokens: 100}}
	return call
}

// A slot that was released unused, since the retry budget was exhausted, sent nothing: the
// server must not count as one that has the prefix cached.
func TestUnusedSlotRecordsNoCachedPrefix(t *testing.T) {
	m := newTestManager(t)
	slot, ok := m.TryAcquire(newSilentCall())
	if !ok {
		t.Fatal("no slot")
	}
	slot.Release(ports.RunReport{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if updates := m.pools["llm"].TakeDomainUpdates(); len(updates) > 0 {
		t.Errorf("reported as cached: %v", updates)
	}
}

// A silent stream is moved shortly before its caller leaves. A server whose predicted time
// to the first byte exceeds the call's target many times can't continue it in time.
func TestSlotBehindLongQueueReplacesNoRun(t *testing.T) {
	m := newTestManager(t)
	takeOnlySlot(t, m)
	for range 20 {
		slot, ok := m.TryAcquire(newSilentCall())
		if !ok {
			return
		}
		defer slot.Release(ports.RunReport{})
	}
	if slot, ok := m.TryAcquire(newSilentCall()); ok {
		t.Errorf("granted with a predicted first byte after %s, target %s",
			slot.GrantDetails().ExpectedFirstByte, firstTokenWithin)
		slot.Release(ports.RunReport{})
	}
}

// A stream that has begun and whose server broke off can only be cut if it gets no slot.
// It must wait for a server that takes calls again long before its deadline.
func TestBegunStreamWaitsForServerThatDeclinedJustBefore(t *testing.T) {
	m := newTestManager(t)
	m.Run()
	t.Cleanup(m.Stop)
	takeOnlySlot(t, m).Release(ports.RunReport{Fault: ports.ServerFaultOverloaded})
	call := newSilentCall()
	call.FirstTokenBy = call.Arrived.Add(400 * time.Millisecond)
	call.LastEventID = 2
	slot, err := m.Acquire(context.Background(), call)
	if err != nil {
		t.Fatalf("refused %s after its arrival, %s before its deadline: %v",
			time.Since(call.Arrived), time.Until(call.Deadline), err)
	}
	slot.Release(ports.RunReport{})
}
