package dispatch

import (
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// followAll is the largest fleet in which each daemon follows the platform's
	// list of backend servers itself.
	followAll = 12
	// followersPerDomain is the number of daemons of a failure domain that do so
	// in a larger one: every watch costs a call.
	followersPerDomain = 3
	// heardWithin is how long another daemon's word counts that it follows the
	// list. Without one, this daemon follows itself.
	heardWithin = 2500 * time.Millisecond
	// startFor is how long the other daemons may be unknown after the start.
	startFor = 5 * time.Second
	// pullEvery is the least time between two requests for a list.
	pullEvery = 300 * time.Millisecond
)

// listExchange brings the list of backend servers to the daemons that do not
// follow it at the platform. Its mutex is a leaf.
type listExchange struct {
	feed ports.ServerListFeed

	started time.Time

	mu sync.Mutex
	// heard is when a daemon last said that it follows the list.
	heard  time.Time
	pulled time.Time
}

func newListExchange(feed ports.ServerListFeed) *listExchange {
	return &listExchange{feed: feed, started: time.Now()}
}

func (m *Manager) handleLists() {
	if m.lists.feed == nil {
		return
	}
	m.transport.Handle(ports.KindServerListPull,
		func() ports.Message { return &ports.ServerListPull{} },
		func(from ports.DaemonID, message ports.Message) {
			if list := m.lists.feed.Snapshot(); list.Version > message.(*ports.ServerListPull).Have {
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

// observeList asks a daemon for its list when that is newer.
func (m *Manager) observeList(from ports.DaemonID, digest ports.ServerListDigest) {
	if m.lists.feed == nil {
		return
	}
	own := m.lists.feed.Digest()
	if m.lists.shouldPull(time.Now(), digest, own) {
		m.transport.Send(from, &ports.ServerListPull{Have: own.Version})
	}
}

func (l *listExchange) shouldPull(now time.Time, told, own ports.ServerListDigest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if told.Watching {
		l.heard = now
	}
	if told.Version <= own.Version || now.Sub(l.pulled) < pullEvery {
		return false
	}
	l.pulled = now
	return true
}

// chooseFollowers decides whether this daemon follows the list itself: in a small
// fleet, as one of the first of its failure domain, or when no other is heard.
func (m *Manager) chooseFollowers(now time.Time) {
	if m.lists.feed == nil {
		return
	}
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	rank := 0
	for _, daemon := range daemons {
		if daemon.Domain == self.Domain && relayOrder(daemon, self) < 0 {
			rank++
		}
	}
	m.lists.feed.SetWatching(m.lists.wanted(now, len(daemons), rank))
}

// wanted says whether to follow, in a fleet of so many daemons of which rank in
// this failure domain come first. Just after the start the others are not known
// yet: the list is read once, and changes since then are found later.
func (l *listExchange) wanted(now time.Time, daemons, rank int) bool {
	if now.Sub(l.started) < startFor {
		return l.feed.Digest().Version == 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return daemons <= followAll || rank < followersPerDomain || now.Sub(l.heard) >= heardWithin
}
