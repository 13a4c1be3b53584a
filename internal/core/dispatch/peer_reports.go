package dispatch

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// reportSampleWeight is the weight of one more report in the mean of
	// pending prompt tokens.
	reportSampleWeight = 0.3
	// pendingDecayTime is the time constant with which a report of pending
	// prompt tokens loses its weight: most prompts are processed before the
	// next report arrives.
	pendingDecayTime = 120 * time.Millisecond
	// reportLifetime is how long a report counts when no other follows.
	reportLifetime = 1500 * time.Millisecond
)

// PeerReports holds the load reports of one other daemon.
type PeerReports struct {
	receivedAt   time.Time
	lastSequence uint64
	loads        map[ServerKey]Load
	// meanPending is the moving average of the pending prompt tokens.
	meanPending map[ServerKey]float64
}

// ServerKey identifies a backend server of a service.
type ServerKey struct {
	Service ports.ServiceName
	Server  ports.VMName
}

// NewPeerReports returns the reports of a daemon that has not reported yet.
func NewPeerReports() *PeerReports {
	return &PeerReports{loads: make(map[ServerKey]Load), meanPending: make(map[ServerKey]float64)}
}

// IsNewer reports whether a report with the given sequence number is newer than
// the last one. It accepts any number once the last report has expired, because
// a daemon that restarts numbers its reports anew.
func (r *PeerReports) IsNewer(now time.Time, sequence uint64) bool {
	return sequence > r.lastSequence || now.Sub(r.receivedAt) >= reportLifetime
}

// Record replaces the last report and updates the moving averages.
func (r *PeerReports) Record(now time.Time, sequence uint64, loads map[ServerKey]Load) {
	for key, mean := range r.meanPending {
		mean += reportSampleWeight * (float64(loads[key].PendingTokens) - mean)
		if mean < 1 && loads[key].IsZero() {
			delete(r.meanPending, key)
			continue
		}
		r.meanPending[key] = mean
	}
	for key, load := range loads {
		if _, known := r.meanPending[key]; !known {
			r.meanPending[key] = reportSampleWeight * float64(load.PendingTokens)
		}
	}
	r.lastSequence, r.receivedAt, r.loads = sequence, now, loads
}

// AddEstimate adds the daemon's estimated current load to the sums. Calls last
// for seconds and count as reported; the pending prompt tokens decay from the
// reported number to the mean as the report ages. An expired report adds
// nothing.
func (r *PeerReports) AddEstimate(now time.Time, sums map[ServerKey]Load) {
	age := now.Sub(r.receivedAt)
	if age > reportLifetime {
		return
	}
	freshness := math.Exp(-age.Seconds() / pendingDecayTime.Seconds())
	for key, mean := range r.meanPending {
		load := r.loads[key]
		load.PendingTokens = int(mean + freshness*(float64(load.PendingTokens)-mean))
		sums[key] = sums[key].Add(load)
	}
}
