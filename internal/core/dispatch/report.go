package dispatch

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// reportWeight is the weight of one more report in the mean of what waits.
	reportWeight = 0.3
	// waitingLasts is the time constant with which a report of waiting prompts
	// loses its meaning: most prompts are read sooner than the next report comes.
	waitingLasts = 120 * time.Millisecond
	// reportLasts is how long a report counts when no other follows.
	reportLasts = 1500 * time.Millisecond
)

// Reports are what one other daemon told of its load.
type Reports struct {
	at    time.Time
	seen  uint64
	loads map[ServerKey]Load
	// usual holds the mean of the waiting prompt tokens.
	usual map[ServerKey]float64
}

// ServerKey names a backend server of a service.
type ServerKey struct {
	Service ports.ServiceName
	Server  ports.VMName
}

// NewReports returns the reports of a daemon that told nothing yet.
func NewReports() *Reports {
	return &Reports{loads: make(map[ServerKey]Load), usual: make(map[ServerKey]float64)}
}

// Current says whether a report with the sequence number is newer than the last
// one. Sequence numbers begin anew when the daemon does.
func (r *Reports) Current(now time.Time, sequence uint64) bool {
	return sequence > r.seen || now.Sub(r.at) >= reportLasts
}

// Take takes a report over.
func (r *Reports) Take(now time.Time, sequence uint64, loads map[ServerKey]Load) {
	for key, mean := range r.usual {
		mean += reportWeight * (float64(loads[key].Waiting) - mean)
		if mean < 1 && loads[key].IsZero() {
			delete(r.usual, key)
			continue
		}
		r.usual[key] = mean
	}
	for key, load := range loads {
		if _, known := r.usual[key]; !known {
			r.usual[key] = reportWeight * float64(load.Waiting)
		}
	}
	r.seen, r.at, r.loads = sequence, now, loads
}

// AddTo adds what the daemon probably runs now to the sums. Calls last for
// seconds and count as reported; of the waiting prompts the usual number is left
// once the report is older than they last.
func (r *Reports) AddTo(now time.Time, sums map[ServerKey]Load) {
	age := now.Sub(r.at)
	if age > reportLasts {
		return
	}
	fresh := math.Exp(-age.Seconds() / waitingLasts.Seconds())
	for key, mean := range r.usual {
		load := r.loads[key]
		load.Waiting = int(mean + fresh*(float64(load.Waiting)-mean))
		sums[key] = sums[key].Add(load)
	}
}
