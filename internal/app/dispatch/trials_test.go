package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/ports"
)

// newQuarantineManager returns a manager with the given servers that has quarantined the
// shared part of newQuarantinedCall after ends some time ago.
func newQuarantineManager(t *testing.T, sinceLastEnd time.Duration, servers ...ports.VM) (*Manager, tally.TestScope) {
	t.Helper()
	m := newTestManager(t, servers...)
	scope := tally.NewTestScope("", nil)
	m.trialCounter = metrics.NewCounterVec(scope, "quarantine_trials", "result")
	now := time.Now()
	part := quarantine.HashPart("llm", "aa")
	message := &ports.LoadMessage{Sequence: 1}
	for i := range 3 {
		age := sinceLastEnd + time.Duration(i)*time.Second
		message.QuarantineEnds = append(message.QuarantineEnds, ports.ServerEnd{Part: uint64(part), Server: uint64(i), AgeMillis: age.Milliseconds()})
	}
	m.handleLoadMessage("d2", message)
	m.quarantine.UpdateTurns(now.Add(-time.Hour), time.Minute)
	return m, scope
}

func newQuarantinedCall(repeatable bool) *ports.Call {
	call := newEngineCall("w1")
	call.Repeatable = repeatable
	call.Prompt.Parts = []ports.PromptPart{{ID: "aa", Tokens: 900}, {ID: "x", Tokens: 100}}
	return call
}

var twoServers = []ports.VM{
	{Name: "e1", Service: "llm", Domain: "z1", Slots: 4}, {Name: "e2", Service: "llm", Domain: "z1", Slots: 4},
}

func mustBeQuarantined(t *testing.T, m *Manager, call *ports.Call) *outcome.Refusal {
	t.Helper()
	_, err := m.Acquire(context.Background(), call)
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != outcome.ReasonPartQuarantined || refusal.End != outcome.NotRun {
		t.Fatalf("got %v", err)
	}
	return refusal
}

// Sound calls of a quarantined part come some time after the last end of a server: one
// runs, and its answer lets the others go.
func TestSoundTrialReleasesQuarantinedPart(t *testing.T) {
	m, scope := newQuarantineManager(t, 25*time.Second, twoServers...)
	mustBeQuarantined(t, m, newQuarantinedCall(false))
	trial, err := m.Acquire(context.Background(), newQuarantinedCall(true))
	if err != nil {
		t.Fatal(err)
	}
	mustBeQuarantined(t, m, newQuarantinedCall(true))
	trial.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
	if _, err := m.Acquire(context.Background(), newQuarantinedCall(false)); err != nil {
		t.Errorf("refused after a sound trial: %v", err)
	}
	if got := scope.Snapshot().Counters()["quarantine_trials+result=sound"]; got == nil || got.Value() != 1 {
		t.Errorf("counted %v", scope.Snapshot().Counters())
	}
}

// The trial ends its server. Neither it nor another call is sent to a server after it.
func TestTrialThatEndsItsServerKeepsPartQuarantined(t *testing.T) {
	m, scope := newQuarantineManager(t, 25*time.Second, twoServers...)
	call := newQuarantinedCall(true)
	trial, err := m.Acquire(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	trial.Release(ports.RunReport{Reason: outcome.ReasonConnectionBroken, Fault: ports.ServerFaultBroken})
	call.FailedServers = append(call.FailedServers, trial.Server().Name)
	mustBeQuarantined(t, m, call)
	refusal := mustBeQuarantined(t, m, newQuarantinedCall(true))
	if refusal.RetryAfter < 30*time.Second || refusal.RetryAfter > 41*time.Second {
		t.Errorf("to come back after %s", refusal.RetryAfter)
	}
	if got := scope.Snapshot().Counters()["quarantine_trials+result=server-ended"]; got == nil || got.Value() != 1 {
		t.Errorf("counted %v", scope.Snapshot().Counters())
	}
}

// Calls come before a trial is due, or where no server can be spared.
func TestNoTrialBeforeItIsDueOrAtTheOnlyServer(t *testing.T) {
	m, _ := newQuarantineManager(t, 15*time.Second, twoServers...)
	if refusal := mustBeQuarantined(t, m, newQuarantinedCall(true)); refusal.RetryAfter > 6*time.Second {
		t.Errorf("to come back after %s", refusal.RetryAfter)
	}
	m, _ = newQuarantineManager(t, 25*time.Second, twoServers[0])
	mustBeQuarantined(t, m, newQuarantinedCall(true))
}
