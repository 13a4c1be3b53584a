package dispatch

import (
	"testing"
	"time"

	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

// fakeListFeed is an empty list with a version.
type fakeListFeed struct{ version uint64 }

func (f *fakeListFeed) Digest() ports.ServerListDigest {
	return ports.ServerListDigest{Version: f.version}
}
func (f *fakeListFeed) Snapshot() ports.ServerListPush {
	return ports.ServerListPush{Version: f.version}
}
func (f *fakeListFeed) Adopt(list ports.ServerListPush) {
	f.version = list.Version
}
func (f *fakeListFeed) SetWatching(bool) {}

func TestFewDaemonsOfLargeFleetWatchTheList(t *testing.T) {
	now := time.Now()
	l := newListExchange(&fakeListFeed{version: 5})
	l.startedAt = now.Add(-time.Minute)
	l.shouldPull(now, ports.ServerListDigest{Version: 5, Watching: true}, ports.ServerListDigest{Version: 5})
	for _, c := range []struct {
		daemons, rank int
		at            time.Time
		want          bool
	}{
		{daemons: 9, rank: 2, at: now, want: true},
		{daemons: 60, rank: watchersPerDomain - 1, at: now, want: true},
		{daemons: 60, rank: watchersPerDomain, at: now, want: false},
		{daemons: 60, rank: 9, at: now.Add(watcherReportLifetime), want: true},
	} {
		if got := l.shouldWatch(c.at, c.daemons, c.rank); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestListIsReadOnceDuringStartup(t *testing.T) {
	feed := &fakeListFeed{}
	l := newListExchange(feed)
	if !l.shouldWatch(l.startedAt, 1, 0) {
		t.Error("a daemon without a list does not read it")
	}
	feed.version = 7
	if l.shouldWatch(l.startedAt.Add(membership.DiscoveryPeriod-1), 1, 0) {
		t.Error("a daemon that does not know the others yet watches the list")
	}
	if !l.shouldWatch(l.startedAt.Add(membership.DiscoveryPeriod), 1, 0) {
		t.Error("a daemon that is alone does not watch the list")
	}
}

// All daemons of a large fleet start at once, and none has heard of a watcher yet.
func TestFirstDaemonsWatchTheListFromTheStart(t *testing.T) {
	l := newListExchange(&fakeListFeed{version: 7})
	for _, sinceStart := range []time.Duration{0, membership.DiscoveryPeriod, watcherReportLifetime - 1} {
		at := l.startedAt.Add(sinceStart)
		if !l.shouldWatch(at, 60, 0) {
			t.Errorf("the first daemon of its failure domain does not watch after %v", sinceStart)
		}
		if l.shouldWatch(at, 60, 1) {
			t.Errorf("a further daemon watches after %v", sinceStart)
		}
	}
	if !l.shouldWatch(l.startedAt.Add(watcherReportLifetime), 60, watchersPerDomain) {
		t.Error("a daemon that hears of no watcher does not watch")
	}
}

func TestNewerListIsPulledAtLimitedRate(t *testing.T) {
	now := time.Now()
	l := newListExchange(&fakeListFeed{})
	own := ports.ServerListDigest{Version: 5}
	if l.shouldPull(now, ports.ServerListDigest{Version: 5}, own) {
		t.Error("the same list is pulled")
	}
	if !l.shouldPull(now, ports.ServerListDigest{Version: 6}, own) {
		t.Error("a newer list is not pulled")
	}
	if l.shouldPull(now.Add(minPullInterval/2), ports.ServerListDigest{Version: 6}, own) {
		t.Error("the list is pulled twice at once")
	}
}

// A daemon that has read the restored store has a list of a lower revision. The others
// pull it, and it pulls none of theirs.
func TestListOfLaterEraIsPulledWhateverItsRevision(t *testing.T) {
	now := time.Now()
	l := newListExchange(&fakeListFeed{})
	before, after := ports.ServerListDigest{Era: 1, Version: 100}, ports.ServerListDigest{Era: 2, Version: 40}
	if !l.shouldPull(now, after, before) {
		t.Error("the list of the later era is not pulled")
	}
	if l.shouldPull(now.Add(minPullInterval), before, after) {
		t.Error("the list of the earlier era is pulled")
	}
}

// One daemon of each failure domain watches the evacuations. If it is lost or the platform
// doesn't answer it, some others do, and a daemon that hears of none watches by itself.
func TestFewDaemonsWatchEvacuations(t *testing.T) {
	now := time.Now()
	e := newEvacuationExchange(nil)
	e.startedAt = now.Add(-time.Minute)
	version := ports.StoreVersion{Era: 1, Revision: 5}
	own := ports.ServerListDigest{Era: 1, Version: 5}
	watching := own
	watching.Watching = true
	e.shouldPull(now, watching, own)
	lost := now.Add(watcherReportLifetime)
	check := func(at time.Time, rank int, want bool) {
		t.Helper()
		if got := e.shouldWatch(at, version, 60, rank); got != want {
			t.Errorf("rank %d after %v: %v", rank, at.Sub(now), got)
		}
	}
	check(now, 0, true)
	check(now, 1, false)
	e.shouldPull(lost, own, own)
	check(lost, 1, true)
	check(lost, evacuationSubstitutes, false)
	check(lost.Add(watcherReportLifetime), 9, true)
	e.startedAt = now
	check(now, 0, true)
	check(now, 1, false)
	if !e.shouldWatch(now, ports.StoreVersion{}, 1, 0) {
		t.Error("a daemon that has just started does not read the evacuations")
	}
	check(now.Add(evacuationStartupPeriod), 0, true)
}
