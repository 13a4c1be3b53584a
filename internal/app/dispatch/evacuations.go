package dispatch

import (
	"cmp"
	"slices"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

const (
	// evacuationStartupPeriod is how long after its start a daemon without a list reads it
	// itself, whoever watches.
	evacuationStartupPeriod = 2 * time.Second
	// evacuationWatchersPerDomain is the number of daemons of a failure domain that watch
	// the evacuations at the platform, and evacuationWatchersAlone the number where the
	// fleet has one domain: every watch costs a call, and one watcher may be lost.
	evacuationWatchersPerDomain = 1
	evacuationWatchersAlone     = 2
	// evacuationSubstitutes is the number of daemons of a failure domain that watch when
	// the platform answers none of the others. While it is down, the rest wait for them.
	evacuationSubstitutes = 4
	// evacuationReceiversPerDomain is the number of daemons of another failure domain that
	// are told of a change at once, and tell the rest of their domain.
	evacuationReceiversPerDomain = 2
	changeEvacuated              = "begun"
	changeReturned               = "ended"
)

// evacuationExchange brings the evacuated failure domains to the daemons that don't watch
// them at the platform.
type evacuationExchange struct {
	// feed is nil if the platform has no evacuations.
	feed ports.EvacuationFeed
	watchExchange
}

func newEvacuationExchange(feed ports.EvacuationFeed) *evacuationExchange {
	return &evacuationExchange{feed: feed, watchExchange: watchExchange{
		startedAt: time.Now(), startupPeriod: evacuationStartupPeriod,
		policy:               membership.WatchPolicy{PerDomain: evacuationWatchersPerDomain},
		substitutesPerDomain: evacuationSubstitutes,
	}}
}

// digest returns what to report of this daemon's list; nil without a feed.
func (e *evacuationExchange) digest() *ports.ServerListDigest {
	if e.feed == nil {
		return nil
	}
	digest := e.feed.Digest()
	return &digest
}

func (m *Manager) registerEvacuationHandlers() {
	feed := m.evacuations.feed
	if feed == nil {
		return
	}
	feed.OnStoreChange(m.spreadEvacuations)
	m.transport.Handle(ports.KindEvacuationPull,
		func() ports.Message { return &ports.EvacuationPull{} },
		func(from ports.DaemonID, message ports.Message) {
			list, have := feed.Snapshot(), message.(*ports.EvacuationPull).StoreVersion()
			if list.StoreVersion().IsNewerThan(have) {
				m.transport.Send(from, &list)
			}
		})
	m.transport.Handle(ports.KindEvacuationPush,
		func() ports.Message { return &ports.EvacuationPush{} },
		func(from ports.DaemonID, message ports.Message) {
			if feed.Adopt(*message.(*ports.EvacuationPush)) {
				m.relayEvacuations(from)
				m.signalChange()
			}
		})
}

// spreadEvacuations tells the other daemons of a change that this daemon has read at the
// platform: those of its failure domain, and some of each other domain.
func (m *Manager) spreadEvacuations() {
	self := m.directory.Self()
	domains := make(map[ports.FailureDomain][]ports.VM)
	for _, daemon := range m.directory.Daemons() {
		if daemon.Name != self.Name {
			domains[daemon.Domain] = append(domains[daemon.Domain], daemon)
		}
	}
	list := m.evacuations.feed.Snapshot()
	for domain, daemons := range domains {
		if domain != self.Domain {
			slices.SortFunc(daemons, core.CompareByNameHash)
			daemons = daemons[:min(len(daemons), evacuationReceiversPerDomain)]
		}
		m.sendEvacuations(daemons, list)
	}
	m.signalChange()
}

// relayEvacuations tells the daemons of this failure domain of a change that a daemon of
// another one has sent.
func (m *Manager) relayEvacuations(from ports.DaemonID) {
	self, daemons := m.directory.Self(), m.directory.Daemons()
	topology := core.NewTopology(self, daemons)
	if slices.ContainsFunc(topology.SameDomain, func(daemon ports.VM) bool { return daemon.Name == from }) {
		return
	}
	m.sendEvacuations(topology.SameDomain, m.evacuations.feed.Snapshot())
}

func (m *Manager) sendEvacuations(daemons []ports.VM, list ports.EvacuationPush) {
	for _, daemon := range daemons {
		m.transport.Send(daemon.Name, &list)
	}
}

// pullNewerEvacuations requests a daemon's list if that is newer than this daemon's.
func (m *Manager) pullNewerEvacuations(from ports.DaemonID, message *ports.LoadMessage) {
	digest, reported := message.EvacuationDigest()
	if !reported || m.evacuations.feed == nil {
		return
	}
	own := m.evacuations.feed.Digest()
	if m.evacuations.shouldPull(time.Now(), digest, own) {
		m.transport.Send(from, &ports.EvacuationPull{Have: own.Version, HaveEra: own.Era})
	}
}

// updateEvacuationWatch decides whether this daemon watches the evacuations itself: as
// the first of its failure domain, as one of the next when no other daemon reports that
// it does, or when it hears of no daemon.
func (m *Manager) updateEvacuationWatch(now time.Time) {
	feed := m.evacuations.feed
	if feed == nil {
		return
	}
	self, daemons := m.directory.Self(), m.directory.Daemons()
	rank := rankInDomain(self, daemons)
	if !slices.ContainsFunc(daemons, func(daemon ports.VM) bool { return daemon.Domain != self.Domain }) {
		rank -= evacuationWatchersAlone - evacuationWatchersPerDomain
	}
	feed.SetWatching(m.evacuations.shouldWatch(now, feed.Digest().StoreVersion(), len(daemons), rank))
}

// updateEvacuations makes the evacuations of the platform and of the configuration take
// effect for the servers. The caller holds the mutex; it has the limits of servers updated
// before the waiting calls, since the servers of a domain that takes calls again may be cold.
func (m *Manager) updateEvacuations(now time.Time) {
	evacuated := make(core.EvacuatedDomains)
	if m.evacuations.feed != nil {
		evacuated = m.evacuations.feed.InForce()
	}
	for _, domain := range m.document.EvacuatedDomains {
		if _, known := evacuated[domain]; !known {
			evacuated[domain] = now
		}
	}
	changes := evacuated.ChangesFrom(m.evacuated)
	for domain := range evacuated {
		if since, known := m.evacuated[domain]; known {
			evacuated[domain] = since
		}
	}
	m.evacuated = evacuated
	for _, pool := range m.pools {
		pool.SetEvacuated(evacuated)
	}
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		m.applyEvacuationChange(now, change)
	}
	m.linesResolvedAt = time.Time{}
}

// applyEvacuationChange logs and counts a change. The servers of a domain that takes calls
// again may have become cold. The caller holds the mutex.
func (m *Manager) applyEvacuationChange(now time.Time, change core.EvacuationChange) {
	if !change.Ended {
		m.evacuationCounter.Inc(string(change.Domain), changeEvacuated)
		m.logger.Warn().Str("event", "failure-domain-evacuated").Str("domain", string(change.Domain)).
			Int("running", m.runningIn(change.Domain).Running).Msg("")
		return
	}
	for name, pool := range m.pools {
		if warmUp := m.document.Services[name].WarmUpWithin.Value(); warmUp > 0 {
			pool.SetColdUntil(change.Domain, now.Add(warmUp))
		}
	}
	m.evacuationCounter.Inc(string(change.Domain), changeReturned)
	m.logger.Info().Str("event", "failure-domain-returned").Str("domain", string(change.Domain)).
		Dur("after", now.Sub(change.Since)).Msg("")
}

// runningIn returns what runs in a failure domain. The caller holds the mutex.
func (m *Manager) runningIn(domain ports.FailureDomain) ports.EvacuationStatus {
	status := ports.EvacuationStatus{Domain: domain, Since: m.evacuated[domain]}
	for _, pool := range m.pools {
		own, elsewhere := pool.Running(domain)
		status.Running += own
		status.Elsewhere += elsewhere
	}
	return status
}

// Evacuations implements ports.EvacuationView.
func (m *Manager) Evacuations() []ports.EvacuationStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergePeerLoads(time.Now())
	statuses := make([]ports.EvacuationStatus, 0, len(m.evacuated))
	for domain := range m.evacuated {
		statuses = append(statuses, m.runningIn(domain))
	}
	slices.SortFunc(statuses, func(a, b ports.EvacuationStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return statuses
}
