package execution

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// fakeBackend ends its runs with the given results in order, and all later runs with
// an answer.
type fakeBackend struct {
	mu      sync.Mutex
	results []ports.RunResult
	sentIDs []ports.RequestID
	// beginsFailed makes failed runs begin the answer.
	beginsFailed bool
	// onRun is called in each run if it is not nil.
	onRun func(ctx context.Context, call *ports.Call)
}

func (b *fakeBackend) Run(
	ctx context.Context, call *ports.Call, _ ports.VM, sink ports.AnswerSink, _ func(ports.Cost),
) ports.RunResult {
	b.mu.Lock()
	b.sentIDs = append(b.sentIDs, call.ID)
	result := ports.RunResult{End: outcome.Ran}
	if len(b.results) > 0 {
		result = b.results[0]
		b.results = b.results[1:]
	}
	b.mu.Unlock()
	if b.onRun != nil {
		b.onRun(ctx, call)
	}
	if result.Reason != "" && b.beginsFailed {
		_ = sink.Begin(200, nil)
	}
	if result.Reason == "" {
		_ = sink.Begin(200, ports.Header{"Content-Type": {"text/plain"}})
		_ = sink.Write([]byte("answer"))
	}
	return result
}

func (b *fakeBackend) Load(context.Context, ports.VM) (ports.LoadReport, error) {
	return ports.LoadReport{}, nil
}

func (b *fakeBackend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sentIDs)
}

// fakeBroker grants slots at once. With a refusal, it grants only the first
// grantsBeforeRefusal slots.
type fakeBroker struct {
	mu                  sync.Mutex
	grantsBeforeRefusal int
	refusal             *outcome.Refusal
	acquired            int
	released            int
}

func (b *fakeBroker) Acquire(context.Context, *ports.Call) (ports.Slot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refusal != nil && b.acquired >= b.grantsBeforeRefusal {
		return nil, b.refusal
	}
	b.acquired++
	return &fakeSlot{broker: b}, nil
}

type fakeSlot struct {
	broker *fakeBroker
}

func (s *fakeSlot) Server() ports.VM { return ports.VM{Name: "b1"} }
func (s *fakeSlot) GrantDetails() ports.GrantDetails {
	return ports.GrantDetails{Granter: "daemon-1", Waited: time.Second, CallsAhead: 2, ContendingWorkspaces: 3}
}
func (s *fakeSlot) Progress(ports.Cost)  {}
func (s *fakeSlot) RecordUnlistedStart() {}

func (s *fakeSlot) Release(ports.RunReport) {
	s.broker.mu.Lock()
	defer s.broker.mu.Unlock()
	s.broker.released++
}

// fakeSink stores the answer that it receives.
type fakeSink struct {
	gone   bool
	status int
	body   []byte
}

func (s *fakeSink) Begin(status int, _ ports.Header) error {
	s.status = status
	return nil
}

func (s *fakeSink) Write(part []byte) error {
	s.body = append(s.body, part...)
	return nil
}

func (s *fakeSink) Begun() bool { return s.status != 0 }

func (s *fakeSink) CallerGone() bool { return s.gone }

func (s *fakeSink) Reserve(int64) bool { return true }

func (s *fakeSink) Unreserve(int64) {}

func discardLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

func newTestExecutor(backend *fakeBackend, broker *fakeBroker) *Executor {
	return NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
	})
}

func newCall(id string, repeatable bool) *ports.Call {
	now := time.Now()
	return &ports.Call{
		ID: ports.RequestID(id), Workspace: "w", Service: "s", Kind: configuration.ServiceKindPlain,
		Arrived: now, Deadline: now.Add(20 * time.Second), Repeatable: repeatable,
	}
}

func runResult(end outcome.RunState, reason outcome.Reason) ports.RunResult {
	return ports.RunResult{End: end, Reason: reason}
}

func TestCallsAreRetriedOnlyWhereSafe(t *testing.T) {
	broken := runResult(outcome.Unknown, outcome.ReasonConnectionBroken)
	unsent := runResult(outcome.NotRun, outcome.ReasonServerUnreachable)
	full := runResult(outcome.NotRun, outcome.ReasonServerOverloaded)
	cases := map[string]struct {
		repeatable bool
		results    []ports.RunResult
		runs       int
		end        outcome.RunState
		reason     outcome.Reason
	}{
		"repeatable":            {true, []ports.RunResult{broken}, 2, outcome.Ran, ""},
		"not repeatable":        {false, []ports.RunResult{broken}, 1, outcome.Unknown, outcome.ReasonConnectionBroken},
		"not repeatable unsent": {false, []ports.RunResult{unsent}, 2, outcome.Ran, ""},
		"not repeatable full":   {false, []ports.RunResult{full}, 1, outcome.NotRun, outcome.ReasonServerOverloaded},
		"unknown then unsent": {
			true, []ports.RunResult{broken, unsent, unsent, unsent, unsent}, 5,
			outcome.Unknown, outcome.ReasonServerUnreachable,
		},
		"never reached": {
			true, []ports.RunResult{unsent, unsent, unsent, unsent, unsent}, 5,
			outcome.NotRun, outcome.ReasonServerUnreachable,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend, broker := &fakeBackend{results: c.results}, &fakeBroker{}
			executor := newTestExecutor(backend, broker)
			result := executor.Execute(context.Background(), newCall("r1", c.repeatable), new(fakeSink))
			if result.End != c.end || reasonOf(result) != c.reason {
				t.Errorf("got %+v, %v", result.End, result.Refusal)
			}
			if got := backend.runs(); got != c.runs {
				t.Errorf("%d runs, want %d", got, c.runs)
			}
			if broker.acquired != broker.released {
				t.Errorf("%d slots acquired, %d released", broker.acquired, broker.released)
			}
		})
	}
}

func reasonOf(result outcome.Result) outcome.Reason {
	if result.Refusal == nil {
		return ""
	}
	return result.Refusal.Reason
}

// A stopping daemon gives calls up while they wait for a server, before or after a try.
func TestCallIsNotSentOnceItsGateIsClosed(t *testing.T) {
	broken := runResult(outcome.Unknown, outcome.ReasonConnectionBroken)
	for _, triesBefore := range []int{0, 1} {
		ctx, cancel := context.WithCancelCause(context.Background())
		call := newCall("r1", true)
		call.SendGate = new(ports.SendGate)
		giveUp := func() {
			if call.SendGate.Close() {
				cancel(&outcome.Refusal{Reason: outcome.ReasonStopping, End: outcome.NotRun, RetryAfter: time.Second})
			}
		}
		backend := &fakeBackend{results: []ports.RunResult{broken}, onRun: func(context.Context, *ports.Call) {
			giveUp()
			time.AfterFunc(10*time.Millisecond, giveUp)
			time.AfterFunc(200*time.Millisecond, giveUp)
		}}
		wantEnd := outcome.Unknown
		if triesBefore == 0 {
			giveUp()
			wantEnd = outcome.NotRun
		}
		result := newTestExecutor(backend, &fakeBroker{}).Execute(ctx, call, new(fakeSink))
		if result.End != wantEnd || reasonOf(result) != outcome.ReasonStopping || result.Refusal.End != wantEnd {
			t.Errorf("after %d tries: %v, %+v", triesBefore, result.End, result.Refusal)
		}
		if got := backend.runs(); got != triesBefore {
			t.Errorf("%d runs, want %d", got, triesBefore)
		}
		cancel(nil)
	}
}

func TestRetryHasItsOwnRequestID(t *testing.T) {
	backend := &fakeBackend{results: []ports.RunResult{runResult(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	executor := newTestExecutor(backend, &fakeBroker{})
	executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	if len(backend.sentIDs) != 2 || backend.sentIDs[0] != "r1" || backend.sentIDs[1] != "r1.2" {
		t.Errorf("sent request IDs %v, want r1 and r1.2", backend.sentIDs)
	}
}

// A refusal by the broker says NotRun, but an earlier try of the call may have run.
func TestRefusalAfterUnknownTryIsUnknown(t *testing.T) {
	backend := &fakeBackend{results: []ports.RunResult{runResult(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	broker := &fakeBroker{grantsBeforeRefusal: 1, refusal: &outcome.Refusal{Reason: outcome.ReasonQueueFull, End: outcome.NotRun}}
	executor := newTestExecutor(backend, broker)
	result := executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	if result.End != outcome.Unknown || result.Refusal.End != outcome.Unknown {
		t.Errorf("got %+v", result)
	}
	if broker.refusal.End != outcome.NotRun {
		t.Error("the broker's refusal was changed")
	}
}

func TestExplainReturnsTracesOfRecentCalls(t *testing.T) {
	executor := newTestExecutor(&fakeBackend{}, &fakeBroker{})
	for range 2 * maxTraces {
		executor.Execute(context.Background(), newCall("old", true), new(fakeSink))
	}
	executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	trace, ok := executor.Explain("r1")
	if !ok || len(trace.Events) < 3 || trace.Events[0].Name != "arrived" {
		t.Errorf("got %+v", trace)
	}
	want := "server=b1 granter=daemon-1 waited=1s ahead=2 contenders=3"
	if slot := trace.Events[1]; slot.Name != "slot" || slot.Detail != want {
		t.Errorf("slot event %+v, want %s", slot, want)
	}
	if len(executor.byCall) > maxTraces {
		t.Errorf("%d traces are kept", len(executor.byCall))
	}
	if _, ok := executor.Explain("r2"); ok {
		t.Error("Explain returned a trace of an unknown call")
	}
}

// An overloaded daemon reads requests whose callers have hung up before the context
// of the call is cancelled.
func TestCallWhoseCallerHungUpIsNotSent(t *testing.T) {
	backend, broker := &fakeBackend{}, &fakeBroker{}
	executor := newTestExecutor(backend, broker)
	result := executor.Execute(context.Background(), newCall("r1", true), &fakeSink{gone: true})
	if result.Refusal == nil || result.Refusal.Reason != outcome.ReasonCallerGone || result.End != outcome.NotRun {
		t.Errorf("ended with %+v", result)
	}
	if backend.runs() != 0 || broker.released != broker.acquired {
		t.Errorf("%d runs, %d of %d slots released", backend.runs(), broker.released, broker.acquired)
	}
}

// An answer that is cut must be told from a refusal in the log.
func TestCutAnswerIsLogged(t *testing.T) {
	var lines bytes.Buffer
	backend := &fakeBackend{results: []ports.RunResult{runResult(outcome.Ran, outcome.ReasonConnectionBroken)}, beginsFailed: true}
	executor := NewExecutor(Params{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, Scope: tally.NoopScope, Broker: &fakeBroker{},
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
	})
	executor.Execute(context.Background(), newCall("r1", false), new(fakeSink))
	for _, want := range []string{`"event":"call-given-up"`, `"cause":"not-allowed"`, `"cut":true`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the log lacks %s: %s", want, lines.String())
		}
	}
}
