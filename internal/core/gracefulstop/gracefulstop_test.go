package gracefulstop

import (
	"testing"
	"time"
)

// Calls were cut off before the last sixth of a grace period under 4.2 s, and taken until
// then where the announcement was as long.
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
}

func TestWithoutKillCallsAreNotRefused(t *testing.T) {
	limits := Limits{Timeout: time.Minute, AnnouncePeriod: 2 * time.Second}
	if got := Plan(limits); got != (Schedule{AnnounceUntil: 2 * time.Second, CutAt: time.Minute}) {
		t.Errorf("got %+v", got)
	}
}

// A second SIGTERM cut off the calls in progress.
func TestOnlyInterruptCutsStopInProgress(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, first := range []Request{RequestStop, RequestInterrupt} {
		var requests Requests
		for i, step := range []struct {
			request Request
			want    Action
		}{
			{first, ActionBegin}, {RequestStop, ActionNone}, {RequestStop, ActionNone}, {RequestInterrupt, ActionCut},
			{RequestStop, ActionNone},
		} {
			action, beganAt := requests.Receive(start.Add(time.Duration(i)*time.Second), step.request)
			if action != step.want || !beganAt.Equal(start) {
				t.Errorf("request %d: %v of the stop of %v, want %v", i, action, beganAt, step.want)
			}
		}
	}
}
