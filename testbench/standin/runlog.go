package standin

import (
	"sync"
	"time"
)

// minSampleInterval is the least time between two recorded samples of a run's
// cost, except for the last one.
const minSampleInterval = 20 * time.Millisecond

// CostSample is the cumulative cost of a run at one time: in generated tokens at
// an engine, in milliseconds of run time at a plain service.
type CostSample struct {
	At   time.Time
	Cost float64
}

// RunOutcome is how a run ended.
type RunOutcome string

// The outcomes of runs.
const (
	// RunNotEnded is a run that has not ended.
	RunNotEnded RunOutcome = ""
	// RunCompleted is a run that finished its work.
	RunCompleted RunOutcome = "completed"
	// RunCancelled is a run that was cancelled on request, because it had no
	// reader, or because the server was closed.
	RunCancelled RunOutcome = "cancelled"
)

// Run records one run of a request at a backend server.
type Run struct {
	Server    string
	Service   string
	RequestID string
	// Workspace and Operation are what the test's caller put into the request.
	// All attempts of one operation carry the same Operation.
	Workspace      string
	Operation      string
	IdempotencyKey string
	BodyDigest     string
	// ArrivedAt is when the server had read the whole request.
	ArrivedAt time.Time
	// StartedAt is when the run got one of the server's slots; zero while it
	// waits.
	StartedAt time.Time
	// EndedAt is zero until the run has ended.
	EndedAt time.Time
	Outcome RunOutcome
	// CostSamples is the cumulative cost over time, from StartedAt on, rising.
	CostSamples []CostSample
}

// Cost returns the cost up to the last sample.
func (r *Run) Cost() float64 {
	if len(r.CostSamples) == 0 {
		return 0
	}
	return r.CostSamples[len(r.CostSamples)-1].Cost
}

// CostAt returns the cost at a time, linearly interpolated between samples.
func (r *Run) CostAt(at time.Time) float64 {
	previous := CostSample{At: r.StartedAt}
	for _, sample := range r.CostSamples {
		if !sample.At.Before(at) {
			return interpolate(previous, sample, at)
		}
		previous = sample
	}
	return previous.Cost
}

func interpolate(from, to CostSample, at time.Time) float64 {
	if !at.After(from.At) {
		return from.Cost
	}
	fraction := float64(at.Sub(from.At)) / float64(to.At.Sub(from.At))
	return from.Cost + fraction*(to.Cost-from.Cost)
}

// RunLog records the runs of any number of backend servers.
type RunLog struct {
	mu        sync.Mutex
	recorders []*RunRecorder
}

// RunRecorder records the progress of one run in its RunLog.
type RunRecorder struct {
	log *RunLog
	run Run
}

// RecordArrival adds a run that a server has accepted and returns its recorder.
func (l *RunLog) RecordArrival(run Run) *RunRecorder {
	recorder := &RunRecorder{log: l, run: run}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorders = append(l.recorders, recorder)
	return recorder
}

// Runs returns a copy of all runs in order of arrival.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, len(l.recorders))
	for i, recorder := range l.recorders {
		runs[i] = recorder.run
		runs[i].CostSamples = append([]CostSample(nil), recorder.run.CostSamples...)
	}
	return runs
}

// RecordStart records that the run has got a slot.
func (r *RunRecorder) RecordStart(at time.Time) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.run.StartedAt = at
}

// RecordProgress records the cost so far, at most once each minSampleInterval.
func (r *RunRecorder) RecordProgress(at time.Time, cost float64) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	samples := r.run.CostSamples
	if n := len(samples); n > 0 && at.Sub(samples[n-1].At) < minSampleInterval {
		return
	}
	r.run.CostSamples = append(samples, CostSample{At: at, Cost: cost})
}

// RecordEnd records the outcome of the run and, if it was started, its total cost.
func (r *RunRecorder) RecordEnd(at time.Time, outcome RunOutcome, cost float64) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.run.EndedAt = at
	r.run.Outcome = outcome
	if !r.run.StartedAt.IsZero() {
		r.run.CostSamples = append(r.run.CostSamples, CostSample{At: at, Cost: cost})
	}
}
