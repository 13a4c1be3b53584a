package overload

import (
	"testing"
	"time"
)

// A late daemon is stopped while its callers keep the connections that it relays in use.
func TestConnectionOfStoppingRelayIsClosedAndThenRefused(t *testing.T) {
	cases := map[string]struct {
		age           time.Duration
		relay         RelayState
		close, refuse bool
	}{
		"young":                      {time.Second, RelayOpen, false, false},
		"old":                        {takenOverLifetime, RelayOpen, true, false},
		"young, relay stops":         {0, RelayStateOf(false), true, false},
		"young, relay refuses":       {0, RelayStateOf(true), true, true},
		"old, relay refuses as well": {time.Minute, RelayStateOf(true), true, true},
	}
	for name, c := range cases {
		if got := ShouldCloseTakenOver(c.age, c.relay); got != c.close {
			t.Errorf("%s: closes %v", name, got)
		}
		if got := ShouldRefuseTakenOver(0, c.relay); got != c.refuse {
			t.Errorf("%s: refuses %v", name, got)
		}
	}
}

// Replays a connection in use while reports of its relay are lost, at each phase of their period.
func TestCallsAreRefusedBeforeSilentRelayRefusesThem(t *testing.T) {
	const step, end, announcement, never = 10 * time.Millisecond, 8 * time.Second, 2 * time.Second, time.Hour
	for name, tt := range map[string]struct {
		stopAt                 time.Duration
		isLost                 func(at time.Duration, report int) bool
		refusedFrom, refusedBy time.Duration
	}{
		"none lost":       {never, func(time.Duration, int) bool { return false }, never, never},
		"each second one": {never, func(_ time.Duration, report int) bool { return report%2 == 0 }, never, never},
		"broken session":  {never, func(at time.Duration, _ int) bool { return at >= 3*time.Second && at < 4*time.Second }, never, never},
		"all lost":        {0, func(time.Duration, int) bool { return true }, takenOverLifetime, announcement},
		"all of the stop": {5 * time.Second, func(at time.Duration, _ int) bool { return false }, 5 * time.Second, 5*time.Second + announcement},
	} {
		for phase := time.Duration(0); phase < VouchInterval; phase += step {
			heardAt, refusedAt, reports := time.Duration(0), never, 0
			for at := time.Duration(0); at < end; at += step {
				if at%VouchInterval == phase && at < tt.stopAt && ShouldVouch(at) {
					if !tt.isLost(at, reports) {
						heardAt = at
					}
					reports++
				}
				if ShouldRefuseTakenOver(at-heardAt, RelayOpen) {
					refusedAt = min(refusedAt, at)
					if !ShouldCloseTakenOver(at, RelayOpen) {
						t.Fatalf("%s: the connection is kept at %v", name, at)
					}
				}
			}
			if refusedAt < tt.refusedFrom || refusedAt > tt.refusedBy {
				t.Errorf("%s, phase %v: refused from %v on", name, phase, refusedAt)
			}
		}
	}
}
