// Package outcometest holds the integration tests of how calls end: real
// daemons over stand-ins, with the failures that each promise is meant for.
package outcometest

import (
	"os"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
)

const (
	orders ports.ServiceName = "orders"
	model  ports.ServiceName = "model"
	// progressWithin is the longest silence of an answer in these tests.
	progressWithin = time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// bench is a fleet with one caller.
type bench struct {
	*fleet.Fleet
	*fleet.Caller
	t *testing.T
}

// start runs three daemons before two order servers and two engines.
func start(t *testing.T, links fleet.LinkOptions) *bench {
	t.Helper()
	f := fleet.StartTest(t, fleet.Options{
		Daemons:  3,
		Services: []fleet.PlainService{{Name: orders, Servers: 2}},
		Engines:  []fleet.EngineService{{Name: model, Servers: 2}},
		Links:    links,
		AdjustDocument: func(document *configuration.Document) {
			for name, service := range document.Services {
				service.ProgressWithin = configuration.Duration(progressWithin)
				document.Services[name] = service
			}
		},
	})
	caller := fleet.NewCaller()
	t.Cleanup(caller.Close)
	return &bench{Fleet: f, Caller: caller, t: t}
}

func (b *bench) call(daemon int, call fleet.Call) fleet.Outcome {
	return b.Do(b.t.Context(), b.Daemons[daemon], call)
}

// order is a call that is not repeatable.
func order(operation, key string) fleet.Call {
	return fleet.Call{
		Workspace: "alpha", Service: orders, Kind: configuration.ServiceKindPlain,
		Operation: operation, IdempotencyKey: key, RunMilliseconds: 5,
	}
}

// question is a streamed repeatable call.
func question(operation string, tokens int) fleet.Call {
	return fleet.Call{
		Workspace: "alpha", Service: model, Kind: configuration.ServiceKindEngine,
		Operation: operation, Stream: true, Tokens: tokens,
	}
}

// audit compares what the callers were told with the servers' run logs.
func (b *bench) audit() {
	b.t.Helper()
	faults := audit.FindViolations(audit.Evidence{
		Runs: b.RunLog.Runs(), Outcomes: b.Outcomes(), Document: b.Document(),
	})
	for _, group := range [][]string{faults.DoubleRuns, faults.FalseNotRun, faults.WrongAnswers} {
		for _, fault := range group {
			b.t.Error(fault)
		}
	}
}

// runs counts the runs of an operation.
func (b *bench) runs(operation string) int {
	count := 0
	for _, run := range b.RunLog.Runs() {
		if run.Operation == operation {
			count++
		}
	}
	return count
}

func (b *bench) expectRuns(operation string, want int) {
	b.t.Helper()
	if got := b.runs(operation); got != want {
		b.t.Errorf("operation %s ran %d times, want %d", operation, got, want)
	}
}

func (b *bench) expectWhole(outcome fleet.Outcome) {
	b.t.Helper()
	if !outcome.Complete || outcome.Mismatch != "" {
		b.t.Errorf("operation %s at %s: status %d, run %q, reason %q, wrong %q, error %v", outcome.Call.Operation,
			outcome.Daemon, outcome.Status, outcome.Run, outcome.Reason, outcome.Mismatch, outcome.Err)
	}
}

func (b *bench) expectRefusal(outcome fleet.Outcome, reason, run string) {
	b.t.Helper()
	if outcome.Reason != reason || outcome.Run != run {
		b.t.Errorf("operation %s: status %d, reason %q, run %q, error %v; want %q, %q", outcome.Call.Operation,
			outcome.Status, outcome.Reason, outcome.Run, outcome.Err, reason, run)
	}
}
