package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

func equal(ports.WorkspaceID) float64 { return 1 }

// Load pattern: one workspace asks for ten times its share, the others for less
// than theirs.
func TestOveruseIsThatOfTheFlood(t *testing.T) {
	shares := NewShares()
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for i := range 4 {
			workspace := ports.WorkspaceID(fmt.Sprint("small-", i))
			shares.Asked(now, workspace, 1000)
			shares.Granted(now, workspace, 1000)
		}
		shares.Asked(now, "flood", 50000)
		shares.Granted(now, "flood", 12000)
	}
	const capacity = 100000.0
	if over := shares.Overuse(now, "flood", capacity, equal); over < 1.5 || over > 2.5 {
		t.Errorf("the flood gets %v of its share, want 120/60", over)
	}
	if over := shares.Overuse(now, "small-1", capacity, equal); over > 1 {
		t.Errorf("a small workspace gets %v of its share", over)
	}
	if over := shares.Overuse(now.Add(time.Second), "flood", 10*capacity, equal); over != 0 {
		t.Errorf("overuse %v while all is granted", over)
	}
}

// What other daemons see of a workspace counts.
func TestOveruseCountsTheFleet(t *testing.T) {
	shares := NewShares()
	for range 50 {
		shares.Asked(start, "w", 2000)
		shares.Granted(start, "w", 1000)
		shares.Asked(start, "v", 2000)
		shares.Granted(start, "v", 1000)
	}
	before := shares.Overuse(start, "w", 40000, equal)
	shares.SetPeer(start, Source{Domain: "z2"}, map[ports.WorkspaceID]Rates{"w": {Asked: 50000, Granted: 50000}})
	after := shares.Overuse(start.Add(time.Second), "w", 40000, equal)
	if after <= before {
		t.Errorf("overuse %v before, %v after another domain told of more", before, after)
	}
	sums := shares.DomainRates(start.Add(time.Second))
	if sums["w"].Asked > 50000 {
		t.Errorf("the sums of this domain include another's: %v", sums["w"])
	}
}

func TestFairLevelIsMaxMin(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("the level uses the capacity up, and no more", prop.ForAll(func(asked []float64, capacity float64) bool {
		totals := make(map[ports.WorkspaceID]Rates)
		sum := 0.0
		for i, rate := range asked {
			totals[ports.WorkspaceID(fmt.Sprint(i))] = Rates{Asked: rate}
			sum += rate
		}
		level := fairLevel(totals, capacity, equal)
		if sum <= capacity {
			return math.IsInf(level, 1)
		}
		used := 0.0
		for _, rate := range asked {
			used += min(rate, level)
		}
		return math.Abs(used-capacity) < 1e-6*capacity
	}, gen.SliceOf(gen.Float64Range(1, 1000)), gen.Float64Range(10, 5000)))
	properties.TestingRun(t)
}

func TestReportFadesToItsUsualAmount(t *testing.T) {
	reports := NewReports()
	key := ServerKey{Service: "s", Server: "e"}
	now := start
	for i := range uint64(40) {
		waiting := 0
		if i%4 == 0 {
			waiting = 8000
		}
		now = now.Add(100 * time.Millisecond)
		reports.Take(now, i+1, map[ServerKey]Load{key: {Calls: 3, Waiting: waiting}})
	}
	reports.Take(now, 41, map[ServerKey]Load{key: {Calls: 3, Waiting: 8000}})
	at := func(age time.Duration) Load {
		sums := make(map[ServerKey]Load)
		reports.AddTo(now.Add(age), sums)
		return sums[key]
	}
	if fresh := at(0); fresh.Waiting != 8000 {
		t.Errorf("fresh: %+v", fresh)
	}
	if old := at(time.Second); old.Waiting < 1000 || old.Waiting > 5000 || old.Calls != 3 {
		t.Errorf("after a second: %+v, want about the usual 2000", old)
	}
	if lost := at(2 * reportLasts); !lost.IsZero() {
		t.Errorf("from a daemon that is silent: %+v", lost)
	}
	if reports.Current(now, 41) {
		t.Error("an old report counts as new")
	}
}

func TestComeBackLeavesTimeAndSpreads(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	properties.Property("within a third of what is left", prop.ForAll(func(left, expected int64, random float64) bool {
		limit := time.Duration(left) * time.Millisecond / 3
		wait := ComeBack(time.Duration(left)*time.Millisecond, time.Duration(expected)*time.Millisecond, random)
		return wait >= 0 && wait <= max(limit, 0) && wait <= latest
	}, gen.Int64Range(0, 20000), gen.Int64Range(0, 5000), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
	if ComeBack(15*time.Second, 0, 0.9)-ComeBack(15*time.Second, 0, 0.1) < time.Second {
		t.Error("those who were refused together return together")
	}
}

// Load pattern: the callers of one workspace all reach one daemon that has no
// processor time for them, and those of another one idle servers everywhere. The
// latter may get so much more that the first gets less than half of it.
func TestWorkspaceFarAboveAHungryOneIsCapped(t *testing.T) {
	for name, c := range map[string]struct {
		hungry, far Rates
		capped      bool
	}{
		"hungry":    {Rates{Asked: 4000, Granted: 1500}, Rates{Asked: 20_000, Granted: 8000}, true},
		"fair":      {Rates{Asked: 4000, Granted: 1500}, Rates{Asked: 20_000, Granted: 2500}, false},
		"satisfied": {Rates{Asked: 4000, Granted: 3500}, Rates{Asked: 20_000, Granted: 8000}, false},
		// Nobody is held below the fair level, whoever else gets nothing.
		"starved": {Rates{Asked: 4000, Granted: 10}, Rates{Asked: 20_000, Granted: 900}, false},
		// What a workspace within its share lacks is not for want of capacity.
		"small": {Rates{Asked: 800, Granted: 10}, Rates{Asked: 20_000, Granted: 8000}, false},
	} {
		s := NewShares()
		s.SetPeer(start, Source{Daemon: "d2"}, map[ports.WorkspaceID]Rates{"hungry": c.hungry, "far": c.far})
		const capacity = 2000
		if overuse := s.Overuse(start, "far", capacity, equal); overuse == 0 {
			t.Fatalf("%s: the capacity suffices", name)
		}
		if got := s.Capped("far", equal); got != c.capped {
			t.Errorf("%s: capped %v", name, got)
		}
		if s.Capped("hungry", equal) {
			t.Errorf("%s: the hungry workspace is capped", name)
		}
	}
}
