package callertest

import (
	"strings"
	"testing"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
)

// startLongCalls starts streamed calls and returns once all of them are running.
func startLongCalls(t *testing.T, f *fleet.Fleet, calls, tokens int) <-chan fleet.Outcome {
	t.Helper()
	caller := fleet.NewCaller()
	t.Cleanup(caller.Close)
	outcomes := make(chan fleet.Outcome, calls)
	for range calls {
		go func() {
			outcomes <- caller.Do(t.Context(), f.Daemons[0], fleet.Call{
				Workspace: "alpha", Service: "drafter", Kind: configuration.ServiceKindEngine,
				Stream: true, Tokens: tokens,
			})
		}()
	}
	fleet.Eventually(t, "all calls are running", func() bool {
		running := 0
		for _, run := range f.RunLog.Runs() {
			if run.Outcome == standin.RunNotEnded {
				running++
			}
		}
		return running == calls
	})
	return outcomes
}

func stopOptions() fleet.Options {
	return fleet.Options{Engines: []fleet.EngineService{{
		Name: "drafter", Servers: 1, MaxInFlight: 8,
		Engine: engine.Config{BatchSize: 8, TokensPerSecond: 50},
	}}}
}

func TestStopLetsCallsInProgressComplete(t *testing.T) {
	const calls = 4
	f := fleet.StartTest(t, stopOptions())
	outcomes := startLongCalls(t, f, calls, 100)
	if err := f.Daemons[0].Terminate(); err != nil {
		t.Fatal(err)
	}
	for range calls {
		if outcome := <-outcomes; !outcome.Complete || outcome.Mismatch != "" {
			t.Errorf("a call in progress was cut off: %+v", outcome)
		}
	}
	if err := f.Daemons[0].Wait(t.Context()); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
}

// A second SIGTERM cut off the calls in progress.
func TestRepeatedSignalsLetCallsInProgressComplete(t *testing.T) {
	const calls = 4
	f := fleet.StartTest(t, stopOptions())
	outcomes := startLongCalls(t, f, calls, 100)
	daemon := f.Daemons[0]
	signalAndAwait(t, daemon, daemon.Terminate, `event="stop-began"`)
	signalAndAwait(t, daemon, daemon.ReloadSettings, `event="settings-reloaded"`)
	signalAndAwait(t, daemon, daemon.Terminate, `event="stop-requested" cause="signal" action="none"`)
	for range calls {
		if outcome := <-outcomes; !outcome.Complete || outcome.Mismatch != "" {
			t.Errorf("a call in progress was cut off: %+v", outcome)
		}
	}
	if err := daemon.Wait(t.Context()); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
}

// signalAndAwait sends a signal and waits until the log has a line with the given text.
func signalAndAwait(t *testing.T, daemon *fleet.Daemon, send func() error, line string) {
	t.Helper()
	if err := send(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the log has "+line, func() bool { return strings.Contains(daemon.Log(), line) })
}

func TestInterruptDuringStopLogsTheCallsItCutsOff(t *testing.T) {
	f := fleet.StartTest(t, stopOptions())
	outcomes := startLongCalls(t, f, 1, 100_000)
	daemon := f.Daemons[0]
	signalAndAwait(t, daemon, daemon.Terminate, `event="stop-began"`)
	signalAndAwait(t, daemon, daemon.Interrupt, `event="stop-requested" cause="signal" action="cut"`)
	outcome := <-outcomes
	if outcome.Complete {
		t.Error("a call that was to be cut off completed")
	}
	if err := daemon.Wait(t.Context()); err == nil {
		t.Error("a daemon that cut off calls exited with 0")
	}
	if want := `event="call-cut" request="` + outcome.RequestID + `"`; !strings.Contains(daemon.Log(), want) {
		t.Errorf("the log lacks %s", want)
	}
}
