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

func TestRetryAtAnotherDaemonDuringAndAfterFirstRunRunsOnce(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	call := orderCall("op-1", "key-1")
	call.RunMilliseconds = 400
	var attempts sync.WaitGroup
	outcomes := make([]fleet.Outcome, len(fx.Daemons))
	for i := range fx.Daemons {
		attempts.Go(func() { outcomes[i] = fx.call(i, call) })
	}
	attempts.Wait()
	for _, outcome := range outcomes {
		fx.expectComplete(outcome)
	}
	for i := range fx.Daemons {
		fx.expectComplete(fx.call(i, call))
	}
	fx.expectRuns("op-1", 1)
	fx.expectRefusal(fx.call(1, orderCall("op-2", "key-1")), "idempotency-key-reused", "not-run")
	fx.expectRuns("op-2", 0)
	fx.checkGuarantees()
}

func TestRetryAfterLostAnswerReportsUnknownOutcome(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	fx.injectServerFaults(standin.FaultResetAfter, 1)
	call := orderCall("op-1", "key-1")
	fx.expectRefusal(fx.call(0, call), "connection-broken", "unknown")
	fx.clearFaults()
	fx.expectRefusal(fx.call(1, call), "outcome-unknown", "unknown")
	fx.expectRuns("op-1", 1)
	fx.checkGuarantees()
}

func TestRetryOfCallThatDidNotRunIsRun(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	fx.injectServerFaults(standin.FaultOverloaded, 1)
	call := orderCall("op-1", "key-1")
	fx.expectRefusal(fx.call(0, call), "backend-server-overloaded", "not-run")
	fx.clearFaults()
	fx.expectComplete(fx.call(1, call))
	fx.expectRuns("op-1", 1)
	fx.checkGuarantees()
}

// repeatedKeyedCalls makes 24 slow keyed calls concurrently, each at one daemon
// and 100 ms later again at another, while disrupt runs. It returns the outcomes of
// the second attempts.
func (fx *fixture) repeatedKeyedCalls(name string, first, second int, disrupt func()) []fleet.Outcome {
	const count = 24
	outcomes := make([]fleet.Outcome, count)
	var calls sync.WaitGroup
	for i := range count {
		operation := fmt.Sprintf("%s-%d", name, i)
		call := orderCall(operation, "key-"+operation)
		call.RunMilliseconds = 150
		calls.Go(func() { fx.call(first, call) })
		calls.Go(func() {
			time.Sleep(100 * time.Millisecond)
			outcomes[i] = fx.call(second, call)
		})
	}
	disrupt()
	calls.Wait()
	return outcomes
}

func (fx *fixture) expectEachRanOnce(name string, outcomes []fleet.Outcome) {
	fx.t.Helper()
	for i, outcome := range outcomes {
		fx.expectComplete(outcome)
		fx.expectRuns(fmt.Sprintf("%s-%d", name, i), 1)
	}
	fx.checkGuarantees()
}

func TestKeyedCallsRunOnceWhenRangeOwnerIsKilled(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	outcomes := fx.repeatedKeyedCalls("killed", 0, 1, func() {
		time.Sleep(50 * time.Millisecond)
		_ = fx.Daemons[2].Kill()
	})
	fx.expectEachRanOnce("killed", outcomes)
}

func TestKeyedCallsRunOnceWhenRangeOwnerIsPausedAndResumed(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	outcomes := fx.repeatedKeyedCalls("paused", 0, 1, func() {
		time.Sleep(50 * time.Millisecond)
		_ = fx.Daemons[2].Pause()
		time.Sleep(6 * time.Second)
		_ = fx.Daemons[2].Resume()
	})
	fx.expectEachRanOnce("paused", outcomes)
	fx.expectEachRanOnce("resumed", fx.repeatedKeyedCalls("resumed", 2, 0, func() {}))
}

// A partition between the daemons gives each key range two owners, while both sides
// can reach the platform and the servers.
func TestKeyedCallsRunOnceWhenPartitionCreatesTwoOwners(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{Proxied: true})
	isolated := faultproxy.Named(string(fx.Daemons[2].VM.Name))
	others := faultproxy.Named(string(fx.Daemons[0].VM.Name), string(fx.Daemons[1].VM.Name))
	links := fx.Network.Links(faultproxy.Between(isolated, others))
	for _, link := range links {
		link.BlockBoth()
	}
	time.Sleep(4 * time.Second)
	fx.repeatedKeyedCalls("doubled", 0, 2, func() {})
	for _, link := range links {
		link.Unblock()
	}
	time.Sleep(2 * time.Second)
	for i := range 24 {
		operation := fmt.Sprintf("doubled-%d", i)
		call := orderCall(operation, "key-"+operation)
		call.RunMilliseconds = 150
		fx.expectComplete(fx.call(1, call))
		fx.expectRuns(operation, 1)
	}
	fx.checkGuarantees()
}
