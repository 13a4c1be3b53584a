package engine

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/pause"
	"hawthornstream/testbench/standin"
)

// minGenerationInterval is the least wait before the next tokens of a run are
// generated.
const minGenerationInterval = 4 * time.Millisecond

// run is one run of a request.
type run struct {
	id          string
	operation   string
	totalTokens int
	recorder    *standin.RunRecorder
	cancel      context.CancelFunc

	mu              sync.Mutex
	generatedTokens int
	ended           bool
	cancelled       bool
	changed         chan struct{}
	readers         int
	noReaderTimer   *time.Timer
}

// startRun records the arrival of a request and runs it in the background.
func (e *Engine) startRun(request request) *run {
	ctx, cancel := context.WithCancel(e.ctx)
	started := &run{
		id:          request.id,
		operation:   request.Metadata.Operation,
		totalTokens: request.tokenCount(),
		recorder:    e.config.Log.RecordArrival(request.newRunRecord(e.config)),
		cancel:      cancel,
		changed:     make(chan struct{}),
	}
	e.mu.Lock()
	e.runs[started.id] = started
	e.mu.Unlock()
	go e.generate(ctx, started)
	return started
}

func (e *Engine) generate(ctx context.Context, r *run) {
	defer e.removeAfterResumeWindow(r)
	defer r.cancel()
	if err := e.slots.Acquire(ctx); err != nil {
		r.finish(true)
		return
	}
	defer e.slots.Release()
	r.recorder.RecordStart(time.Now())
	if !pause.For(ctx, e.config.FirstTokenDelay) {
		r.finish(true)
		return
	}
	nextTokenAt := time.Now()
	for r.generatedCount() < r.totalTokens {
		tokenInterval := time.Duration(float64(time.Second) / e.currentTokensPerSecond())
		if r.generatedCount() > 0 {
			nextTokenAt = nextTokenAt.Add(tokenInterval)
		}
		if wait := time.Until(nextTokenAt); wait > 0 && !pause.For(ctx, max(wait, minGenerationInterval)) {
			r.finish(true)
			return
		}
		r.advance(&nextTokenAt, tokenInterval)
	}
	r.finish(false)
}

// advance generates one token and all further ones that are due, and moves
// nextTokenAt to the time of the last one.
func (r *run) advance(nextTokenAt *time.Time, tokenInterval time.Duration) {
	now := time.Now()
	r.mu.Lock()
	r.generatedTokens++
	for r.generatedTokens < r.totalTokens && !nextTokenAt.Add(tokenInterval).After(now) {
		r.generatedTokens++
		*nextTokenAt = nextTokenAt.Add(tokenInterval)
	}
	generated := r.generatedTokens
	r.notifyReaders()
	r.mu.Unlock()
	r.recorder.RecordProgress(now, float64(generated))
}

func (r *run) finish(cancelled bool) {
	r.mu.Lock()
	r.ended = true
	r.cancelled = cancelled
	generated := r.generatedTokens
	r.notifyReaders()
	r.mu.Unlock()
	outcome := standin.RunCompleted
	if cancelled {
		outcome = standin.RunCancelled
	}
	r.recorder.RecordEnd(time.Now(), outcome, float64(generated))
}

// notifyReaders wakes the readers that wait for a change. The caller holds r.mu.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) generatedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generatedTokens
}

// runSnapshot is the state of a run at one time; changed is closed at the next
// change.
type runSnapshot struct {
	generatedTokens int
	ended           bool
	cancelled       bool
	changed         <-chan struct{}
}

func (r *run) snapshot() runSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runSnapshot{generatedTokens: r.generatedTokens, ended: r.ended, cancelled: r.cancelled, changed: r.changed}
}

// addReader counts one more reader of the run and stops the timer that would
// cancel it.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.noReaderTimer != nil {
		r.noReaderTimer.Stop()
	}
}

// removeReader counts one reader less. A run that has no reader for the window is
// cancelled.
func (r *run) removeReader(window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && !r.ended {
		r.noReaderTimer = time.AfterFunc(window, r.cancelIfNoReader)
	}
}

func (r *run) cancelIfNoReader() {
	r.mu.Lock()
	noReader := r.readers == 0
	r.mu.Unlock()
	if noReader {
		r.cancel()
	}
}

// removeAfterResumeWindow makes the run impossible to resume once the resume window
// has passed.
func (e *Engine) removeAfterResumeWindow(r *run) {
	time.AfterFunc(e.config.ResumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	})
}
