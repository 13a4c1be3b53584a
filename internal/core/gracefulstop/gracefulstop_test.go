package gracefulstop

import (
	"testing"
	"time"
)

// Calls were cut off before the last sixth of a grace period under 4.2 s, and taken until
// then where the announcement was as long. A planned stop was cut off before a kill that doesn't
// follow it.
func TestShortGracePeriodLeavesCallsTheirTime(t *testing.T) {
	for grace := time.Second; grace <= 20*time.Second; grace += 100 * time.Millisecond {
		for _, announce := range []time.Duration{0, time.Second, 2500 * time.Millisecond, time.Minute} {
			s := Plan(Limits{Timeout: 15 * time.Minute, KillAfter: grace, AnnouncePeriod: announce})
			if s.CutAt < grace*5/6 || s.CutAt >= grace {
				t.Errorf("grace period %v: calls are cut off after %v", grace, s.CutAt)
			}
			if s.AnnounceUntil > s.CutAt/2 || s.RefuseUntil <= s.AnnounceUntil || s.RefuseUntil >= s.CutAt {
				t.Errorf("grace period %v, announcement %v: %+v", grace, announce, s)
			}
		}
	}
	want := Schedule{AnnounceUntil: 2500 * time.Millisecond, RefuseUntil: 6800 * time.Millisecond, CutAt: 7300 * time.Millisecond}
	limits := Limits{Timeout: 15 * time.Minute, KillAfter: 8 * time.Second, AnnouncePeriod: 2500 * time.Millisecond}
	if got := Plan(limits); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want.CutAt = limits.Timeout
	if got := PlanWithoutKill(limits); got != want {
		t.Errorf("planned: got %+v, want %+v", got, want)
	}
}

func TestWithoutKillCallsAreNotRefused(t *testing.T) {
	limits := Limits{Timeout: time.Minute, AnnouncePeriod: 2 * time.Second}
	if got := Plan(limits); got != (Schedule{AnnounceUntil: 2 * time.Second, CutAt: time.Minute}) {
		t.Errorf("got %+v", got)
	}
}

// A second SIGTERM cut off the calls in progress. A signal in a planned stop is followed by the
// platform's kill, which nothing limits before.
func TestOnlyInterruptCutsStopInProgress(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, steps := range [][]struct {
		request Request
		want    Action
	}{
		{{RequestStop, ActionBegin}, {RequestStop, ActionNone}, {RequestStop, ActionNone}, {RequestPlanned, ActionNone}, {RequestInterrupt, ActionCut}, {RequestStop, ActionNone}},
		{{RequestInterrupt, ActionBegin}, {RequestStop, ActionNone}, {RequestStop, ActionNone}, {RequestInterrupt, ActionCut}, {RequestStop, ActionNone}},
		{{RequestPlanned, ActionBegin}, {RequestPlanned, ActionNone}, {RequestStop, ActionLimit}, {RequestStop, ActionNone}, {RequestInterrupt, ActionCut}},
		{{RequestPlanned, ActionBegin}, {RequestInterrupt, ActionCut}, {RequestStop, ActionNone}},
	} {
		var requests Requests
		for i, step := range steps {
			action, beganAt := requests.Receive(start.Add(time.Duration(i)*time.Second), step.request)
			if action != step.want || !beganAt.Equal(start) {
				t.Errorf("request %d of %v: %v of the stop of %v, want %v", i, steps, action, beganAt, step.want)
			}
		}
	}
}
