package slots

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

func TestWindowDoublesUntilCongestionThenGrowsByOne(t *testing.T) {
	w := NewWindow(32)
	for range 4 {
		w.Grow(true)
	}
	if w.Size() != 8 {
		t.Fatalf("window is %d after one round of 4, want 8", w.Size())
	}
	w.Shrink(start)
	if w.Size() != 6 {
		t.Fatalf("window is %d after congestion, want 6", w.Size())
	}
	for range 7 {
		w.Grow(true)
	}
	if w.Size() != 7 {
		t.Errorf("window is %d after one more round, want 7", w.Size())
	}
}

func TestWindowStaysWithinItsBounds(t *testing.T) {
	w := NewWindow(8)
	for range 100 {
		w.Grow(true)
	}
	if w.Size() != 8 {
		t.Errorf("window is %d, want the limit 8", w.Size())
	}
	for i := range 100 {
		w.Shrink(start.Add(time.Duration(i) * time.Minute))
	}
	if w.Size() != minWindow {
		t.Errorf("window is %d, want %d", w.Size(), minWindow)
	}
}

func TestUnusedWindowDoesNotGrow(t *testing.T) {
	w := NewWindow(32)
	w.Grow(false)
	if w.Size() != initialWindow {
		t.Errorf("window is %d, want %d", w.Size(), initialWindow)
	}
}

func TestCongestionBurstShrinksWindowOnce(t *testing.T) {
	w := NewWindow(8)
	w.size = 8
	w.Shrink(start)
	w.Shrink(start.Add(minDecreaseInterval / 2))
	if w.Size() != 6 {
		t.Errorf("window is %d, want 6", w.Size())
	}
}

func TestUnreachableServerIsExcludedLongerEachTime(t *testing.T) {
	s := &server{owned: true, window: NewWindow(8)}
	s.observeRun(start, ports.RunReport{Fault: ports.ServerFaultUnreachable}, 0)
	if s.isUsable(start) || !s.isUsable(start.Add(initialExclusion)) {
		t.Fatal("want an exclusion of initialExclusion")
	}
	again := start.Add(initialExclusion)
	s.observeRun(again, ports.RunReport{Fault: ports.ServerFaultUnreachable}, 0)
	if s.isUsable(again.Add(initialExclusion)) || !s.isUsable(again.Add(2*initialExclusion)) {
		t.Error("want an exclusion of twice initialExclusion")
	}
	s.observeRun(again, ports.RunReport{FirstByteAfter: time.Millisecond}, 0)
	if s.consecutiveFaults != 0 {
		t.Error("an answer must reset the consecutive faults")
	}
}

func TestWaitingCallsInLoadReportSetCeiling(t *testing.T) {
	w := NewWindow(32)
	w.size = 30
	w.ObserveLoad(start, 8, 22)
	if w.Size() != 8 {
		t.Fatalf("window is %d, want the 8 that run", w.Size())
	}
	for range 50 {
		w.Grow(true)
	}
	if w.Size() != 8 {
		t.Fatalf("window grew to %d, want at most the 8 that the report allows", w.Size())
	}
}

func TestCeilingOfFullServerRisesAfterInterval(t *testing.T) {
	w := NewWindow(32)
	w.size = 8
	w.ObserveLoad(start, 8, 1)
	w.ObserveLoad(start.Add(ceilingRaiseInterval/2), 8, 0)
	for range 50 {
		w.Grow(true)
	}
	if w.Size() != 8 {
		t.Fatalf("window is %d before ceilingRaiseInterval has passed, want 8", w.Size())
	}
	w.ObserveLoad(start.Add(ceilingRaiseInterval), 8, 0)
	for range 50 {
		w.Grow(true)
	}
	if w.Size() != 9 {
		t.Errorf("window is %d after ceilingRaiseInterval, want 9", w.Size())
	}
}

func TestSingleLowLoadReportDoesNotShrinkWindow(t *testing.T) {
	w := NewWindow(32)
	w.size = 8
	w.ObserveLoad(start, 8, 1)
	w.ObserveLoad(start.Add(time.Second), 6, 1)
	if w.Size() != 8 {
		t.Errorf("window is %d, want 8", w.Size())
	}
}

func TestServerThatFailsProbesIsExcludedUntilItAnswers(t *testing.T) {
	s := &server{owned: true, window: NewWindow(8)}
	s.observeProbe(start, false)
	if !s.isUsable(start) {
		t.Fatal("one failed probe must not exclude the server")
	}
	s.observeProbe(start, false)
	if s.isUsable(start) {
		t.Fatal("two failed probes must exclude the server")
	}
	s.observeProbe(start, true)
	if !s.isUsable(start) {
		t.Error("an answered probe must end the exclusion")
	}
}

func TestIdleServerIsProbedLessOften(t *testing.T) {
	s := &server{owned: true, window: NewWindow(8)}
	countProbes := func(inUse int) int {
		s.inUse, s.nextProbeAt = inUse, start
		count := 0
		for at := start; at.Before(start.Add(2 * probeInterval)); at = at.Add(slowStartProbeInterval) {
			if s.startProbeIfDue(at) {
				count++
			}
		}
		return count
	}
	if idle, busy := countProbes(0), countProbes(1); idle != 2 || busy != 8 {
		t.Errorf("probed %d times when idle and %d in slow start, want 2 and 8", idle, busy)
	}
}
