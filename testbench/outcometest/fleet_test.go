// Package outcometest tests how calls end, with real daemons in front of stand-in
// servers and a stand-in platform, under the faults that each guarantee covers.
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
	// progressTimeout is the longest time without progress of an answer.
	progressTimeout = time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// fixture is a fleet and a caller.
type fixture struct {
	*fleet.Fleet
	*fleet.Caller
	t *testing.T
}

// startFixture starts three daemons in front of two servers of the service orders
// and two engines.
func startFixture(t *testing.T, links fleet.LinkOptions) *fixture {
	t.Helper()
	f := fleet.StartTest(t, fleet.Options{
		Daemons:  3,
		Services: []fleet.PlainService{{Name: orders, Servers: 2}},
		Engines:  []fleet.EngineService{{Name: model, Servers: 2}},
		Links:    links,
		AdjustDocument: func(document *configuration.Document) {
			for name, service := range document.Services {
				service.ProgressWithin = configuration.Duration(progressTimeout)
				document.Services[name] = service
			}
		},
	})
	caller := fleet.NewCaller()
	t.Cleanup(caller.Close)
	return &fixture{Fleet: f, Caller: caller, t: t}
}

func (fx *fixture) call(daemon int, call fleet.Call) fleet.Outcome {
	return fx.Do(fx.t.Context(), fx.Daemons[daemon], call)
}

// orderCall returns a call that is not repeatable.
func orderCall(operation, key string) fleet.Call {
	return fleet.Call{
		Workspace: "alpha", Service: orders, Kind: configuration.ServiceKindPlain,
		Operation: operation, IdempotencyKey: key, RunMilliseconds: 5,
	}
}

// questionCall returns a streamed, repeatable call.
func questionCall(operation string, tokens int) fleet.Call {
	return fleet.Call{
		Workspace: "alpha", Service: model, Kind: configuration.ServiceKindEngine,
		Operation: operation, Stream: true, Tokens: tokens,
	}
}

// checkGuarantees fails the test where the answers to the callers contradict the
// run logs of the servers: double runs, false "not-run" reports, wrong answers.
func (fx *fixture) checkGuarantees() {
	fx.t.Helper()
	violations := audit.FindViolations(audit.Evidence{
		Runs: fx.RunLog.Runs(), Outcomes: fx.Outcomes(), Document: fx.Document(),
	})
	for _, group := range [][]string{violations.DoubleRuns, violations.FalseNotRun, violations.WrongAnswers} {
		for _, violation := range group {
			fx.t.Error(violation)
		}
	}
}

// runCount returns the number of runs of an operation.
func (fx *fixture) runCount(operation string) int {
	count := 0
	for _, run := range fx.RunLog.Runs() {
		if run.Operation == operation {
			count++
		}
	}
	return count
}

func (fx *fixture) expectRuns(operation string, want int) {
	fx.t.Helper()
	if got := fx.runCount(operation); got != want {
		fx.t.Errorf("operation %s ran %d times, want %d", operation, got, want)
	}
}

func (fx *fixture) expectComplete(outcome fleet.Outcome) {
	fx.t.Helper()
	if !outcome.Complete || outcome.Mismatch != "" {
		fx.t.Errorf("operation %s at %s: status %d, run %q, reason %q, wrong %q, error %v", outcome.Call.Operation,
			outcome.Daemon, outcome.Status, outcome.Run, outcome.Reason, outcome.Mismatch, outcome.Err)
	}
}

func (fx *fixture) expectRefusal(outcome fleet.Outcome, reason, run string) {
	fx.t.Helper()
	if outcome.Reason != reason || outcome.Run != run {
		fx.t.Errorf("operation %s: status %d, reason %q, run %q, error %v; want %q, %q", outcome.Call.Operation,
			outcome.Status, outcome.Reason, outcome.Run, outcome.Err, reason, run)
	}
}
