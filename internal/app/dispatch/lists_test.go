package dispatch

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// fakeFeed is a list with a version.
type fakeFeed struct{ version uint64 }

func (f *fakeFeed) Digest() ports.ServerListDigest { return ports.ServerListDigest{Version: f.version} }
func (f *fakeFeed) Snapshot() ports.ServerListPush { return ports.ServerListPush{Version: f.version} }
func (f *fakeFeed) Adopt(list ports.ServerListPush) {
	f.version = list.Version
}
func (f *fakeFeed) SetWatching(bool) {}

func TestFewDaemonsOfALargeFleetFollowTheList(t *testing.T) {
	now := time.Now()
	l := newListExchange(&fakeFeed{version: 5})
	l.started = now.Add(-time.Minute)
	l.shouldPull(now, ports.ServerListDigest{Version: 5, Watching: true}, ports.ServerListDigest{Version: 5})
	for _, c := range []struct {
		daemons, rank int
		at            time.Time
		want          bool
	}{
		{daemons: 9, rank: 2, at: now, want: true},
		{daemons: 60, rank: followersPerDomain - 1, at: now, want: true},
		{daemons: 60, rank: followersPerDomain, at: now, want: false},
		{daemons: 60, rank: 9, at: now.Add(heardWithin), want: true},
	} {
		if got := l.wanted(c.at, c.daemons, c.rank); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestListIsReadOnceWhileTheFleetIsUnknown(t *testing.T) {
	feed := &fakeFeed{}
	l := newListExchange(feed)
	if !l.wanted(l.started, 1, 0) {
		t.Error("a daemon without a list does not read it")
	}
	feed.version = 7
	if l.wanted(l.started.Add(startFor/2), 1, 0) {
		t.Error("a daemon that can't know the others follows the list")
	}
}

func TestOnlyANewerListIsPulledAndNotTooOften(t *testing.T) {
	now := time.Now()
	l := newListExchange(&fakeFeed{})
	own := ports.ServerListDigest{Version: 5}
	if l.shouldPull(now, ports.ServerListDigest{Version: 5}, own) {
		t.Error("the same list is pulled")
	}
	if !l.shouldPull(now, ports.ServerListDigest{Version: 6}, own) {
		t.Error("a newer list is not pulled")
	}
	if l.shouldPull(now.Add(pullEvery/2), ports.ServerListDigest{Version: 6}, own) {
		t.Error("the list is pulled twice at once")
	}
}

func TestRelaysAreTheFirstOfTheirDomain(t *testing.T) {
	daemons := []ports.VM{
		{Name: "a", Domain: "z1"}, {Name: "b", Domain: "z1"}, {Name: "c", Domain: "z1"}, {Name: "d", Domain: "z1"},
		{Name: "e", Domain: "z2"},
	}
	found := 0
	for _, self := range daemons {
		near, far, relay := neighbours(self, daemons)
		if len(near)+len(far) != len(daemons)-1 {
			t.Errorf("%s has %d near and %d far", self.Name, len(near), len(far))
		}
		if relay && self.Domain == "z1" {
			found++
		}
	}
	if found != relays {
		t.Errorf("%d relays in a domain of four", found)
	}
}
