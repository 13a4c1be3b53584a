package outcometest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

// sharedWrites is the most writes for each 1,000 calls at the highest rate.
const sharedWrites = 1300

// TestKeyedCallsShareWrites makes keyed calls at several rates and prints the
// platform's calls for each 1,000; one write for each begin and each end would
// be 2,000.
func TestKeyedCallsShareWrites(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	const count = 300
	for _, perSecond := range []int{50, 200, 600} {
		before := b.Objects.Counts()
		var calls sync.WaitGroup
		for i := range count {
			call := order(fmt.Sprintf("op-%d-%d", perSecond, i), fmt.Sprintf("key-%d-%d", perSecond, i))
			call.RunMilliseconds = 2
			calls.Go(func() { b.call(i%3, call) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		calls.Wait()
		time.Sleep(time.Second)
		after := b.Objects.Counts()
		writes := 1000 * (after.Writes - before.Writes) / count
		t.Logf("%d keyed calls/s: %d writes, %d reads, %d watches for each 1,000", perSecond, writes,
			1000*(after.Reads-before.Reads)/count, 1000*(after.Watches-before.Watches)/count)
		if perSecond == 600 && writes > sharedWrites {
			t.Errorf("%d writes for each 1,000 calls, bound %d", writes, sharedWrites)
		}
	}
	b.audit()
}
