package engine

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/pause"
	"hawthornstream/testbench/standin"
)

// tick is the least time between two rounds of a run's token generation.
const tick = 4 * time.Millisecond

// run is one request that the engine carries out.
type run struct {
	id        string
	operation string
	total     int
	entry     *standin.RunRecorder
	cancel    context.CancelFunc

	mu        sync.Mutex
	generated int
	ended     bool
	cancelled bool
	changed   chan struct{}
	readers   int
	unread    *time.Timer
}

// begin takes a request on and runs it in the background.
func (e *Engine) begin(request request) *run {
	ctx, cancel := context.WithCancel(e.ctx)
	begun := &run{
		id:        request.id,
		operation: request.Metadata.Operation,
		total:     request.tokens(),
		entry:     e.config.Log.RecordArrival(request.record(e.config)),
		cancel:    cancel,
		changed:   make(chan struct{}),
	}
	e.mu.Lock()
	e.runs[begun.id] = begun
	e.mu.Unlock()
	go e.generate(ctx, begun)
	return begun
}

func (e *Engine) generate(ctx context.Context, r *run) {
	defer e.forgetLater(r)
	defer r.cancel()
	if err := e.places.Acquire(ctx); err != nil {
		r.finish(true)
		return
	}
	defer e.places.Release()
	r.entry.RecordStart(time.Now())
	if !pause.For(ctx, e.config.FirstTokenAfter) {
		r.finish(true)
		return
	}
	due := time.Now()
	for r.count() < r.total {
		step := time.Duration(float64(time.Second) / e.tokenRate())
		if r.count() > 0 {
			due = due.Add(step)
		}
		if wait := time.Until(due); wait > 0 && !pause.For(ctx, max(wait, tick)) {
			r.finish(true)
			return
		}
		r.advance(&due, step)
	}
	r.finish(false)
}

// advance generates the tokens that are due and moves due to the last one.
func (r *run) advance(due *time.Time, step time.Duration) {
	now := time.Now()
	r.mu.Lock()
	r.generated++
	for r.generated < r.total && !due.Add(step).After(now) {
		r.generated++
		*due = due.Add(step)
	}
	generated := r.generated
	r.notify()
	r.mu.Unlock()
	r.entry.RecordProgress(now, float64(generated))
}

func (r *run) finish(cancelled bool) {
	r.mu.Lock()
	r.ended = true
	r.cancelled = cancelled
	generated := r.generated
	r.notify()
	r.mu.Unlock()
	end := standin.RunCompleted
	if cancelled {
		end = standin.RunCancelled
	}
	r.entry.RecordEnd(time.Now(), end, float64(generated))
}

// notify wakes the readers. The caller holds the lock.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated
}

// state is what a reader sees of a run at one time.
type state struct {
	generated int
	ended     bool
	cancelled bool
	changed   <-chan struct{}
}

func (r *run) state() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state{generated: r.generated, ended: r.ended, cancelled: r.cancelled, changed: r.changed}
}

// attach counts a reader in.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.unread != nil {
		r.unread.Stop()
	}
}

// detach counts a reader out. The run is cancelled when it has had none for the
// window.
func (r *run) detach(window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && !r.ended {
		r.unread = time.AfterFunc(window, r.cancelUnread)
	}
}

func (r *run) cancelUnread() {
	r.mu.Lock()
	unread := r.readers == 0
	r.mu.Unlock()
	if unread {
		r.cancel()
	}
}

func (e *Engine) forgetLater(r *run) {
	time.AfterFunc(e.config.ResumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	})
}
