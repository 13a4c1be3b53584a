package callerhttp

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/overload"
)

// Load pattern: several hundred goroutines of calls want the processor at once.
// The goroutine of a timer still runs nearly in time.
func TestSchedulingLagShowsWhatWaitsForTheProcessor(t *testing.T) {
	lag := newSchedulingLag()
	lag.mean()
	time.Sleep(overload.MeasurementPeriod)
	if calm := lag.mean(); calm > 20*time.Millisecond {
		t.Errorf("a lag of %s in calm", calm)
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
	loaded := lag.mean()
	busy.Wait()
	if loaded < 60*time.Millisecond {
		t.Errorf("a lag of %s under load", loaded)
	}
}
