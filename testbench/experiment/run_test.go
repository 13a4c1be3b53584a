package experiment

import (
	"os"
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

func TestUnevenLoadKeepsGuarantees(t *testing.T) {
	config := Config{Scenario: "uneven", Daemons: 3, Seed: 1, LoadDuration: 2 * time.Second, Mix: HoaMai, Logf: t.Logf}
	result, err := Run(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	if result.Requests == 0 || result.LargestCost == 0 || result.FairnessIntervals == 0 {
		t.Errorf("nothing was evaluated: %+v", result)
	}
	if violations := result.DoubleRuns + result.FalseNotRun + result.WrongAnswers + result.CutCalls; violations > 0 {
		t.Errorf("%d violated guarantees: %v", violations, result.Violations)
	}
	if result.FairnessGapMax > result.FairnessGapBound {
		t.Errorf("fairness gap %.0f, bound %.0f", result.FairnessGapMax, result.FairnessGapBound)
	}
}
