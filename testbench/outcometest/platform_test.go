package outcometest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

func TestAnswersOfTheRecordsWritesAreLost(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	for i := range 8 {
		b.Objects.LoseWriteAnswers(1)
		call := order(fmt.Sprintf("op-%d", i), fmt.Sprintf("key-%d", i))
		b.expectWhole(b.call(i%3, call))
		b.expectWhole(b.call((i+1)%3, call))
		b.expectRuns(call.Operation, 1)
	}
	b.audit()
}

func TestSlowPlatformDelaysKeyedCalls(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	b.Objects.SetLatency(400 * time.Millisecond)
	call := order("op-1", "key-1")
	b.expectWhole(b.call(0, call))
	b.expectWhole(b.call(1, call))
	b.expectRuns("op-1", 1)
	b.audit()
}

// warmRanges makes keyed calls until the owners have read nearly all ranges.
func (b *bench) warmRanges() {
	const count = 240
	var calls sync.WaitGroup
	for i := range count {
		call := order(fmt.Sprintf("warm-%d", i), fmt.Sprintf("warm-%d", i))
		call.RunMilliseconds = 1
		calls.Go(func() { b.expectWhole(b.call(i%3, call)) })
	}
	calls.Wait()
}

func TestPlatformDownRefusesKeyedCallsTruthfully(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	began := order("op-0", "key-0")
	b.expectWhole(b.call(0, began))
	b.warmRanges()
	b.Objects.SetDown(true)
	for i := range 3 {
		call := order(fmt.Sprintf("op-%d", i+1), fmt.Sprintf("key-%d", i+1))
		outcome := b.call(i, call)
		b.expectRefusal(outcome, "idempotency-unavailable", "not-run")
		if outcome.RetryAfter == "" {
			t.Error("no Retry-After")
		}
		b.expectRuns(call.Operation, 0)
	}
	b.expectWhole(b.call(1, order("op-unkeyed", "")))
	b.Objects.SetDown(false)
	for i := range 4 {
		call := order(fmt.Sprintf("op-%d", i), fmt.Sprintf("key-%d", i))
		fleet.Eventually(t, "the call runs", func() bool { return b.call(2, call).Complete })
		b.expectRuns(call.Operation, 1)
	}
	b.audit()
}

// The platform goes down between the record of a call and its outcome.
func TestPlatformGoesDownDuringARun(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	call := order("op-1", "key-1")
	call.RunMilliseconds = 800
	ended := make(chan fleet.Outcome)
	go func() { ended <- b.call(0, call) }()
	fleet.Eventually(t, "the call runs", func() bool { return b.runs("op-1") == 1 })
	b.Objects.SetDown(true)
	b.expectWhole(<-ended)
	time.Sleep(500 * time.Millisecond)
	b.Objects.SetDown(false)
	fleet.Eventually(t, "the answer is replayed", func() bool { return b.call(1, call).Complete })
	b.expectRuns("op-1", 1)
	b.audit()
}
