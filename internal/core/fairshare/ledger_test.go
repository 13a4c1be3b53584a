package fairshare

import (
	"testing"

	"hawthornstream/internal/ports"
)

func workspaceSet(workspaces ...ports.WorkspaceID) map[ports.WorkspaceID]bool {
	waiting := make(map[ports.WorkspaceID]bool)
	for _, workspace := range workspaces {
		waiting[workspace] = true
	}
	return waiting
}

func TestLevelIsCostDividedByShare(t *testing.T) {
	l := NewLedger(Options{})
	l.SetShares(map[ports.WorkspaceID]float64{"large": 4})
	l.Charge("large", 100)
	l.Charge("small", 100)
	if l.Level("large") != 25 || l.Level("small") != 100 {
		t.Errorf("levels are %v and %v, want 25 and 100", l.Level("large"), l.Level("small"))
	}
}

func TestShareChangeKeepsLevel(t *testing.T) {
	l := NewLedger(Options{})
	l.Charge("a", 100)
	l.SetShares(map[ports.WorkspaceID]float64{"a": 4})
	l.Charge("a", 40)
	if l.Level("a") != 110 {
		t.Errorf("level is %v, want 110", l.Level("a"))
	}
}

func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	l := NewLedger(Options{})
	l.SetWaiting(workspaceSet("busy", "busier"))
	l.Charge("busy", 1000)
	l.Charge("busier", 2000)
	l.SetWaiting(workspaceSet("busy", "busier", "idle"))
	if l.Level("idle") != 1000 {
		t.Errorf("level is %v, want 1000, the lowest level of those that wait", l.Level("idle"))
	}
}

func TestSoleWaitingWorkspaceIsLiftedToFloor(t *testing.T) {
	l := NewLedger(Options{})
	l.Charge("busy", 1000)
	l.RecordServed("busy")
	l.Charge("busy", 10)
	l.SetWaiting(workspaceSet("idle"))
	if l.Level("idle") != 1000 {
		t.Errorf("level is %v, want 1000", l.Level("idle"))
	}
}

func TestWorkspaceWaitingAtAnotherOwnerIsNotLifted(t *testing.T) {
	l := NewLedger(Options{})
	l.SetWaiting(workspaceSet("busy"))
	l.Merge(now, Snapshot{Daemon: "other", Incarnation: 1, Sequence: 1, Charges: []WorkspaceCharge{{Workspace: "lagging", Waiting: true}}})
	l.Charge("busy", 1000)
	l.SetWaiting(workspaceSet("busy", "lagging"))
	if l.Level("lagging") != 0 {
		t.Errorf("level is %v, want 0: the workspace waited at another owner all the time", l.Level("lagging"))
	}
}

func TestEstimateTracksCostsAndHintOnlyLowersIt(t *testing.T) {
	e := NewEstimator()
	for range 100 {
		e.Observe("a", "short", 10)
		e.Observe("a", "long", 1000)
	}
	short, long := e.Estimate("a", "short", 0), e.Estimate("a", "long", 0)
	if short < 9 || short > 11 || long < 990 || long > 1010 {
		t.Errorf("estimates are %v and %v, want about 10 and 1000", short, long)
	}
	if e.Estimate("a", "long", 50) != 50 || e.Estimate("a", "short", 5000) != short {
		t.Error("a hint must lower the estimate and never raise it")
	}
}
