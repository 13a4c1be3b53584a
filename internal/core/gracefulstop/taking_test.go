package gracefulstop

import (
	"testing"
	"time"
)

// A daemon took whatever came in the announcement of its stop, and cut drafts that last longer
// than the rest of the stop.
func TestCallsThatOutlastTheStopAreNotTaken(t *testing.T) {
	const left, deadline = 5 * time.Second, 15 * time.Second
	short := &Estimate{Wait: time.Second, Longest: 3 * time.Second}
	varying := &Estimate{Wait: time.Second / 2, Longest: 4500 * time.Millisecond}
	queued := &Estimate{Wait: 3 * time.Second, Longest: 3 * time.Second}
	for _, tt := range []struct {
		name               string
		outlook            Outlook
		wantTake, wantSend bool
	}{
		{"length unknown", Outlook{UntilDeadline: deadline}, false, false},
		{"repeatable, length unknown", Outlook{UntilDeadline: deadline, Repeatable: true}, false, false},
		{"caller leaves before the cut", Outlook{UntilDeadline: left, Estimate: varying}, true, true},
		{"caller leaves before the cut, length unknown", Outlook{UntilDeadline: left}, true, true},
		{"short", Outlook{UntilDeadline: deadline, Estimate: short}, true, true},
		{"sometimes long", Outlook{UntilDeadline: deadline, Estimate: varying}, false, false},
		{"sometimes long, repeatable", Outlook{UntilDeadline: deadline, Estimate: varying, Repeatable: true}, true, true},
		{"long wait", Outlook{UntilDeadline: deadline, Estimate: queued}, false, true},
	} {
		tt.outlook.UntilCut = left
		if take, send := ShouldTake(tt.outlook), ShouldSend(tt.outlook); take != tt.wantTake || send != tt.wantSend {
			t.Errorf("%s: taken %v, sent %v", tt.name, take, send)
		}
	}
}

// Replays callers of two kinds beside a flood, in which waits grow and the answers get slower.
func TestEstimateFollowsTheLatestCalls(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lengths := NewLengths[string]()
	record := func(at time.Duration, kind string, units int, pace time.Duration) {
		lengths.Record(start.Add(at), kind, Length{
			Waited: pace, FirstByte: 10 * pace, Rest: time.Duration(units) * pace, Units: units,
		})
	}
	expect := func(at time.Duration, kind string, units int, want Estimate, wantOK bool) {
		t.Helper()
		if got, ok := lengths.Estimate(start.Add(at), kind, units); ok != wantOK || got != want {
			t.Errorf("%s of %d after %v: %+v, %v", kind, units, at, got, ok)
		}
	}
	const calm, flooded = time.Millisecond, 4 * time.Millisecond
	for i := range minLengths - 1 {
		record(0, "draft", 100*(i+1), calm)
	}
	expect(0, "draft", 100, Estimate{}, false)
	record(0, "draft", 500, calm)
	expect(0, "draft", 1000, Estimate{Wait: calm, Longest: 1010 * calm}, true)
	expect(0, "question", 1000, Estimate{}, false)
	record(time.Second, "draft", 5, flooded)
	expect(time.Second, "draft", 1000, Estimate{Wait: calm, Longest: 1010 * flooded}, true)
	for runningUnits, want := range map[int]time.Duration{2000: 1010 * flooded, 500: 8 * time.Second} {
		var running Running
		running.Include(runningUnits, 8*time.Second)
		estimate, _ := lengths.Estimate(start.Add(time.Second), "draft", 1000)
		if estimate.IncludeRunning(running, 1000); estimate.Longest != want {
			t.Errorf("longest %v beside a call of %d that runs for 8 s", estimate.Longest, runningUnits)
		}
	}
	for range maxLengths {
		record(2*time.Second, "draft", 0, flooded)
	}
	want := Estimate{Wait: flooded, Longest: 10 * flooded}
	expect(2*time.Second+lengthLifetime, "draft", 1000, want, true)
	expect(3*time.Second+lengthLifetime, "draft", 1000, Estimate{}, false)
}

// The number of kinds follows the configuration, which callers may use whole.
func TestLengthsOfManyKindsAreBounded(t *testing.T) {
	lengths := NewLengths[int]()
	for kind := range 10 * maxKinds {
		lengths.Record(time.Unix(int64(kind), 0), kind, Length{})
	}
	if _, ok := lengths.kinds[10*maxKinds-1]; !ok || len(lengths.kinds) != maxKinds {
		t.Errorf("%d kinds, the last of them %v", len(lengths.kinds), ok)
	}
}
