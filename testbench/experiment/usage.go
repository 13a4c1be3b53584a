package experiment

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

// usage is the resource use of all daemons so far.
type usage struct {
	daemons          map[ports.DaemonID]processUsage
	crossRegionBytes int64
}

// processUsage is the resource use of one process of a daemon since its start.
type processUsage struct {
	pid           int
	controlBytes  float64
	processorTime time.Duration
}

// sentBytesSuffix is the suffix of the metric that counts bytes sent to peers.
const sentBytesSuffix = "peer_sent_bytes"

// usageTimeout bounds one measurement of all daemons.
const usageTimeout = 2 * time.Second

// measureUsage reads the metrics and processor times of all daemons concurrently.
// The control bytes of a daemon that does not answer count as zero.
func measureUsage(ctx context.Context, f *fleet.Fleet) usage {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	total := usage{
		daemons:          make(map[ports.DaemonID]processUsage),
		crossRegionBytes: f.CrossRegionBytes(),
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, daemon := range f.Daemons {
		group.Go(func() {
			metrics, _ := daemon.Metrics(ctx)
			processorTime, _ := daemon.CPUTime()
			mu.Lock()
			defer mu.Unlock()
			total.daemons[daemon.ID()] = processUsage{
				pid:           daemon.PID(),
				controlBytes:  metrics.SumBySuffix(sentBytesSuffix),
				processorTime: processorTime,
			}
		})
	}
	group.Wait()
	return total
}

// since returns the resource use after before, summed over the daemons. For a
// daemon that was restarted in between, only its last process counts.
func (u usage) since(before usage) (controlBytes float64, processorTime time.Duration) {
	for id, now := range u.daemons {
		controlBytes += now.controlBytes
		processorTime += now.processorTime
		if earlier := before.daemons[id]; earlier.pid == now.pid {
			controlBytes -= earlier.controlBytes
			processorTime -= earlier.processorTime
		}
	}
	return controlBytes, processorTime
}
