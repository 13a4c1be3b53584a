package outcometest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

func TestKeyedCallsRunOnceWhenRecordWriteAnswersAreLost(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	for i := range 8 {
		fx.Objects.LoseWriteAnswers(1)
		call := orderCall(fmt.Sprintf("op-%d", i), fmt.Sprintf("key-%d", i))
		fx.expectComplete(fx.call(i%3, call))
		fx.expectComplete(fx.call((i+1)%3, call))
		fx.expectRuns(call.Operation, 1)
	}
	fx.checkGuarantees()
}

func TestSlowPlatformDelaysKeyedCalls(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	fx.Objects.SetLatency(400 * time.Millisecond)
	call := orderCall("op-1", "key-1")
	fx.expectComplete(fx.call(0, call))
	fx.expectComplete(fx.call(1, call))
	fx.expectRuns("op-1", 1)
	fx.checkGuarantees()
}

// loadKeyRanges makes enough keyed calls for the owners to have read nearly all key
// ranges from the platform.
func (fx *fixture) loadKeyRanges() {
	const count = 240
	var calls sync.WaitGroup
	for i := range count {
		call := orderCall(fmt.Sprintf("warm-%d", i), fmt.Sprintf("warm-%d", i))
		call.RunMilliseconds = 1
		calls.Go(func() { fx.expectComplete(fx.call(i%3, call)) })
	}
	calls.Wait()
}

func TestKeyedCallsAreRefusedAsNotRunWhilePlatformIsDown(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	recorded := orderCall("op-0", "key-0")
	fx.expectComplete(fx.call(0, recorded))
	fx.loadKeyRanges()
	fx.Objects.SetDown(true)
	for i := range 3 {
		call := orderCall(fmt.Sprintf("op-%d", i+1), fmt.Sprintf("key-%d", i+1))
		outcome := fx.call(i, call)
		fx.expectRefusal(outcome, "idempotency-unavailable", "not-run")
		if outcome.RetryAfter == "" {
			t.Error("the refusal has no Retry-After header")
		}
		fx.expectRuns(call.Operation, 0)
	}
	fx.expectComplete(fx.call(1, orderCall("op-unkeyed", "")))
	fx.Objects.SetDown(false)
	for i := range 4 {
		call := orderCall(fmt.Sprintf("op-%d", i), fmt.Sprintf("key-%d", i))
		fleet.Eventually(t, "the call completes", func() bool { return fx.call(2, call).Complete })
		fx.expectRuns(call.Operation, 1)
	}
	fx.checkGuarantees()
}

// The platform fails after the idempotency record of a call is written and before
// its outcome is.
func TestPlatformFailsDuringRun(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	call := orderCall("op-1", "key-1")
	call.RunMilliseconds = 800
	ended := make(chan fleet.Outcome)
	go func() { ended <- fx.call(0, call) }()
	fleet.Eventually(t, "the call is running", func() bool { return fx.runCount("op-1") == 1 })
	fx.Objects.SetDown(true)
	fx.expectComplete(<-ended)
	time.Sleep(500 * time.Millisecond)
	fx.Objects.SetDown(false)
	fleet.Eventually(t, "the answer is replayed", func() bool { return fx.call(1, call).Complete })
	fx.expectRuns("op-1", 1)
	fx.checkGuarantees()
}
