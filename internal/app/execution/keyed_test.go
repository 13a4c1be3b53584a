package execution

import (
	"context"
	"sync"
	"testing"

	"hawthornstream/internal/app/idempotency"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// fakeKeys grants each key once and keeps how its attempt ended.
type fakeKeys struct {
	mu      sync.Mutex
	verdict core.Verdict
	ended   map[string]idempotency.BeginResult
}

func newFakeKeys() *fakeKeys {
	return &fakeKeys{verdict: core.Granted, ended: make(map[string]idempotency.BeginResult)}
}

func (k *fakeKeys) Begin(_ context.Context, call *ports.Call) idempotency.BeginResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	if earlier, ok := k.ended[call.IdempotencyKey]; ok {
		return earlier
	}
	return idempotency.BeginResult{Attempt: core.AttemptID(call.IdempotencyKey), Verdict: k.verdict}
}

func (k *fakeKeys) Finish(began *idempotency.BeginResult, end outcome.End, reason outcome.Reason, answer *core.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if end != outcome.NotRun {
		k.ended[string(began.Attempt)] = idempotency.BeginResult{
			Verdict: core.AlreadyEnded, End: end, Reason: reason, Answer: answer,
		}
	}
}

func keyedCall(id string) *ports.Call {
	call := newCall(id, false)
	call.IdempotencyKey = "k"
	return call
}

func TestAnswerIsReplayedToTheRetry(t *testing.T) {
	backend := &fakeBackend{}
	m := newTestManager(backend, &fakeBroker{})
	m.Execute(context.Background(), keyedCall("r1"), new(sink))
	out := new(sink)
	result := m.Execute(context.Background(), keyedCall("r2"), out)
	if result.End != outcome.Ran || string(out.body) != "answer" || backend.runs() != 1 {
		t.Errorf("got %+v, %q, %d runs", result, out.body, backend.runs())
	}
}

func TestLargeAnswerIsNotHeld(t *testing.T) {
	m := newTestManager(&fakeBackend{}, &fakeBroker{})
	m.maxAnswer = 3
	m.Execute(context.Background(), keyedCall("r1"), new(sink))
	result := m.Execute(context.Background(), keyedCall("r2"), new(sink))
	if result.End != outcome.Ran || reasonOf(result) != outcome.ReasonAnswerTooLarge {
		t.Errorf("got %+v", result)
	}
}

func TestUnknownEndOfAKeyStaysUnknown(t *testing.T) {
	backend := &fakeBackend{ends: []ports.RunResult{ended(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	m := newTestManager(backend, &fakeBroker{})
	m.Execute(context.Background(), keyedCall("r1"), new(sink))
	result := m.Execute(context.Background(), keyedCall("r2"), new(sink))
	if result.End != outcome.Unknown || reasonOf(result) != outcome.ReasonOutcomeUnknown || backend.runs() != 1 {
		t.Errorf("got %+v", result)
	}
}

func TestKeyOfACallThatDidNotRunIsFree(t *testing.T) {
	broker := &fakeBroker{refuse: &outcome.Refusal{Reason: outcome.ReasonQueueFull, End: outcome.NotRun}}
	backend := &fakeBackend{}
	m := newTestManager(backend, broker)
	if result := m.Execute(context.Background(), keyedCall("r1"), new(sink)); result.End != outcome.NotRun {
		t.Fatalf("got %+v", result)
	}
	broker.refuse = nil
	if result := m.Execute(context.Background(), keyedCall("r2"), new(sink)); result.End != outcome.Ran {
		t.Errorf("got %+v", result)
	}
}

func TestCallRunsOnlyWhenItsKeyIsGranted(t *testing.T) {
	cases := map[core.Verdict]struct {
		reason outcome.Reason
		end    outcome.End
	}{
		core.InProgress: {outcome.ReasonIdempotencyInProgress, outcome.Unknown},
		core.KeyReused:  {outcome.ReasonIdempotencyKeyReused, outcome.NotRun},
		core.RangeFull:  {outcome.ReasonIdempotencyUnavailable, outcome.NotRun},
		0:               {outcome.ReasonIdempotencyUnavailable, outcome.NotRun},
	}
	for verdict, want := range cases {
		backend := &fakeBackend{}
		m := newTestManager(backend, &fakeBroker{})
		m.keys.(*fakeKeys).verdict = verdict
		result := m.Execute(context.Background(), keyedCall("r1"), new(sink))
		if reasonOf(result) != want.reason || result.End != want.end || backend.runs() != 0 {
			t.Errorf("verdict %d: got %+v", verdict, result)
		}
	}
}

// The record of a keyed call gets its answer also when the caller hangs up.
func TestHangUpDoesNotEndAKeyedRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	backend := &fakeBackend{gate: func(runCtx context.Context, _ *ports.Call) {
		cancel()
		if runCtx.Err() != nil {
			t.Error("the run was cancelled")
		}
	}}
	m := newTestManager(backend, &fakeBroker{})
	m.Execute(ctx, keyedCall("r1"), new(sink))
	out := new(sink)
	m.Execute(context.Background(), keyedCall("r2"), out)
	if string(out.body) != "answer" || backend.runs() != 1 {
		t.Errorf("got %q after %d runs", out.body, backend.runs())
	}
}
