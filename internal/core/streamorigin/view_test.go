package streamorigin

import (
	"slices"
	"testing"
	"time"
)

// observed returns a view after observations of the list, one a second.
func observed(now *time.Time, lists ...ListObservation) *VersionView {
	view := NewVersionView()
	observe(now, view, lists...)
	return view
}

func observe(now *time.Time, view *VersionView, lists ...ListObservation) {
	for _, list := range lists {
		*now = now.Add(time.Second)
		view.Observe(*now, list)
	}
}

// listed returns a fresh list of the versions for some seconds.
func listed(seconds int, versions ...string) []ListObservation {
	return slices.Repeat([]ListObservation{{Versions: versions, Fresh: true}}, seconds)
}

const lifetimeSeconds = int(Lifetime / time.Second)

// The servers of the old version have left the list; streams that they began are still
// in progress, here or at callers that are about to resume them.
func TestVersionStaysPossibleAfterItsServersLeft(t *testing.T) {
	now := time.Unix(1, 0)
	view := observed(&now, slices.Concat(listed(1, "v1"), listed(1, "v1", "v2"), listed(lifetimeSeconds-1, "v2"))...)
	if got := view.Possible(now); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("got %v", got)
	}
	observe(&now, view, listed(1, "v2")...)
	if got := view.Possible(now); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("got %v after the lifetime of streams", got)
	}
}
