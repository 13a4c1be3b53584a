package dispatch

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// surroundings are one daemon with one engine.
type surroundings struct {
	configuration *ports.Configuration
}

func (s *surroundings) Self() ports.VM                             { return ports.VM{Name: "d1", Domain: "z1"} }
func (s *surroundings) Incarnation() ports.Incarnation             { return 1 }
func (s *surroundings) Daemons() []ports.VM                        { return []ports.VM{s.Self()} }
func (s *surroundings) Shards(ports.ServiceName) []ports.ShardView { return nil }
func (s *surroundings) KeyOwner(string) ports.DaemonID             { return "d1" }
func (s *surroundings) Send(ports.DaemonID, ports.Message)         {}
func (s *surroundings) OnSession(func(ports.DaemonID, bool))       {}
func (s *surroundings) Current() *ports.Configuration              { return s.configuration }
func (s *surroundings) Handle(ports.MessageKind, func() ports.Message, func(ports.DaemonID, ports.Message)) {
}

func (s *surroundings) Servers(ports.ServiceName) []ports.VM {
	return []ports.VM{{Name: "e1", Service: "llm", Domain: "z1", Slots: 1}}
}

// asDirectory and asSource part the two ports that name a method alike.
type (
	asDirectory struct{ *surroundings }
	asSource    struct{ *surroundings }
)

func (asDirectory) OnChange(func())                  {}
func (asSource) OnChange(func(*ports.Configuration)) {}

func newManagerForTest(t *testing.T) *Manager {
	t.Helper()
	around := &surroundings{configuration: &ports.Configuration{Document: configuration.Document{
		Services: map[ports.ServiceName]configuration.Service{"llm": {Kind: configuration.ServiceKindEngine}},
		Limits:   configuration.Limits{TokensPerSecond: 10_000},
	}}}
	m := NewManager(Params{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope,
		Directory: asDirectory{around}, Transport: around, Configuration: asSource{around},
	})
	m.refresh()
	return m
}

// target leaves the tests time to look at a waiting call: it waits an eighth.
const target = 4 * time.Second

func newEngineCall(workspace ports.WorkspaceID) *ports.Call {
	now := time.Now()
	return &ports.Call{
		ID: "r1", Workspace: workspace, Service: "llm", Kind: configuration.ServiceKindEngine,
		Arrived: now, FirstTokenBy: now.Add(target), Deadline: now.Add(4 * target),
		Prompt: &ports.Prompt{InputTokens: 1000, OutputTokens: 40, Parts: []ports.PromptPart{{Tokens: 1000}}},
	}
}

func refusalOf(t *testing.T, err error) *outcome.Refusal {
	t.Helper()
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || refusal.End != outcome.NotRun {
		t.Fatalf("got %v", err)
	}
	return refusal
}

// fill takes the engine's only slot.
func fill(t *testing.T, m *Manager) ports.Slot {
	t.Helper()
	taken, err := m.Acquire(context.Background(), newEngineCall("w0"))
	if err != nil {
		t.Fatal(err)
	}
	return taken
}

func waiting(m *Manager) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

// Load pattern: all slots are taken. A call waits a small part of its target and
// is then refused, with the time to come back.
func TestCallThatFindsNoRoomWaitsAndIsRefused(t *testing.T) {
	m := newManagerForTest(t)
	fill(t, m)
	call := newEngineCall("w1")
	began := time.Now()
	_, err := m.Acquire(context.Background(), call)
	refusal := refusalOf(t, err)
	work := core.WorkOf(call)
	if took := time.Since(began); took < core.Patience(&work) || took > target/2 {
		t.Errorf("refused after %s", took)
	}
	if refusal.Reason != outcome.ReasonQueueFull || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", refusal)
	}
	if waiting(m) != 0 {
		t.Error("the refused call still waits")
	}
}

func TestWaitingCallGetsTheRoomThatComes(t *testing.T) {
	m := newManagerForTest(t)
	taken := fill(t, m)
	got := make(chan error, 1)
	go func() {
		slot, err := m.Acquire(context.Background(), newEngineCall("w1"))
		if err == nil {
			slot.Release(ports.RunReport{})
		}
		got <- err
	}()
	for waiting(m) == 0 {
		time.Sleep(time.Millisecond)
	}
	taken.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
	if err := <-got; err != nil {
		t.Errorf("refused although a slot came free: %v", err)
	}
}

func TestWaitEndsWithTheCallerOrTheDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(m *Manager, hangUp func())
		reason outcome.Reason
	}{
		"caller": {func(_ *Manager, hangUp func()) { hangUp() }, outcome.ReasonCallerGone},
		"daemon": {func(m *Manager, _ func()) { m.Stop() }, outcome.ReasonStopping},
	} {
		m := newManagerForTest(t)
		fill(t, m)
		ctx, hangUp := context.WithCancel(context.Background())
		got := make(chan error, 1)
		go func() {
			_, err := m.Acquire(ctx, newEngineCall("w1"))
			got <- err
		}()
		for waiting(m) == 0 {
			time.Sleep(time.Millisecond)
		}
		c.end(m, hangUp)
		if refusal := refusalOf(t, <-got); refusal.Reason != c.reason {
			t.Errorf("%s: got %+v", name, refusal)
		}
		hangUp()
	}
}

// Load pattern: one workspace asks many times its share. Its calls don't wait for
// the room that others will need, while those of one little above its share do.
func TestOnlyThoseFarAboveTheirShareDoNotWait(t *testing.T) {
	m := newManagerForTest(t)
	fill(t, m)
	rates := map[ports.WorkspaceID]core.Rates{
		"little": {Asked: 40_000, Granted: 7_500}, "far": {Asked: 90_000, Granted: 40_000},
	}
	m.shares.SetPeer(time.Now(), core.Source{Daemon: "d2"}, rates)
	for workspace, wait := range map[ports.WorkspaceID]bool{"little": true, "far": false} {
		began := time.Now()
		_, err := m.Acquire(context.Background(), newEngineCall(workspace))
		refusalOf(t, err)
		if waited := time.Since(began) > target/16; waited != wait {
			t.Errorf("%s: waited %s", workspace, time.Since(began))
		}
	}
}

// Load pattern: a daemon turns most calls of a workspace away before it knows whose
// they are. Those that it lets in stand for the others in what the workspace asks.
func TestCallsStandForThoseThatWereTurnedAway(t *testing.T) {
	m := newManagerForTest(t)
	call := newEngineCall("w1")
	call.DemandWeight = 10
	if _, err := m.Acquire(context.Background(), call); err != nil {
		t.Fatal(err)
	}
	rates := m.shares.OwnRates(time.Now())["w1"]
	if rates.Asked < 9*rates.Granted {
		t.Errorf("asked %.0f and got %.0f", rates.Asked, rates.Granted)
	}
}

// Load pattern: servers are idle, but another workspace that asks for more than its
// share gets so little that what a flood gets is no longer fair.
func TestFloodIsTurnedAwayByIdleServersWhileAnotherIsHungry(t *testing.T) {
	m := newManagerForTest(t)
	m.shares.SetPeer(time.Now(), core.Source{Daemon: "d2"}, map[ports.WorkspaceID]core.Rates{
		"hungry": {Asked: 40_000, Granted: 9_000}, "far": {Asked: 90_000, Granted: 40_000},
	})
	_, err := m.Acquire(context.Background(), newEngineCall("far"))
	if refusal := refusalOf(t, err); refusal.Reason != outcome.ReasonFairShareExceeded {
		t.Errorf("got %+v", refusal)
	}
	if _, err := m.Acquire(context.Background(), newEngineCall("hungry")); err != nil {
		t.Errorf("the hungry workspace got %v", err)
	}
}
