package callerhttp

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/overload"
)

// Several hundred goroutines of calls wait for the processor at once, while the
// goroutine of a timer still runs almost in time. The measured latency must show
// their wait.
func TestSchedulingLatencyShowsGoroutinesWaitingForTheProcessor(t *testing.T) {
	latency := newSchedulingLatency()
	latency.meanSinceLast()
	time.Sleep(overload.MeasurementPeriod)
	if idle := latency.meanSinceLast(); idle > 20*time.Millisecond {
		t.Errorf("a mean latency of %s without load", idle)
	}
	var busy sync.WaitGroup
	end := time.Now().Add(time.Second)
	for range 150 * runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for time.Now().Before(end) {
				for begin := time.Now(); time.Since(begin) < 2*time.Millisecond; {
				}
				runtime.Gosched()
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	loaded := latency.meanSinceLast()
	busy.Wait()
	if loaded < 60*time.Millisecond {
		t.Errorf("a mean latency of %s under load", loaded)
	}
}
