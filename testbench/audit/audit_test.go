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

var timeOrigin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atSecond(seconds float64) time.Time {
	return timeOrigin.Add(time.Duration(seconds * float64(time.Second)))
}

// completedRun returns a completed run whose cost grows at a constant rate. start and
// end are in seconds.
func completedRun(workspace, operation string, start, end, cost float64) standin.Run {
	return standin.Run{
		Server: "s-1", Service: "s", RequestID: "r-" + operation, Workspace: workspace, Operation: operation,
		StartedAt: atSecond(start), EndedAt: atSecond(end), Outcome: standin.RunCompleted,
		CostSamples: []standin.CostSample{{At: atSecond(end), Cost: cost}},
	}
}

func completedOutcome(workspace, operation string, sent, ended float64) fleet.Outcome {
	return fleet.Outcome{
		Call:      fleet.Call{Workspace: ports.WorkspaceID(workspace), Service: "s", Class: "order", Operation: operation},
		RequestID: "r-" + operation, SentAt: atSecond(sent), EndedAt: atSecond(ended), Status: 200, Run: "ran", Complete: true,
	}
}

func testDocument() configuration.Document {
	return configuration.Document{
		Classes: map[ports.ClassName]configuration.Class{"order": {}, "question": {Repeatable: true}},
		Workspaces: map[ports.WorkspaceID]configuration.Workspace{
			"a": {}, "b": {}, "double": {ShareTarget: 2},
		},
	}
}

func approxEqual(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance
}

func TestFairnessGapOfTwoBackloggedWorkspaces(t *testing.T) {
	evidence := audit.Evidence{
		Document: testDocument(),
		// From 0 s to 10 s, a is served at a cost of 100 a second and b at 40 a second,
		// and both have a call waiting.
		Runs: []standin.Run{completedRun("a", "a1", 0, 10, 1000), completedRun("b", "b1", 0, 10, 400)},
		Outcomes: []fleet.Outcome{
			completedOutcome("a", "a2", 0, 10), completedOutcome("b", "b2", 0, 10),
		},
	}
	gap := audit.FairnessGap(evidence, "s", atSecond(0), atSecond(10))
	if !approxEqual(gap.Max, 600, 5) {
		t.Errorf("got a maximum gap of %v, want 600", gap.Max)
	}
	if gap.MaxPair != [2]ports.WorkspaceID{"a", "b"} {
		t.Errorf("got the pair %v, want a before b", gap.MaxPair)
	}
	// Of all intervals within 10 s, half are shorter than 2.93 s. The gap grows by 60 a
	// second.
	if !approxEqual(gap.Median, 60*2.93, 5) {
		t.Errorf("got a median gap of %v, want 60*2.93", gap.Median)
	}
}

func TestFairnessGapUsesShareTargetsAndCommonBacklogOnly(t *testing.T) {
	evidence := audit.Evidence{
		Document: testDocument(),
		Runs:     []standin.Run{completedRun("a", "a1", 0, 10, 1000), completedRun("double", "d1", 0, 10, 2000)},
		Outcomes: []fleet.Outcome{completedOutcome("a", "a2", 0, 10), completedOutcome("double", "d2", 0, 10)},
	}
	if gap := audit.FairnessGap(evidence, "s", atSecond(0), atSecond(10)); gap.Max > 1 {
		t.Errorf("equal service per share target: got a maximum gap of %v, want at most 1", gap.Max)
	}
	evidence.Document = configuration.Document{}
	evidence.Outcomes[1] = completedOutcome("double", "d2", 8, 9)
	if gap := audit.FairnessGap(evidence, "s", atSecond(0), atSecond(10)); !approxEqual(gap.Max, 100, 2) {
		t.Errorf("common backlog of one second: got a maximum gap of %v, want 100", gap.Max)
	}
}

func TestUtilisationCountsOnlyTimeWithBacklog(t *testing.T) {
	evidence := audit.Evidence{
		Runs:     []standin.Run{completedRun("a", "a1", 0, 5, 10), completedRun("b", "b1", 2, 4, 10)},
		Outcomes: []fleet.Outcome{completedOutcome("a", "a2", 1.95, 6)},
	}
	capacities := []audit.ServerCapacity{{Server: "s-1", Slots: 2}}
	utilisation := audit.MeasureUtilisation(evidence, "s", capacities, atSecond(0), atSecond(10))
	// From 2 s to 6 s, 2 slots are used until 4 s, then 1 until 5 s, then none.
	if !approxEqual(utilisation.UsedFraction, 5.0/8, 0.01) || !approxEqual(utilisation.BacklogTime.Seconds(), 4, 0.01) {
		t.Errorf("%+v", utilisation)
	}
}

func TestFindViolationsOfEachKind(t *testing.T) {
	secondRun := completedRun("a", "o1", 1, 2, 1)
	cut := completedOutcome("a", "o4", 0, 1)
	cut.Err, cut.Complete = errors.New("broken"), false
	falseNotRun := completedOutcome("a", "o2", 0, 1)
	falseNotRun.Run = "not-run"
	wrongAnswer := completedOutcome("a", "o3", 0, 1)
	wrongAnswer.Mismatch = "another's"
	repeatable := completedOutcome("a", "o5", 0, 1)
	repeatable.Call.Class = "question"
	evidence := audit.Evidence{
		Document: testDocument(),
		Runs: []standin.Run{
			completedRun("a", "o1", 0, 1, 1), secondRun, completedRun("a", "o2", 0, 1, 1),
			completedRun("a", "o5", 0, 1, 1), completedRun("a", "o5", 1, 2, 1),
		},
		Outcomes: []fleet.Outcome{completedOutcome("a", "o1", 0, 1), completedOutcome("a", "o1", 1, 2), falseNotRun, wrongAnswer, cut, repeatable},
	}
	violations := audit.FindViolations(evidence)
	if len(violations.DoubleRuns) != 1 || len(violations.FalseNotRun) != 1 || len(violations.WrongAnswers) != 1 || len(violations.CutCalls) != 1 {
		t.Errorf("%+v", violations)
	}
	evidence.IsExpectedCut = func(fleet.Outcome) bool { return true }
	if violations := audit.FindViolations(evidence); len(violations.CutCalls) != 0 {
		t.Errorf("%+v", violations.CutCalls)
	}
}

func TestResentRequestCountsForItsCall(t *testing.T) {
	violations := audit.FindViolations(audit.Evidence{
		Runs:     []standin.Run{{RequestID: "a.2", Server: "s", StartedAt: time.Unix(1, 0)}},
		Outcomes: []fleet.Outcome{{RequestID: "a", Run: "not-run"}},
	})
	if len(violations.FalseNotRun) != 1 {
		t.Errorf("%+v", violations)
	}
}
