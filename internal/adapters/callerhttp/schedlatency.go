package callerhttp

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencyMetric is the runtime's histogram of the times, in seconds, that runnable
// goroutines waited until they ran.
const latencyMetric = "/sched/latencies:seconds"

// schedulingLatency measures how long goroutines wait for the processor. The
// lateness of a timer does not show this: the runtime runs a timer's goroutine
// before those that already wait. It is not safe for concurrent use.
type schedulingLatency struct {
	samples []metrics.Sample
	// previousCounts are the histogram's counts at the last measurement.
	previousCounts []uint64
}

func newSchedulingLatency() *schedulingLatency {
	return &schedulingLatency{samples: []metrics.Sample{{Name: latencyMetric}}}
}

// meanSinceLast returns the mean wait since its last call, or since the start of
// the process on its first. It is zero when no goroutine waited.
func (l *schedulingLatency) meanSinceLast() time.Duration {
	metrics.Read(l.samples)
	if l.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		// This runtime lacks the histogram. The timer's lateness must suffice.
		return 0
	}
	histogram := l.samples[0].Value.Float64Histogram()
	if l.previousCounts == nil {
		l.previousCounts = make([]uint64, len(histogram.Counts))
	}
	waits, sum := uint64(0), 0.0
	for i, count := range histogram.Counts {
		added := count - l.previousCounts[i]
		l.previousCounts[i] = count
		waits += added
		sum += float64(added) * bucketMiddle(histogram.Buckets[i], histogram.Buckets[i+1])
	}
	if waits == 0 {
		return 0
	}
	return time.Duration(sum / float64(waits) * float64(time.Second))
}

// bucketMiddle returns the middle of a histogram bucket, and the finite bound of
// the outermost ones, which are unbounded on one side.
func bucketMiddle(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return max(high, 0)
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}
