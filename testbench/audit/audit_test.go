package audit_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return zero.Add(time.Duration(seconds * float64(time.Second)))
}

// run is a run of constant speed.
func run(workspace, operation string, start, end, cost float64) standin.Run {
	return standin.Run{
		Server: "s-1", Service: "s", RequestID: "r-" + operation, Workspace: workspace, Operation: operation,
		StartedAt: at(start), EndedAt: at(end), Outcome: standin.RunCompleted,
		CostSamples: []standin.CostSample{{At: at(end), Cost: cost}},
	}
}

func outcome(workspace, operation string, sent, ended float64) fleet.Outcome {
	return fleet.Outcome{
		Call:      fleet.Call{Workspace: ports.WorkspaceID(workspace), Service: "s", Class: "order", Operation: operation},
		RequestID: "r-" + operation, SentAt: at(sent), EndedAt: at(ended), Status: 200, Run: "ran", Complete: true,
	}
}

func document() configuration.Document {
	return configuration.Document{
		Classes: map[ports.ClassName]configuration.Class{"order": {}, "question": {Repeatable: true}},
		Workspaces: map[ports.WorkspaceID]configuration.Workspace{
			"a": {}, "b": {}, "double": {ShareTarget: 2},
		},
	}
}

func near(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance
}

func TestGapOfTwoBackloggedWorkspaces(t *testing.T) {
	evidence := audit.Evidence{
		Document: document(),
		// a is served 100 a second from 0 to 10, b 40 a second; both have a call
		// waiting from 0 to 10.
		Runs: []standin.Run{run("a", "a1", 0, 10, 1000), run("b", "b1", 0, 10, 400)},
		Outcomes: []fleet.Outcome{
			outcome("a", "a2", 0, 10), outcome("b", "b2", 0, 10),
		},
	}
	gap := audit.FairnessGap(evidence, "s", at(0), at(10))
	if !near(gap.Max, 600, 5) {
		t.Errorf("max %v", gap.Max)
	}
	if gap.Pair != [2]ports.WorkspaceID{"a", "b"} {
		t.Errorf("pair %v", gap.Pair)
	}
	// Over all intervals of a length of 10, half are shorter than 2.93.
	if !near(gap.Median, 60*2.93, 5) {
		t.Errorf("median %v", gap.Median)
	}
}

func TestGapCountsSharesAndCommonBacklogOnly(t *testing.T) {
	evidence := audit.Evidence{
		Document: document(),
		Runs:     []standin.Run{run("a", "a1", 0, 10, 1000), run("double", "d1", 0, 10, 2000)},
		Outcomes: []fleet.Outcome{outcome("a", "a2", 0, 10), outcome("double", "d2", 0, 10)},
	}
	if gap := audit.FairnessGap(evidence, "s", at(0), at(10)); gap.Max > 1 {
		t.Errorf("equal service over share, gap %v", gap.Max)
	}
	evidence.Document = configuration.Document{}
	evidence.Outcomes[1] = outcome("double", "d2", 8, 9)
	if gap := audit.FairnessGap(evidence, "s", at(0), at(10)); !near(gap.Max, 100, 2) {
		t.Errorf("common backlog of one second, gap %v", gap.Max)
	}
}

func TestUtilisationCountsOnlyWhileWorkWaits(t *testing.T) {
	evidence := audit.Evidence{
		Runs:     []standin.Run{run("a", "a1", 0, 5, 10), run("b", "b1", 2, 4, 10)},
		Outcomes: []fleet.Outcome{outcome("a", "a2", 1.95, 6)},
	}
	capacity := []audit.Capacity{{Server: "s-1", Places: 2}}
	use := audit.Use(evidence, "s", capacity, at(0), at(10))
	// From 2 to 6: 2 places until 4, then 1 until 5, then none.
	if !near(use.Part, 5.0/8, 0.01) || !near(use.Waited.Seconds(), 4, 0.01) {
		t.Errorf("%+v", use)
	}
}

func TestPromises(t *testing.T) {
	twice := run("a", "o1", 1, 2, 1)
	cut := outcome("a", "o4", 0, 1)
	cut.Err, cut.Complete = errors.New("broken"), false
	liar := outcome("a", "o2", 0, 1)
	liar.Run = "not-run"
	crossed := outcome("a", "o3", 0, 1)
	crossed.Mismatch = "another's"
	repeatable := outcome("a", "o5", 0, 1)
	repeatable.Call.Class = "question"
	evidence := audit.Evidence{
		Document: document(),
		Runs: []standin.Run{
			run("a", "o1", 0, 1, 1), twice, run("a", "o2", 0, 1, 1),
			run("a", "o5", 0, 1, 1), run("a", "o5", 1, 2, 1),
		},
		Outcomes: []fleet.Outcome{outcome("a", "o1", 0, 1), outcome("a", "o1", 1, 2), liar, crossed, cut, repeatable},
	}
	faults := audit.Promises(evidence)
	if len(faults.DoubleRuns) != 1 || len(faults.FalseNotRun) != 1 || len(faults.WrongAnswers) != 1 || len(faults.CutCalls) != 1 {
		t.Errorf("%+v", faults)
	}
	evidence.Excused = func(fleet.Outcome) bool { return true }
	if faults := audit.Promises(evidence); len(faults.CutCalls) != 0 {
		t.Errorf("%+v", faults.CutCalls)
	}
}

func TestRequestSentAgainBelongsToItsCall(t *testing.T) {
	faults := audit.Promises(audit.Evidence{
		Runs:     []standin.Run{{RequestID: "a.2", Server: "s", StartedAt: time.Unix(1, 0)}},
		Outcomes: []fleet.Outcome{{RequestID: "a", Run: "not-run"}},
	})
	if len(faults.FalseNotRun) != 1 {
		t.Errorf("%+v", faults)
	}
}
