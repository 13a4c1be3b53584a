package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/app/idempotency"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// fakeKeys gives its verdict to each key until an attempt with the key has run, and
// returns how that attempt ended from then on.
type fakeKeys struct {
	mu       sync.Mutex
	verdict  core.Verdict
	finished map[string]idempotency.BeginResult
}

func newFakeKeys() *fakeKeys {
	return &fakeKeys{verdict: core.Granted, finished: make(map[string]idempotency.BeginResult)}
}

func (k *fakeKeys) Begin(_ context.Context, call *ports.Call) idempotency.BeginResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	if earlier, ok := k.finished[call.IdempotencyKey]; ok {
		return earlier
	}
	return idempotency.BeginResult{Attempt: core.AttemptID(call.IdempotencyKey), Verdict: k.verdict}
}

func (k *fakeKeys) Finish(began *idempotency.BeginResult, end outcome.RunState, reason outcome.Reason, answer *core.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if end != outcome.NotRun {
		k.finished[string(began.Attempt)] = idempotency.BeginResult{
			Verdict: core.AlreadyEnded, End: end, Reason: reason, Answer: answer,
		}
	}
}

// keyedCall returns a call with an idempotency key, the same for all calls.
func keyedCall(id string) *ports.Call {
	call := newCall(id, false)
	call.IdempotencyKey = "k"
	return call
}

func TestRecordedAnswerIsReplayedToNextAttempt(t *testing.T) {
	backend := &fakeBackend{}
	executor := newTestExecutor(backend, &fakeBroker{})
	executor.Execute(context.Background(), keyedCall("r1"), new(fakeSink))
	out := new(fakeSink)
	result := executor.Execute(context.Background(), keyedCall("r2"), out)
	if result.End != outcome.Ran || string(out.body) != "answer" || backend.runs() != 1 {
		t.Errorf("got %+v, %q, %d runs", result, out.body, backend.runs())
	}
}

func TestLargeAnswerIsNotRecorded(t *testing.T) {
	executor := newTestExecutor(&fakeBackend{}, &fakeBroker{})
	executor.maxAnswerBytes = 3
	executor.Execute(context.Background(), keyedCall("r1"), new(fakeSink))
	result := executor.Execute(context.Background(), keyedCall("r2"), new(fakeSink))
	if result.End != outcome.Ran || reasonOf(result) != outcome.ReasonAnswerTooLarge {
		t.Errorf("got %+v", result)
	}
}

func TestUnknownRunStateOfKeyIsReplayed(t *testing.T) {
	backend := &fakeBackend{results: []ports.RunResult{runResult(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	executor := newTestExecutor(backend, &fakeBroker{})
	executor.Execute(context.Background(), keyedCall("r1"), new(fakeSink))
	result := executor.Execute(context.Background(), keyedCall("r2"), new(fakeSink))
	if result.End != outcome.Unknown || reasonOf(result) != outcome.ReasonOutcomeUnknown || backend.runs() != 1 {
		t.Errorf("got %+v", result)
	}
}

func TestKeyOfCallThatDidNotRunIsGrantedAgain(t *testing.T) {
	broker := &fakeBroker{refusal: &outcome.Refusal{Reason: outcome.ReasonQueueFull, End: outcome.NotRun}}
	backend := &fakeBackend{}
	executor := newTestExecutor(backend, broker)
	if result := executor.Execute(context.Background(), keyedCall("r1"), new(fakeSink)); result.End != outcome.NotRun {
		t.Fatalf("got %+v", result)
	}
	broker.refusal = nil
	if result := executor.Execute(context.Background(), keyedCall("r2"), new(fakeSink)); result.End != outcome.Ran {
		t.Errorf("got %+v", result)
	}
}

func TestCallRunsOnlyWhenItsKeyIsGranted(t *testing.T) {
	cases := map[core.Verdict]struct {
		reason outcome.Reason
		end    outcome.RunState
	}{
		core.InProgress: {outcome.ReasonIdempotencyInProgress, outcome.Unknown},
		core.KeyReused:  {outcome.ReasonIdempotencyKeyReused, outcome.NotRun},
		core.RangeFull:  {outcome.ReasonIdempotencyUnavailable, outcome.NotRun},
		0:               {outcome.ReasonIdempotencyUnavailable, outcome.NotRun},
	}
	for verdict, want := range cases {
		backend := &fakeBackend{}
		executor := newTestExecutor(backend, &fakeBroker{})
		executor.keys.(*fakeKeys).verdict = verdict
		result := executor.Execute(context.Background(), keyedCall("r1"), new(fakeSink))
		if reasonOf(result) != want.reason || result.End != want.end || backend.runs() != 0 {
			t.Errorf("verdict %d: got %+v", verdict, result)
		}
	}
}

// The answer of a call with an idempotency key is recorded even if the caller hangs up.
func TestHangUpDoesNotCancelRunWithKey(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	backend := &fakeBackend{onRun: func(runCtx context.Context, _ *ports.Call) {
		cancel()
		if runCtx.Err() != nil {
			t.Error("the run was cancelled")
		}
	}}
	executor := newTestExecutor(backend, &fakeBroker{})
	executor.Execute(ctx, keyedCall("r1"), new(fakeSink))
	out := new(fakeSink)
	executor.Execute(context.Background(), keyedCall("r2"), out)
	if string(out.body) != "answer" || backend.runs() != 1 {
		t.Errorf("got %q after %d runs", out.body, backend.runs())
	}
}

// A run with an idempotency key outlasted the stop that cut its call off, so that the caller got
// no answer before the connection was closed.
func TestRunWithKeyEndsWhenItsCallIsRefused(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	broken := runResult(outcome.Unknown, outcome.ReasonCallerGone)
	backend := &fakeBackend{results: []ports.RunResult{broken}, onRun: func(runCtx context.Context, _ *ports.Call) {
		cancel(&outcome.Refusal{Reason: outcome.ReasonCutByStop})
		select {
		case <-runCtx.Done():
		case <-time.After(time.Second):
			t.Error("the run goes on")
		}
	}}
	executor := newTestExecutor(backend, &fakeBroker{})
	result := executor.Execute(ctx, keyedCall("r1"), new(fakeSink))
	if result.End != outcome.Unknown || reasonOf(result) != outcome.ReasonCutByStop {
		t.Errorf("got %+v", result)
	}
	// The next attempt must not run the call again.
	executor.Execute(context.Background(), keyedCall("r2"), new(fakeSink))
	if backend.runs() != 1 {
		t.Errorf("%d runs", backend.runs())
	}
}
