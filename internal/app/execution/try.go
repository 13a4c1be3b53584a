package execution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// errTryDropped ends a replacement whose call goes on without it.
var errTryDropped = errors.New("the run that was to be replaced goes on")

// try is one try of a call on one backend server. It implements ports.RunSupervisor.
type try struct {
	loop *retryLoop
	slot ports.Slot
	// call is the call as it is sent.
	call   *ports.Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// result gets the result of a replacement, which runs on its own goroutine; nil for
	// other tries. admitted is closed once the replacement may relay its answer.
	result   chan ports.RunResult
	admitted chan struct{}

	// accepted is true once the server of a replacement has accepted the call, and
	// replaced once a run has lost its place to another try. Both are guarded by the
	// loop's mutex.
	accepted, replaced bool
	// admittedAt is when the try was last allowed to relay a part of its answer. It is
	// guarded by the loop's mutex.
	admittedAt time.Time
}

// newTryLocked returns a try of the call on the slot's server. The caller holds the
// loop's mutex and sets ctx and cancel.
func (r *retryLoop) newTryLocked(slot ports.Slot) *try {
	call := r.callForTry()
	call.CacheHolder = slot.GrantDetails().CacheHolder
	t := &try{loop: r, slot: slot, call: call}
	call.Supervisor = t
	r.tries++
	r.sentTries++
	return t
}

// run runs the call on the server and returns the result.
func (t *try) run() ports.RunResult {
	r := t.loop
	result := t.runBackend()
	t.cancel(nil)
	result = r.settle(t, result)
	result.Report.Reason = result.Reason
	if t.result != nil && !maybeSent(result) {
		r.executor.budgets.cancelRetry(r.call.Service, time.Now())
	}
	t.slot.Release(result.Report)
	return result
}

// runBackend runs the call on the server. A panic ends the run as failed, so that its slot
// is released; replacements run on goroutines that nothing else would recover.
func (t *try) runBackend() (result ports.RunResult) {
	r := t.loop
	defer func() {
		if cause := recover(); cause != nil {
			r.executor.reporter.runPanicked(t.call, t.slot.Server(), cause)
			result = ports.RunResult{
				End: outcome.Unknown, Reason: outcome.ReasonInternal, Detail: "a fault of the daemon ended the run",
			}
		}
	}()
	return r.backend.Run(t.ctx, t.call, t.slot.Server(), &trySink{try: t}, t.slot.Progress)
}

// settle returns the result of a run, which is that of a silent connection if another try
// has taken its place.
func (r *retryLoop) settle(t *try, result ports.RunResult) ports.RunResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.replaced || result.Reason == "" {
		return result
	}
	result.Reason, result.Detail = outcome.ReasonConnectionSilent, "the answer made no progress and another try took its place"
	result.Report.Fault = ports.ServerFaultSilent
	result.RetryAfter, result.Failure = 0, nil
	return result
}

// RecordSilence implements ports.RunSupervisor. It begins another try beside the run if one
// is allowed, has a slot and the retry budget. A replacement that is itself silent before
// it was accepted makes way for the next one.
func (t *try) RecordSilence(silence time.Duration) {
	r := t.loop
	r.mu.Lock()
	defer r.mu.Unlock()
	isSilentRun := t == r.relaying && r.replacement == nil && !t.replaced
	isSilentReplacement := t == r.replacement && !t.accepted
	// A part of the answer that came while the silence was noticed is about to be relayed.
	endedSilence := time.Since(t.admittedAt) < silence/2
	if !isSilentRun && !isSilentReplacement || endedSilence || r.sink.CallerGone() {
		return
	}
	slot := r.acquireReplacementLocked(silence)
	if slot == nil {
		return
	}
	if isSilentReplacement {
		r.call.FailedServers = append(r.call.FailedServers, t.slot.Server().Name)
		t.replaced = true
		r.dropReplacementLocked(replacementSilent)
	}
	r.startReplacementLocked(slot)
}

// acquireReplacementLocked returns a slot for another try and charges the retry budget, or
// returns nil. The caller holds the mutex.
func (r *retryLoop) acquireReplacementLocked(silence time.Duration) ports.Slot {
	e, now := r.executor, time.Now()
	broker, ok := e.broker.(ports.ImmediateSlotBroker)
	if !ok {
		return nil
	}
	state := r.failedTry(ports.RunResult{}, r.begun || r.call.Stream)
	state.TimeLeft = r.call.Deadline.Sub(now)
	if !retry.MayReplaceSilent(state) || r.call.SendGate.IsClosed() {
		e.reporter.silentTryKept(r.call, silence, keptNotAllowed)
		return nil
	}
	if !e.budgets.allowRetry(r.call.Service, now) {
		e.reporter.silentTryKept(r.call, silence, keptBudget)
		return nil
	}
	slot, ok := broker.TryAcquire(r.callForReplacement())
	if !ok {
		e.budgets.cancelRetry(r.call.Service, now)
		e.reporter.silentTryKept(r.call, silence, keptNoSlot)
		return nil
	}
	return slot
}

// callForReplacement returns the call for a try beside those in progress, whose servers it
// must avoid.
func (r *retryLoop) callForReplacement() *ports.Call {
	call := *r.call
	call.FailedServers = append([]ports.VMName(nil), r.call.FailedServers...)
	for _, t := range []*try{r.relaying, r.replacement} {
		if t != nil {
			call.FailedServers = append(call.FailedServers, t.slot.Server().Name)
		}
	}
	if call.Stream {
		// The caller may have got an event of the silent run.
		call.SoftwareVersion = r.relaying.slot.Server().SoftwareVersion
	}
	return &call
}

// startReplacementLocked begins a try beside the silent run. The caller holds the mutex.
func (r *retryLoop) startReplacementLocked(slot ports.Slot) {
	t := r.newTryLocked(slot)
	t.result, t.admitted = make(chan ports.RunResult, 1), make(chan struct{})
	t.ctx, t.cancel = context.WithCancelCause(r.runCtx)
	r.replacement = t
	r.reportPlaced(t)
	go func() {
		result := t.run()
		r.endReplacement(t, result)
		t.result <- result
	}()
}

// endReplacement records the end of a replacement that was not admitted. The silent run
// goes on.
func (r *retryLoop) endReplacement(t *try, result ports.RunResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replacement != t {
		return
	}
	r.replacement = nil
	r.recordTryLocked(t, result)
	r.executor.reporter.replacementEnded(r.call, replacementFailed)
}

// dropReplacementLocked cancels the replacement, if there is one: it may have run. The
// caller holds the mutex.
func (r *retryLoop) dropReplacementLocked(end replacementEnd) {
	t := r.replacement
	if t == nil {
		return
	}
	r.replacement = nil
	r.end = retry.MergeRunStates(r.end, outcome.Unknown)
	r.executor.reporter.replacementEnded(r.call, end)
	if t.replaced {
		t.cancel(ports.ErrRunReplaced)
		return
	}
	t.cancel(errTryDropped)
}

// Accept implements ports.RunSupervisor. The server of a replacement takes the call over:
// the silent run is cancelled, and Accept returns when it has ended.
func (t *try) Accept() error {
	r := t.loop
	r.mu.Lock()
	if t != r.replacement {
		defer r.mu.Unlock()
		return r.admitLocked(t)
	}
	t.accepted = true
	r.relaying.replaced = true
	r.relaying.cancel(ports.ErrRunReplaced)
	r.mu.Unlock()
	select {
	case <-t.admitted:
		return nil
	case <-t.ctx.Done():
		return context.Cause(t.ctx)
	}
}

// admitLocked reports with an error that the try may not relay its answer. A run that makes
// progress needs no replacement. The caller holds the mutex.
func (r *retryLoop) admitLocked(t *try) error {
	switch {
	case t != r.relaying:
		return errTryDropped
	case t.replaced:
		return ports.ErrRunReplaced
	}
	t.admittedAt = time.Now()
	r.dropReplacementLocked(replacementUnneeded)
	return nil
}

// RecordUnlistedStart implements ports.RunSupervisor.
func (t *try) RecordUnlistedStart() {
	t.loop.mu.Lock()
	defer t.loop.mu.Unlock()
	t.slot.RecordUnlistedStart()
}

// RecordEvent implements ports.RunSupervisor.
func (t *try) RecordEvent(id int) error {
	r := t.loop
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.admitLocked(t); err != nil {
		return err
	}
	r.call.LastEventID = max(r.call.LastEventID, id)
	r.call.LastEventAt = t.admittedAt
	return nil
}

// trySink passes the answer of a try on to the caller, if the try may relay it.
type trySink struct {
	try *try
}

// AnswerBegunError reports that a try would begin the answer of a call whose caller has
// received the beginning of another one.
type AnswerBegunError struct{ Status int }

// Error implements error.
func (e *AnswerBegunError) Error() string {
	return fmt.Sprintf("an answer with status %d can't follow the beginning of another one", e.Status)
}

// Begin implements ports.AnswerSink. It fails with *AnswerBegunError if an earlier try has
// begun the answer.
func (s *trySink) Begin(status int, header ports.Header) error {
	if err := s.try.Accept(); err != nil {
		return err
	}
	r := s.try.loop
	r.mu.Lock()
	begun := r.begun
	r.begun = true
	r.mu.Unlock()
	if begun {
		return &AnswerBegunError{Status: status}
	}
	return r.sink.Begin(status, header)
}

// Write implements ports.AnswerSink.
func (s *trySink) Write(part []byte) error {
	if err := s.try.Accept(); err != nil {
		return err
	}
	return s.try.loop.sink.Write(part)
}

// Reserve implements ports.AnswerSink.
func (s *trySink) Reserve(bytes int64) bool {
	return s.try.loop.sink.Reserve(bytes)
}

// Unreserve implements ports.AnswerSink.
func (s *trySink) Unreserve(bytes int64) {
	s.try.loop.sink.Unreserve(bytes)
}

// Begun implements ports.AnswerSink.
func (s *trySink) Begun() bool {
	r := s.try.loop
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun
}

// CallerGone implements ports.AnswerSink.
func (s *trySink) CallerGone() bool {
	return s.try.loop.sink.CallerGone()
}
