package dispatch

import (
	"math"
	"sync"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

const (
	// maxDaemonsAllWatching is the largest fleet in which each daemon watches
	// the platform's list of backend servers itself.
	maxDaemonsAllWatching = 12
	// watchersPerDomain is the number of daemons of a failure domain that do so
	// in a larger fleet: every watch costs a call.
	watchersPerDomain = 3
	// watcherReportLifetime is how long another daemon's report that it watches
	// the list counts. Without one, this daemon watches the list itself.
	watcherReportLifetime = 2500 * time.Millisecond
	// startupPeriod is how long after its start a daemon without a list reads it itself,
	// whoever watches.
	startupPeriod = 5 * time.Second
	// minPullInterval is the least time between two requests for a list.
	minPullInterval = 300 * time.Millisecond
)

// listExchange brings the list of backend servers to the daemons that don't
// watch it at the platform.
type listExchange struct {
	feed ports.ServerListFeed
	watchExchange
}

func newListExchange(feed ports.ServerListFeed) *listExchange {
	return &listExchange{feed: feed, watchExchange: watchExchange{
		startedAt: time.Now(), startupPeriod: startupPeriod,
		policy:               membership.WatchPolicy{MaxAllWatching: maxDaemonsAllWatching, PerDomain: watchersPerDomain},
		substitutesPerDomain: math.MaxInt,
	}}
}

// watchExchange decides which daemons watch a list at the platform, and when the others
// pull it from one that has a newer one. No other lock is taken while its mutex is held.
type watchExchange struct {
	startedAt time.Time
	// startupPeriod is how long after startedAt a daemon without a list reads it itself.
	startupPeriod time.Duration
	policy        membership.WatchPolicy
	// substitutesPerDomain is the number of daemons of a failure domain that watch when
	// no watcher reports that the platform answers it.
	substitutesPerDomain int

	mu sync.Mutex
	// watcherReportedAt is when a daemon last reported that it watches the
	// list.
	watcherReportedAt time.Time
	// reportedAt is when a daemon last reported its version.
	reportedAt time.Time
	pulledAt   time.Time
}

func (m *Manager) registerListHandlers() {
	if m.lists.feed == nil {
		return
	}
	m.transport.Handle(ports.KindServerListPull,
		func() ports.Message { return &ports.ServerListPull{} },
		func(from ports.DaemonID, message ports.Message) {
			list, have := m.lists.feed.Snapshot(), message.(*ports.ServerListPull).StoreVersion()
			if list.StoreVersion().IsNewerThan(have) {
				m.transport.Send(from, &list)
			}
		})
	m.transport.Handle(ports.KindServerListPush,
		func() ports.Message { return &ports.ServerListPush{} },
		func(_ ports.DaemonID, message ports.Message) {
			m.lists.feed.Adopt(*message.(*ports.ServerListPush))
		})
}

func (m *Manager) listDigest() ports.ServerListDigest {
	if m.lists.feed == nil {
		return ports.ServerListDigest{}
	}
	return m.lists.feed.Digest()
}

// pullNewerList requests a daemon's list if that is newer than this daemon's.
func (m *Manager) pullNewerList(from ports.DaemonID, digest ports.ServerListDigest) {
	if m.lists.feed == nil {
		return
	}
	own := m.lists.feed.Digest()
	if m.lists.shouldPull(time.Now(), digest, own) {
		m.transport.Send(from, &ports.ServerListPull{Have: own.Version, HaveEra: own.Era})
	}
}

func (l *watchExchange) shouldPull(now time.Time, reported, own ports.ServerListDigest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt = now
	if reported.Watching {
		l.watcherReportedAt = now
	}
	if !reported.StoreVersion().IsNewerThan(own.StoreVersion()) || now.Sub(l.pulledAt) < minPullInterval {
		return false
	}
	l.pulledAt = now
	return true
}

// updateListWatch decides whether this daemon watches the list itself: in a
// small fleet, as one of the first of its failure domain, or when no other
// daemon reports that it does.
func (m *Manager) updateListWatch(now time.Time) {
	if m.lists.feed == nil {
		return
	}
	daemons := m.directory.Daemons()
	rank := rankInDomain(m.directory.Self(), daemons)
	m.lists.feed.SetWatching(m.lists.shouldWatch(now, len(daemons), rank))
}

// rankInDomain returns the number of daemons of the failure domain that precede this one.
func rankInDomain(self ports.VM, daemons []ports.VM) int {
	rank := 0
	for _, daemon := range daemons {
		if daemon.Domain == self.Domain && core.CompareByNameHash(daemon, self) < 0 {
			rank++
		}
	}
	return rank
}

// isFresh reports whether this daemon or another one that reports its list watches the
// platform's list.
func (l *listExchange) isFresh(now time.Time) bool {
	if l.feed == nil || l.feed.Digest().Watching {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.watcherReportedAt) < watcherReportLifetime
}

// shouldWatch reports whether to watch the list, in a fleet with the given
// number of daemons, of which rank in this failure domain precede this one.
func (l *listExchange) shouldWatch(now time.Time, daemons, rank int) bool {
	return l.watchExchange.shouldWatch(now, l.feed.Digest().StoreVersion(), daemons, rank)
}

// shouldWatch reports whether to watch the list of the given version.
func (l *watchExchange) shouldWatch(now time.Time, version ports.StoreVersion, daemons, rank int) bool {
	sinceStart := now.Sub(l.startedAt)
	isUnread := sinceStart < l.startupPeriod && version == ports.StoreVersion{}
	if isUnread || l.policy.IsWatcher(sinceStart, daemons, rank) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The reports of daemons that start together take a while to arrive, too.
	if sinceStart < watcherReportLifetime || now.Sub(l.watcherReportedAt) < watcherReportLifetime {
		return false
	}
	return rank < l.substitutesPerDomain || now.Sub(l.reportedAt) >= watcherReportLifetime
}
