package fleet_test

import (
	"os"
	"testing"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

func testOptions(daemons int) fleet.Options {
	return fleet.Options{
		Daemons: daemons,
		Engines: []fleet.EngineService{{
			Name:    "drafter",
			Servers: 3,
			Engine:  engine.Config{TokensPerSecond: 500},
		}},
		Services: []fleet.PlainService{{Name: "registry", Servers: 3}},
	}
}

func TestEachDaemonServesStreamedUnstreamedAndPlainCalls(t *testing.T) {
	f := fleet.StartTest(t, testOptions(3))
	caller := fleet.NewCaller()
	defer caller.Close()
	for _, daemon := range f.Daemons {
		calls := []fleet.Call{
			{Workspace: "alpha", Service: "drafter", Kind: configuration.ServiceKindEngine, Stream: true, Tokens: 20},
			{Workspace: "beta", Service: "drafter", Kind: configuration.ServiceKindEngine, Tokens: 10},
			{Workspace: "beta", Service: "registry", Kind: configuration.ServiceKindPlain, RunMilliseconds: 5},
		}
		for i, call := range calls {
			outcome := caller.Do(t.Context(), daemon, call)
			if !outcome.Complete || outcome.Mismatch != "" || outcome.Run != "ran" || outcome.RequestID == "" {
				t.Errorf("%s, call %d: %+v", daemon.ID(), i, outcome)
			}
		}
	}
	runs := f.RunLog.Runs()
	if len(runs) != 3*len(f.Daemons) {
		t.Errorf("the backend servers recorded %d runs", len(runs))
	}
	for _, run := range runs {
		if run.Outcome != standin.RunCompleted || run.Workspace == "" || run.Operation == "" {
			t.Errorf("incomplete run record: %+v", run)
		}
	}
}

func TestPlannedStopExitsWithoutError(t *testing.T) {
	f := fleet.StartTest(t, testOptions(1))
	if err := f.Daemons[0].Stop(t.Context()); err != nil {
		t.Errorf("%v: %s", err, f.Daemons[0].Log())
	}
}
