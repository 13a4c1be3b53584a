package lifecycle

import (
	"time"

	"hawthornstream/internal/ports"
)

// daemonIncarnation is one incarnation of the daemon on a VM.
type daemonIncarnation struct {
	vm        ports.VMName
	startedAt time.Time
	// firstRevision is the number of the incarnation's first configuration.
	firstRevision uint64
}

// plannedStopTime returns when the configuration asks this incarnation to stop,
// and false when it does not. A stop that was due before the incarnation began
// was meant for an earlier one on the same VM.
func (i daemonIncarnation) plannedStopTime(revision *ports.Configuration, now time.Time) (time.Time, bool) {
	for _, stop := range revision.Document.PlannedStops {
		if stop.VM != i.vm {
			continue
		}
		if stop.NotBefore.IsZero() && uint64(revision.Number) > i.firstRevision {
			return now, true
		}
		if !stop.NotBefore.IsZero() && stop.NotBefore.After(i.startedAt) {
			return stop.NotBefore, true
		}
	}
	return time.Time{}, false
}
