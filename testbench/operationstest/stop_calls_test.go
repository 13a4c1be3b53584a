package operationstest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// A planned stop cut calls off before a kill that doesn't follow it, and a stop that a kill
// follows took calls that it cut off.
func TestOnlySignalLimitsCallsOfPlannedStop(t *testing.T) {
	const killAfter, longRun = 6 * time.Second, 6 * time.Second
	f := fleet.StartTest(t, fleet.Options{
		Daemons:  3,
		Services: []fleet.PlainService{{Name: "orders", Servers: 2}},
		AdjustSettings: func(s *settings.Settings) {
			s.Stop.KillAfter = configuration.Duration(killAfter)
			s.Stop.AnnouncePeriod = configuration.Duration(2500 * time.Millisecond)
		},
	})
	caller := fleet.NewCaller()
	t.Cleanup(caller.Close)
	send := func(daemon *fleet.Daemon, run time.Duration, deadline time.Duration) <-chan fleet.Outcome {
		ended := make(chan fleet.Outcome, 1)
		go func() {
			ended <- caller.Do(t.Context(), daemon, fleet.Call{
				Workspace: "alpha", Service: "orders", Kind: configuration.ServiceKindPlain,
				RunMilliseconds: float64(run.Milliseconds()), Deadline: deadline,
			})
		}()
		return ended
	}
	planned, signalled := f.Daemons[0], f.Daemons[1]
	plan := func(daemon *fleet.Daemon) {
		mustRunCtl(t, f.Daemons[2:], "stop", "plan", daemon.Name)
		fleet.Eventually(t, "the stop has begun", func() bool { return strings.Contains(daemon.Log(), `event="stop-began" cause="planned-stop"`) })
	}
	plan(planned)
	inPlan := send(planned, longRun, 0)
	plan(signalled)
	if err := signalled.Terminate(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the signal limits the stop", func() bool { return strings.Contains(signalled.Log(), `event="stop-requested" cause="signal"`) })
	short, long := send(signalled, 100*time.Millisecond, time.Second), send(signalled, longRun, 0)
	if got := <-short; !got.Complete {
		t.Errorf("after the signal, a call with a deadline before the cut: %+v", got)
	}
	if got := <-long; got.Reason != string(outcome.ReasonStopping) || got.Run != string(outcome.NotRun) {
		t.Errorf("after the signal, a call that outlasts the stop: %+v", got)
	} else if slices.ContainsFunc(f.RunLog.Runs(), func(run standin.Run) bool { return run.Operation == got.Call.Operation }) {
		t.Error("the call that was refused as not run has run")
	}
	if got := <-inPlan; !got.Complete {
		t.Errorf("a call in a stop that no kill follows: %+v", got)
	}
	if err := planned.Wait(t.Context()); err != nil {
		t.Errorf("the planned stop ended with %v", err)
	}
}
