package fairshare

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// exportedSnapshots returns the snapshots of two owners over two incarnations each,
// and the total cost that they charged by workspace.
func exportedSnapshots(seed uint64) (snapshots []Snapshot, charged map[ports.WorkspaceID]float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	charged = make(map[ports.WorkspaceID]float64)
	for _, daemon := range []ports.DaemonID{"x", "y"} {
		for incarnation := ports.Incarnation(1); incarnation <= 2; incarnation++ {
			owner := NewLedger(Options{NoLift: true})
			owner.SetWaiting(workspaceSet("a", "b"))
			owner.UpdateBacklogs(now)
			for range 5 {
				for _, workspace := range []ports.WorkspaceID{"a", "b"} {
					cost := float64(random.IntN(100) - 20)
					owner.Charge(workspace, cost)
					charged[workspace] += cost
				}
				snapshots = append(snapshots, owner.Export(daemon, incarnation))
			}
		}
	}
	return snapshots, charged
}

func TestMergeIgnoresRepeatsAndOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	properties := gopter.NewProperties(parameters)
	properties.Property("levels equal the total charges", prop.ForAll(func(seed uint64) bool {
		snapshots, charged := exportedSnapshots(seed)
		random := rand.New(rand.NewPCG(seed, 2))
		delivered := append(append([]Snapshot(nil), snapshots...), snapshots...)
		random.Shuffle(len(delivered), func(i, j int) { delivered[i], delivered[j] = delivered[j], delivered[i] })
		l := NewLedger(Options{NoLift: true, NoExtrapolation: true})
		l.sequence = levelAdoptionExchanges
		for _, snapshot := range delivered {
			l.Merge(now, snapshot)
		}
		return l.Level("a") == charged["a"] && l.Level("b") == charged["b"]
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestLaterSnapshotMakesUpForLostOnes(t *testing.T) {
	snapshots, charged := exportedSnapshots(7)
	l := NewLedger(Options{NoLift: true, NoExtrapolation: true})
	l.sequence = levelAdoptionExchanges
	for i, snapshot := range snapshots {
		if i%5 == 4 {
			l.Merge(now, snapshot)
		}
	}
	if l.Level("a") != charged["a"] {
		t.Errorf("level is %v, want %v", l.Level("a"), charged["a"])
	}
}

func TestRemoteCostIsExtrapolatedBetweenExchanges(t *testing.T) {
	l := NewLedger(Options{})
	l.sequence = levelAdoptionExchanges
	l.SetWaiting(workspaceSet("a"))
	for _, other := range []ports.DaemonID{"x", "y"} {
		l.Merge(now, Snapshot{Daemon: other, Incarnation: 1, Sequence: 1, Charges: []WorkspaceCharge{{BacklogNumber: 1, Workspace: "a", Charged: 5, Waiting: true}}})
	}
	l.Charge("a", 100)
	if l.Level("a") != 310 {
		t.Errorf("level is %v, want 10 reported, 100 own and 200 extrapolated", l.Level("a"))
	}
	for _, other := range []ports.DaemonID{"x", "y"} {
		l.Merge(now, Snapshot{Daemon: other, Incarnation: 1, Sequence: 2, Charges: []WorkspaceCharge{{BacklogNumber: 1, Workspace: "a", Charged: 50, Waiting: true}}})
	}
	if l.Level("a") != 200 {
		t.Errorf("level is %v, want 100 reported and 100 own", l.Level("a"))
	}
}

func TestCostOfSilentOwnerIsNotExtrapolated(t *testing.T) {
	l := NewLedger(Options{})
	l.Merge(now, Snapshot{Daemon: "x", Incarnation: 1, Sequence: 1, Charges: []WorkspaceCharge{{BacklogNumber: 1, Workspace: "a", Waiting: true}}})
	l.ExpireRemoteBacklogs(now.Add(2 * remoteOwnerTimeout))
	l.Charge("a", 100)
	if l.Level("a") != 100 || len(l.Levels()) != 0 {
		t.Errorf("level is %v and %d workspaces wait, want 100 and none", l.Level("a"), len(l.Levels()))
	}
}

func TestNewOwnerAdoptsLevelsOfOlderOwner(t *testing.T) {
	older := NewLedger(Options{})
	older.SetWaiting(workspaceSet("a", "b"))
	older.UpdateBacklogs(now)
	older.Charge("a", 5000)
	older.Charge("b", 5100)
	for range 20 {
		older.Export("x", 1)
	}
	newer := NewLedger(Options{})
	newer.SetWaiting(workspaceSet("a", "b"))
	newer.Charge("a", 30)
	newer.Merge(now, older.Export("x", 1))
	if newer.Level("a") != 5000 || newer.Level("b") != 5100 {
		t.Errorf("levels are %v and %v, want 5000 and 5100", newer.Level("a"), newer.Level("b"))
	}
}

// Two owners serve one workspace each, and one of them has charged much without
// contention. Counting that cost would starve the workspace once both wait.
func TestUncontendedServiceIsNotCounted(t *testing.T) {
	busy, fresh := NewLedger(Options{}), NewLedger(Options{})
	busy.sequence, fresh.sequence = levelAdoptionExchanges, levelAdoptionExchanges
	busy.Charge("old", 9000)
	busy.SetWaiting(workspaceSet("old"))
	busy.UpdateBacklogs(now)
	fresh.SetWaiting(workspaceSet("new"))
	fresh.UpdateBacklogs(now)
	for range 3 {
		busy.Merge(now, fresh.Export("fresh", 1))
		fresh.Merge(now, busy.Export("busy", 1))
	}
	for name, l := range map[string]*Ledger{"busy": busy, "fresh": fresh} {
		if gap := l.Level("old") - l.Level("new"); gap > 1 || gap < -1 {
			t.Errorf("level of the old workspace is %v above the new one at the %s owner, want at most 1 apart", gap, name)
		}
	}
}

// A workspace whose queue is empty for a moment is lifted when it waits again. The
// lift covers charges of another owner that are reported only later; counting them
// on top would put the workspace too far ahead.
func TestLateRemoteChargesReduceRecentLift(t *testing.T) {
	l := NewLedger(Options{NoExtrapolation: true})
	l.sequence = levelAdoptionExchanges
	l.SetWaiting(workspaceSet("steady", "flicker"))
	l.UpdateBacklogs(now)
	snapshot := Snapshot{Daemon: "x", Incarnation: 1, Sequence: 1, Charges: []WorkspaceCharge{{BacklogNumber: 1, Workspace: "flicker", Charged: 0}}}
	l.Merge(now, snapshot)
	l.SetWaiting(workspaceSet("steady"))
	l.Charge("steady", 1000)
	l.SetWaiting(workspaceSet("steady", "flicker"))
	snapshot.Sequence, snapshot.Charges = 2, []WorkspaceCharge{{BacklogNumber: 1, Workspace: "flicker", Charged: 600}}
	l.Merge(now, snapshot)
	if l.Level("flicker") != 1000 {
		t.Errorf("level is %v, want 1000: the lift covers the 600 charged at the other owner", l.Level("flicker"))
	}
}

func TestSettlementAfterBacklogIsNotExported(t *testing.T) {
	owner, other := NewLedger(Options{}), NewLedger(Options{})
	owner.sequence, other.sequence = levelAdoptionExchanges, levelAdoptionExchanges
	owner.SetWaiting(workspaceSet("a"))
	owner.UpdateBacklogs(now)
	owner.Charge("a", 50)
	other.Merge(now, owner.Export("x", 1))
	owner.SetWaiting(workspaceSet())
	later := now.Add(2 * backlogLinger)
	owner.UpdateBacklogs(later)
	owner.Charge("a", 5000)
	owner.SetWaiting(workspaceSet("a"))
	owner.UpdateBacklogs(later)
	owner.Charge("a", 7)
	other.Merge(later, owner.Export("x", 1))
	if other.Level("a") != 57 {
		t.Errorf("level is %v, want the 57 charged within backlogs", other.Level("a"))
	}
}

func TestOwnCostOutsideBacklogIsNotCounted(t *testing.T) {
	l := NewLedger(Options{NoExtrapolation: true})
	l.sequence = levelAdoptionExchanges
	l.Merge(now, Snapshot{Daemon: "x", Incarnation: 1, Sequence: 1, Charges: []WorkspaceCharge{{BacklogNumber: 1, Workspace: "far", Charged: 50, Waiting: true}}})
	l.SetWaiting(workspaceSet("near"))
	l.UpdateBacklogs(now)
	l.Charge("near", 100)
	l.SetWaiting(workspaceSet())
	l.UpdateBacklogs(now.Add(2 * backlogLinger))
	l.Charge("near", 9000)
	l.SetWaiting(workspaceSet("near"))
	l.UpdateBacklogs(now.Add(2 * backlogLinger))
	if l.Level("near") != 150 {
		t.Errorf("level is %v, want 150: a lift of 50 and 100 charged within a backlog", l.Level("near"))
	}
}

func TestFloorOfOtherOwnersIsAdopted(t *testing.T) {
	l := NewLedger(Options{})
	l.Merge(now, Snapshot{Daemon: "x", Incarnation: 1, Sequence: 1, Floor: 700})
	l.SetWaiting(workspaceSet("new"))
	if l.Level("new") != 700 {
		t.Errorf("level is %v, want 700", l.Level("new"))
	}
}
