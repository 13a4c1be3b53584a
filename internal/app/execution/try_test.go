package execution

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// immediateBroker is a fakeBroker that also grants slots without waiting, if it has any.
type immediateBroker struct {
	*fakeBroker
	hasSlots bool
}

func (b *immediateBroker) TryAcquire(call *ports.Call) (ports.Slot, bool) {
	if !b.hasSlots {
		return nil, false
	}
	slot, err := b.Acquire(context.Background(), call)
	return slot, err == nil
}

func (b *immediateBroker) hasReleasedAll() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acquired == b.released
}

// scriptedRun is what a backend server does with a call.
type scriptedRun func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) ports.RunResult

// scriptedBackend runs its scripts in order.
type scriptedBackend struct {
	ports.Backend
	mu   sync.Mutex
	runs []scriptedRun
	sent int
}

func (b *scriptedBackend) Run(
	ctx context.Context, call *ports.Call, _ ports.VM, sink ports.AnswerSink, _ func(ports.Cost),
) ports.RunResult {
	b.mu.Lock()
	run := b.runs[b.sent]
	b.sent++
	b.mu.Unlock()
	return run(ctx, call, sink)
}

// answerText writes the text as the whole answer.
func answerText(sink ports.AnswerSink, text string) ports.RunResult {
	if sink.Begin(200, nil) != nil || sink.Write([]byte(text)) != nil {
		return runResult(outcome.Ran, outcome.ReasonCallerGone)
	}
	return ports.RunResult{End: outcome.Ran}
}

// silentUntil is the script of a run that is silent until the channel is closed and then
// answers.
func silentUntil(goesOn <-chan struct{}) scriptedRun {
	return func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) ports.RunResult {
		call.Supervisor.RecordSilence(time.Second)
		select {
		case <-goesOn:
			return answerText(sink, "first")
		case <-ctx.Done():
			if !errors.Is(context.Cause(ctx), ports.ErrRunReplaced) {
				return runResult(outcome.Unknown, outcome.ReasonInternal)
			}
			return runResult(outcome.Unknown, outcome.ReasonCallerGone)
		}
	}
}

// executeScripts executes a repeatable call with a retry budget of the given number. It
// returns the result, the answer and the number of runs, when all slots are released.
func executeScripts(t *testing.T, hasSlots bool, retries int, runs ...scriptedRun) (outcome.Result, string, int) {
	t.Helper()
	broker := &immediateBroker{fakeBroker: &fakeBroker{}, hasSlots: hasSlots}
	backend := &scriptedBackend{runs: runs}
	executor := NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
		RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: retries} },
	})
	sink := new(fakeSink)
	result := executor.Execute(context.Background(), newCall("r1", true), sink)
	for deadline := time.Now().Add(10 * time.Second); !broker.hasReleasedAll(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d slots acquired, %d released", broker.acquired, broker.released)
		}
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return result, string(sink.body), backend.sent
}

// A silent run goes on until the server of another try has accepted the call. Exactly one
// of the two is relayed, and no slot is lost.
func TestSilentRunGoesOnUntilReplacementIsAccepted(t *testing.T) {
	cases := map[string]struct {
		hasSlots bool
		retries  int
		// replacement ends or answers; it closes goesOn to let the first run answer.
		replacement func(goesOn chan struct{}) scriptedRun
		answer      string
		runs        int
	}{
		"no other server": {false, 1, nil, "first", 1},
		"no budget":       {true, 0, nil, "first", 1},
		"accepted": {true, 1, func(chan struct{}) scriptedRun {
			return func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
				return answerText(sink, "second")
			}
		}, "second", 2},
		"declined": {true, 1, func(goesOn chan struct{}) scriptedRun {
			return func(context.Context, *ports.Call, ports.AnswerSink) ports.RunResult {
				close(goesOn)
				return runResult(outcome.NotRun, outcome.ReasonServerOverloaded)
			}
		}, "first", 2},
		"answered too late": {true, 1, func(goesOn chan struct{}) scriptedRun {
			return func(ctx context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
				close(goesOn)
				<-ctx.Done()
				return answerText(sink, "second")
			}
		}, "first", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			goesOn := make(chan struct{})
			scripts := []scriptedRun{silentUntil(goesOn)}
			if c.replacement == nil {
				close(goesOn)
			} else {
				scripts = append(scripts, c.replacement(goesOn))
			}
			result, answer, runs := executeScripts(t, c.hasSlots, c.retries, scripts...)
			if result.Refusal != nil || answer != c.answer || runs != c.runs {
				t.Errorf("got %+v, answer %q, %d runs", result, answer, runs)
			}
		})
	}
}

// A run that breaks while its replacement is on the way is continued by the replacement,
// which was charged already.
func TestReplacementContinuesForBrokenRun(t *testing.T) {
	sent := make(chan struct{})
	result, answer, runs := executeScripts(t, true, 1,
		func(_ context.Context, call *ports.Call, _ ports.AnswerSink) ports.RunResult {
			call.Supervisor.RecordSilence(time.Second)
			<-sent
			return runResult(outcome.Unknown, outcome.ReasonConnectionBroken)
		},
		func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
			close(sent)
			return answerText(sink, "second")
		})
	if result.Refusal != nil || answer != "second" || runs != 2 {
		t.Errorf("got %+v, answer %q, %d runs", result, answer, runs)
	}
}

// A replacement on a server that accepts no connection sends nothing. The retry budget is
// left for the next one.
func TestUnsentReplacementIsNotCharged(t *testing.T) {
	goesOn := make(chan struct{})
	result, answer, runs := executeScripts(t, true, 1,
		func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) ports.RunResult {
			for ctx.Err() == nil {
				call.Supervisor.RecordSilence(time.Second)
				time.Sleep(time.Millisecond)
			}
			return runResult(outcome.Unknown, outcome.ReasonCallerGone)
		},
		func(context.Context, *ports.Call, ports.AnswerSink) ports.RunResult {
			return runResult(outcome.NotRun, outcome.ReasonServerUnreachable)
		},
		func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
			close(goesOn)
			return answerText(sink, "third")
		})
	if result.Refusal != nil || answer != "third" || runs != 3 {
		t.Errorf("got %+v, answer %q, %d runs", result, answer, runs)
	}
}

// A call that may run only once is never sent to a second server, however long it is silent.
func TestSilentCallThatRunsOnceIsNotReplaced(t *testing.T) {
	backend := &scriptedBackend{}
	backend.runs = []scriptedRun{func(_ context.Context, call *ports.Call, sink ports.AnswerSink) ports.RunResult {
		call.Supervisor.RecordSilence(time.Minute)
		return answerText(sink, "first")
	}}
	broker := &immediateBroker{fakeBroker: &fakeBroker{}, hasSlots: true}
	executor := NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
		RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: 9} },
	})
	executor.Execute(context.Background(), newCall("r1", false), new(fakeSink))
	if broker.acquired != 1 || backend.sent != 1 {
		t.Errorf("%d slots, %d runs", broker.acquired, backend.sent)
	}
}

// A replacement that is dropped before it was sent leaves its budget to the next call.
func TestDroppedUnsentReplacementIsNotCharged(t *testing.T) {
	goesOn := make(chan struct{})
	broker := &immediateBroker{fakeBroker: &fakeBroker{}, hasSlots: true}
	backend := &scriptedBackend{runs: []scriptedRun{
		silentUntil(goesOn),
		func(ctx context.Context, _ *ports.Call, _ ports.AnswerSink) ports.RunResult {
			close(goesOn)
			<-ctx.Done()
			return runResult(outcome.NotRun, outcome.ReasonCallerGone)
		},
		func(context.Context, *ports.Call, ports.AnswerSink) ports.RunResult {
			return runResult(outcome.Unknown, outcome.ReasonConnectionBroken)
		},
		func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
			return answerText(sink, "again")
		},
	}}
	executor := NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
		RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: 1} },
	})
	executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	for deadline := time.Now().Add(10 * time.Second); !broker.hasReleasedAll() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if result := executor.Execute(context.Background(), newCall("r2", true), new(fakeSink)); result.Refusal != nil {
		t.Errorf("the only retry was charged to a run that ended: %v", result.Refusal)
	}
}

// A replacement for which there is no slot is not charged to the retry budget.
func TestUnbegunReplacementIsNotCharged(t *testing.T) {
	broker := &immediateBroker{fakeBroker: &fakeBroker{}}
	backend := &fakeBackend{}
	backend.onRun = func(_ context.Context, call *ports.Call) { call.Supervisor.RecordSilence(time.Second) }
	executor := NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
		RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: 1} },
	})
	executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	backend.onRun = nil
	backend.results = []ports.RunResult{runResult(outcome.Unknown, outcome.ReasonConnectionBroken)}
	if result := executor.Execute(context.Background(), newCall("r2", true), new(fakeSink)); result.Refusal != nil {
		t.Errorf("the only retry was charged without a slot: %v", result.Refusal)
	}
}

// A fault of the program in one run must not end the process, lose the run's slot, or tell
// the caller that nothing ran. Beside a silent run, it leaves that run where it is.
func TestPanicOfRunIsContained(t *testing.T) {
	panics := func(context.Context, *ports.Call, ports.AnswerSink) ports.RunResult { panic("fault") }
	result, _, _ := executeScripts(t, true, 1, panics)
	if result.Refusal == nil || result.Refusal.Reason != outcome.ReasonInternal || result.End != outcome.Unknown {
		t.Errorf("ended with %+v", result)
	}
	goesOn := make(chan struct{})
	result, answer, _ := executeScripts(t, true, 1, silentUntil(goesOn),
		func(context.Context, *ports.Call, ports.AnswerSink) ports.RunResult {
			close(goesOn)
			panic("fault")
		})
	if result.Refusal != nil || answer != "first" {
		t.Errorf("got %+v, answer %q", result, answer)
	}
}

// An error answer was written behind the beginning of a stream.
func TestBegunAnswerIsNotBegunAgain(t *testing.T) {
	_, body, _ := executeScripts(t, false, 0, func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
		result := answerText(sink, "first")
		var begun *AnswerBegunError
		if err := sink.Begin(409, nil); !errors.As(err, &begun) {
			t.Errorf("the answer began again: %v", err)
		}
		return result
	})
	if body != "first" {
		t.Errorf("got %q", body)
	}
}

// The silence of a run was noticed while its answer came. Its replacement was accepted before
// the run wrote, which lost the event, or closed the caller's connection without a byte.
func TestRunWhoseAnswerComesIsNotReplaced(t *testing.T) {
	result, answer, runs := executeScripts(t, true, 1,
		func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) ports.RunResult {
			if err := call.Supervisor.RecordEvent(1); err != nil {
				t.Error(err)
			}
			call.Supervisor.RecordSilence(time.Second)
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			return answerText(sink, "first")
		},
		func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) ports.RunResult {
			return answerText(sink, "second")
		})
	if result.Refusal != nil || answer != "first" || runs != 1 {
		t.Errorf("got %+v, answer %q, %d runs", result, answer, runs)
	}
}
