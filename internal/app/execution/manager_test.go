package execution

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// fakeBackend ends runs as it is told, one after another.
type fakeBackend struct {
	mu   sync.Mutex
	ends []ports.RunResult
	sent []ports.RequestID
	gate func(ctx context.Context, call *ports.Call)
}

func (b *fakeBackend) Run(
	ctx context.Context, call *ports.Call, _ ports.VM, sink ports.AnswerSink, _ func(ports.Cost),
) ports.RunResult {
	b.mu.Lock()
	b.sent = append(b.sent, call.ID)
	result := ports.RunResult{End: outcome.Ran}
	if len(b.ends) > 0 {
		result = b.ends[0]
		b.ends = b.ends[1:]
	}
	b.mu.Unlock()
	if b.gate != nil {
		b.gate(ctx, call)
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
	return len(b.sent)
}

// fakeBroker grants slots at once, until it is told to refuse.
type fakeBroker struct {
	mu       sync.Mutex
	grants   int
	refuse   *outcome.Refusal
	taken    int
	released int
}

func (b *fakeBroker) Acquire(context.Context, *ports.Call) (ports.Slot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refuse != nil && b.taken >= b.grants {
		return nil, b.refuse
	}
	b.taken++
	return &fakeSlot{broker: b}, nil
}

type fakeSlot struct {
	broker *fakeBroker
}

func (s *fakeSlot) Server() ports.VM { return ports.VM{Name: "b1"} }
func (s *fakeSlot) GrantDetails() ports.GrantDetails {
	return ports.GrantDetails{Granter: "daemon-1", Waited: time.Second, CallsAhead: 2, ContendingWorkspaces: 3}
}
func (s *fakeSlot) Progress(ports.Cost) {}

func (s *fakeSlot) Release(ports.RunReport) {
	s.broker.mu.Lock()
	defer s.broker.mu.Unlock()
	s.broker.released++
}

// sink collects an answer.
type sink struct {
	gone   bool
	status int
	body   []byte
}

func (s *sink) Begin(status int, _ ports.Header) error {
	s.status = status
	return nil
}

func (s *sink) Write(part []byte) error {
	s.body = append(s.body, part...)
	return nil
}

func (s *sink) Begun() bool { return s.status != 0 }

func (s *sink) CallerGone() bool { return s.gone }

func quietLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

func newTestManager(backend *fakeBackend, broker *fakeBroker) *Manager {
	return NewManager(Params{
		Logger: quietLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswer: 1 << 10,
	})
}

func newCall(id string, repeatable bool) *ports.Call {
	now := time.Now()
	return &ports.Call{
		ID: ports.RequestID(id), Workspace: "w", Service: "s", Kind: configuration.ServiceKindPlain,
		Arrived: now, Deadline: now.Add(20 * time.Second), Repeatable: repeatable,
	}
}

func ended(end outcome.End, reason outcome.Reason) ports.RunResult {
	return ports.RunResult{End: end, Reason: reason}
}

func TestCallsAreSentAgainOnlyWhereSafe(t *testing.T) {
	broken := ended(outcome.Unknown, outcome.ReasonConnectionBroken)
	unsent := ended(outcome.NotRun, outcome.ReasonServerUnreachable)
	full := ended(outcome.NotRun, outcome.ReasonServerOverloaded)
	cases := map[string]struct {
		repeatable bool
		ends       []ports.RunResult
		sent       int
		end        outcome.End
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
			backend, broker := &fakeBackend{ends: c.ends}, &fakeBroker{}
			m := newTestManager(backend, broker)
			result := m.Execute(context.Background(), newCall("r1", c.repeatable), new(sink))
			if result.End != c.end || reasonOf(result) != c.reason {
				t.Errorf("got %+v, %v", result.End, result.Refusal)
			}
			if got := backend.runs(); got != c.sent {
				t.Errorf("%d tries, want %d", got, c.sent)
			}
			if broker.taken != broker.released {
				t.Errorf("%d slots taken, %d released", broker.taken, broker.released)
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

func TestARetryHasARequestIDOfItsOwn(t *testing.T) {
	backend := &fakeBackend{ends: []ports.RunResult{ended(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	m := newTestManager(backend, &fakeBroker{})
	m.Execute(context.Background(), newCall("r1", true), new(sink))
	if len(backend.sent) != 2 || backend.sent[0] != "r1" || backend.sent[1] != "r1.2" {
		t.Errorf("sent %v", backend.sent)
	}
}

func TestNoSlotAfterAnUnknownTryIsUnknown(t *testing.T) {
	backend := &fakeBackend{ends: []ports.RunResult{ended(outcome.Unknown, outcome.ReasonConnectionBroken)}}
	broker := &fakeBroker{grants: 1, refuse: &outcome.Refusal{Reason: outcome.ReasonQueueFull, End: outcome.NotRun}}
	m := newTestManager(backend, broker)
	result := m.Execute(context.Background(), newCall("r1", true), new(sink))
	if result.End != outcome.Unknown || result.Refusal.End != outcome.Unknown {
		t.Errorf("got %+v", result)
	}
	if broker.refuse.End != outcome.NotRun {
		t.Error("the broker's refusal was changed")
	}
}

func TestLivesOfRecentCallsAreExplained(t *testing.T) {
	m := newTestManager(&fakeBackend{}, &fakeBroker{})
	for range 2 * historyLength {
		m.Execute(context.Background(), newCall("old", true), new(sink))
	}
	m.Execute(context.Background(), newCall("r1", true), new(sink))
	life, ok := m.Explain("r1")
	if !ok || len(life.Events) < 3 || life.Events[0].Name != "arrived" {
		t.Errorf("got %+v", life)
	}
	want := "server=b1 granter=daemon-1 waited=1s ahead=2 contenders=3"
	if slot := life.Events[1]; slot.Name != "slot" || slot.Detail != want {
		t.Errorf("slot event %+v, want %s", slot, want)
	}
	if len(m.byCall) > historyLength {
		t.Errorf("%d lives are kept", len(m.byCall))
	}
	if _, ok := m.Explain("r2"); ok {
		t.Error("an unknown call is explained")
	}
}

// A daemon that is late with its work reads calls whose callers have hung up long
// ago, before the context knows.
func TestCallWhoseCallerHungUpIsNotSent(t *testing.T) {
	backend, broker := &fakeBackend{}, &fakeBroker{}
	manager := newTestManager(backend, broker)
	result := manager.Execute(context.Background(), newCall("r1", true), &sink{gone: true})
	if result.Refusal == nil || result.Refusal.Reason != outcome.ReasonCallerGone || result.End != outcome.NotRun {
		t.Errorf("ended with %+v", result)
	}
	if backend.runs() != 0 || broker.released != broker.taken {
		t.Errorf("%d runs, %d of %d slots released", backend.runs(), broker.released, broker.taken)
	}
}
