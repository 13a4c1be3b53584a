package metrics

import (
	"runtime/metrics"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of samples in package runtime/metrics.
const (
	goroutinesSample  = "/sched/goroutines:goroutines"
	totalMemorySample = "/memory/classes/total:bytes"
)

// RuntimeReporter updates the gauges "process_goroutines" and
// "process_memory_bytes" from the metrics of the Go runtime.
type RuntimeReporter struct {
	goroutines tally.Gauge
	memory     tally.Gauge
	stop       chan struct{}
	done       sync.WaitGroup
}

// NewRuntimeReporter returns a reporter that is not started.
func NewRuntimeReporter(scope tally.Scope) *RuntimeReporter {
	return &RuntimeReporter{
		goroutines: scope.Gauge("process_goroutines"),
		memory:     scope.Gauge("process_memory_bytes"),
		stop:       make(chan struct{}),
	}
}

// Run updates the gauges every reportInterval in the background until Stop.
func (r *RuntimeReporter) Run() {
	r.done.Go(func() {
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			r.updateGauges()
			select {
			case <-ticker.C:
			case <-r.stop:
				return
			}
		}
	})
}

// Stop ends the updates and waits for one in progress. It must not be called twice.
func (r *RuntimeReporter) Stop() {
	close(r.stop)
	r.done.Wait()
}

func (r *RuntimeReporter) updateGauges() {
	samples := []metrics.Sample{{Name: goroutinesSample}, {Name: totalMemorySample}}
	metrics.Read(samples)
	r.goroutines.Update(float64(samples[0].Value.Uint64()))
	r.memory.Update(float64(samples[1].Value.Uint64()))
}
