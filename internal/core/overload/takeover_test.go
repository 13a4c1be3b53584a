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
		if got := ShouldRefuseTakenOver(c.relay); got != c.refuse {
			t.Errorf("%s: refuses %v", name, got)
		}
	}
}
