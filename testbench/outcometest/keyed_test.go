package outcometest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

func TestRetryAtAnotherDaemonDuringAndAfterTheFirstRun(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	call := order("op-1", "key-1")
	call.RunMilliseconds = 400
	var tries sync.WaitGroup
	outcomes := make([]fleet.Outcome, len(b.Daemons))
	for i := range b.Daemons {
		tries.Go(func() { outcomes[i] = b.call(i, call) })
	}
	tries.Wait()
	for _, outcome := range outcomes {
		b.expectWhole(outcome)
	}
	for i := range b.Daemons {
		b.expectWhole(b.call(i, call))
	}
	b.expectRuns("op-1", 1)
	b.expectRefusal(b.call(1, order("op-2", "key-1")), "idempotency-key-reused", "not-run")
	b.expectRuns("op-2", 0)
	b.audit()
}

func TestRetryAfterALostAnswerIsToldThatTheEndIsUnknown(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	b.strike(standin.FaultResetAfter, 1)
	call := order("op-1", "key-1")
	b.expectRefusal(b.call(0, call), "connection-broken", "unknown")
	b.clearFaults()
	b.expectRefusal(b.call(1, call), "outcome-unknown", "unknown")
	b.expectRuns("op-1", 1)
	b.audit()
}

func TestRetryOfACallThatDidNotRunRuns(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	b.strike(standin.FaultOverloaded, 1)
	call := order("op-1", "key-1")
	b.expectRefusal(b.call(0, call), "backend-server-overloaded", "not-run")
	b.clearFaults()
	b.expectWhole(b.call(1, call))
	b.expectRuns("op-1", 1)
	b.audit()
}

// keyedCalls makes many slow keyed calls, each at one daemon and soon after
// again at another, and lets strike happen meanwhile. It returns the second
// tries' outcomes.
func (b *bench) keyedCalls(name string, first, second int, strike func()) []fleet.Outcome {
	const count = 24
	outcomes := make([]fleet.Outcome, count)
	var calls sync.WaitGroup
	for i := range count {
		operation := fmt.Sprintf("%s-%d", name, i)
		call := order(operation, "key-"+operation)
		call.RunMilliseconds = 150
		calls.Go(func() { b.call(first, call) })
		calls.Go(func() {
			time.Sleep(100 * time.Millisecond)
			outcomes[i] = b.call(second, call)
		})
	}
	strike()
	calls.Wait()
	return outcomes
}

func (b *bench) expectOnce(name string, outcomes []fleet.Outcome) {
	b.t.Helper()
	for i, outcome := range outcomes {
		b.expectWhole(outcome)
		b.expectRuns(fmt.Sprintf("%s-%d", name, i), 1)
	}
	b.audit()
}

func TestOwnerIsKilled(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	outcomes := b.keyedCalls("killed", 0, 1, func() {
		time.Sleep(50 * time.Millisecond)
		_ = b.Daemons[2].Kill()
	})
	b.expectOnce("killed", outcomes)
}

func TestOwnerIsPausedAndResumed(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	outcomes := b.keyedCalls("paused", 0, 1, func() {
		time.Sleep(50 * time.Millisecond)
		_ = b.Daemons[2].Pause()
		time.Sleep(6 * time.Second)
		_ = b.Daemons[2].Resume()
	})
	b.expectOnce("paused", outcomes)
	b.expectOnce("resumed", b.keyedCalls("resumed", 2, 0, func() {}))
}

// A partition between the daemons makes two of them own each range, while both
// sides reach the platform and the servers.
func TestOwnerIsDoubledByAPartition(t *testing.T) {
	b := start(t, fleet.LinkOptions{Proxied: true})
	apart := faultproxy.Named(string(b.Daemons[2].VM.Name))
	others := faultproxy.Named(string(b.Daemons[0].VM.Name), string(b.Daemons[1].VM.Name))
	links := b.Network.Links(faultproxy.Between(apart, others))
	for _, link := range links {
		link.BlockBoth()
	}
	time.Sleep(4 * time.Second)
	b.keyedCalls("doubled", 0, 2, func() {})
	for _, link := range links {
		link.Unblock()
	}
	time.Sleep(2 * time.Second)
	for i := range 24 {
		operation := fmt.Sprintf("doubled-%d", i)
		call := order(operation, "key-"+operation)
		call.RunMilliseconds = 150
		b.expectWhole(b.call(1, call))
		b.expectRuns(operation, 1)
	}
	b.audit()
}
