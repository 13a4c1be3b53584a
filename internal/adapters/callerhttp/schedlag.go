package callerhttp

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencies is the runtime's histogram of the times that goroutines which could
// run waited for their turn, in seconds.
const latencies = "/sched/latencies:seconds"

// schedulingLag tells how long goroutines have waited for the processor since the
// last look. The lateness of a timer doesn't: the runtime lets the goroutine of a
// timer run before those that wait already. It is used by one goroutine.
type schedulingLag struct {
	sample []metrics.Sample
	before []uint64
}

func newSchedulingLag() *schedulingLag {
	return &schedulingLag{sample: []metrics.Sample{{Name: latencies}}}
}

// mean returns the mean wait since the last call, and zero when none was measured.
func (l *schedulingLag) mean() time.Duration {
	metrics.Read(l.sample)
	if l.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		// A runtime without this histogram: the timer's lateness is all there is.
		return 0
	}
	histogram := l.sample[0].Value.Float64Histogram()
	if l.before == nil {
		l.before = make([]uint64, len(histogram.Counts))
	}
	waits, sum := uint64(0), 0.0
	for i, count := range histogram.Counts {
		added := count - l.before[i]
		l.before[i] = count
		waits += added
		sum += float64(added) * middle(histogram.Buckets[i], histogram.Buckets[i+1])
	}
	if waits == 0 {
		return 0
	}
	return time.Duration(sum / float64(waits) * float64(time.Second))
}

// middle of a bucket; the outermost ones have no end.
func middle(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return max(high, 0)
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}
