package outcometest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

// maxWritesPer1000Calls bounds the writes for each 1,000 calls at the highest rate.
const maxWritesPer1000Calls = 1300

// TestKeyedCallsBatchWrites makes keyed calls at several rates and logs the calls
// to the platform for each 1,000. Without batching there would be 2,000 writes, one
// for the start and one for the end of each call.
func TestKeyedCallsBatchWrites(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	const count = 300
	for _, perSecond := range []int{50, 200, 600} {
		before := fx.Objects.Counts()
		var calls sync.WaitGroup
		startedAt := time.Now()
		for i := range count {
			call := orderCall(fmt.Sprintf("op-%d-%d", perSecond, i), fmt.Sprintf("key-%d-%d", perSecond, i))
			call.RunMilliseconds = 2
			calls.Go(func() { fx.call(i%3, call) })
			// Each call has its own due time, so that late wake-ups on a busy machine
			// don't lower the rate.
			time.Sleep(time.Until(startedAt.Add(time.Duration(i+1) * time.Second / time.Duration(perSecond))))
		}
		calls.Wait()
		time.Sleep(time.Second)
		after := fx.Objects.Counts()
		writes := 1000 * (after.Writes - before.Writes) / count
		t.Logf("%d keyed calls/s: %d writes, %d reads, %d watches for each 1,000", perSecond, writes,
			1000*(after.Reads-before.Reads)/count, 1000*(after.Watches-before.Watches)/count)
		if perSecond == 600 && writes > maxWritesPer1000Calls {
			t.Errorf("%d writes for each 1,000 calls, bound %d", writes, maxWritesPer1000Calls)
		}
	}
	fx.checkGuarantees()
}
