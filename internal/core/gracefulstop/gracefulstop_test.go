package gracefulstop

import (
	"testing"
	"time"
)

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
