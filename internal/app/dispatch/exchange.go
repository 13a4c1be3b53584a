package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

const (
	// reportPeriod is the time between two reports of this daemon's load to the
	// daemons of its failure domain, and reportPeriodPerPeer what each of them
	// adds to it, so that the work of reading reports stays bounded.
	reportPeriod        = 100 * time.Millisecond
	reportPeriodPerPeer = 20 * time.Millisecond
	// ratesPeriod is the time between two reports that include the rates of
	// workspaces.
	ratesPeriod = 500 * time.Millisecond
	// aggregatePeriod is the time between two reports of a failure domain's sums
	// by one aggregator, and aggregatePeriodPerDaemon what each daemon of the
	// fleet adds to it.
	aggregatePeriod          = 400 * time.Millisecond
	aggregatePeriodPerDaemon = 10 * time.Millisecond
	// maxDaemonsForServerLoads is the largest fleet in which the sums include
	// the load of each server; in larger ones their bytes cost more than they
	// gain.
	maxDaemonsForServerLoads = 16
	// mergeInterval is the least time between two summations of the peers'
	// reports.
	mergeInterval = 20 * time.Millisecond
	// limitSyncPeriod is the time between two reports of all limits of servers by an
	// aggregator.
	limitSyncPeriod = 5 * time.Second
)

// exchangeState is the state of sending load reports.
type exchangeState struct {
	sequence        uint64
	ratesSentAt     time.Time
	aggregateSentAt time.Time
	limitsQueuedAt  time.Time
}

// sendLoadMessages sends this daemon's load to the daemons of its failure domain
// and, as an aggregator, the domain's sums to its counterparts in the other domains.
// It returns the time until the next report.
func (m *Manager) sendLoadMessages(now time.Time) time.Duration {
	daemons := m.directory.Daemons()
	topology := core.NewTopology(m.directory.Self(), daemons)
	digest := m.listDigest()
	evacuations := m.evacuations.digest()
	m.mu.Lock()
	if topology.IsAggregator && now.Sub(m.exchange.limitsQueuedAt) >= limitSyncPeriod {
		m.exchange.limitsQueuedAt = now
		m.notices.QueueLimits(now)
	}
	message := m.newLoadMessage(now, digest)
	message.SetEvacuations(evacuations)
	if m.handover != nil {
		message.Handover = m.handover.OwnOffer()
	}
	var aggregate *ports.LoadMessage
	if topology.IsAggregator &&
		now.Sub(m.exchange.aggregateSentAt) >= aggregatePeriod+time.Duration(len(daemons))*aggregatePeriodPerDaemon {
		aggregate = m.newAggregateMessage(now, digest, len(daemons) <= maxDaemonsForServerLoads)
		aggregate.SetEvacuations(evacuations)
	} else if !topology.IsAggregator {
		m.dropCrossDomainUpdates()
	}
	m.mu.Unlock()
	m.sendToAll(topology.SameDomain, message)
	if aggregate != nil {
		m.sendToAll(topology.Counterparts, aggregate)
	}
	return reportPeriod + time.Duration(len(topology.SameDomain))*reportPeriodPerPeer
}

func (m *Manager) sendToAll(daemons []ports.VM, message *ports.LoadMessage) {
	for _, daemon := range daemons {
		m.transport.Send(daemon.Name, message)
	}
}

// relayAggregate passes the sums of another failure domain on to the daemons of this
// one.
func (m *Manager) relayAggregate(message *ports.LoadMessage) {
	self := m.directory.Self()
	if message.Domain == "" || message.Domain == self.Domain || message.Relayed {
		return
	}
	relayed := *message
	relayed.Relayed = true
	// The digest describes the list of the aggregator, which the receivers would ask
	// the relaying daemon for.
	relayed.SetServerList(ports.ServerListDigest{})
	relayed.SetEvacuations(nil)
	m.sendToAll(core.NewTopology(self, m.directory.Daemons()).SameDomain, &relayed)
}

func (m *Manager) newLoadMessage(now time.Time, digest ports.ServerListDigest) *ports.LoadMessage {
	m.exchange.sequence++
	message := &ports.LoadMessage{Sequence: m.exchange.sequence, Servers: m.ownLoads()}
	message.SetServerList(digest)
	for service, pool := range m.pools {
		message.CachedPrefixes = appendCachedPrefixes(message.CachedPrefixes, service, pool.TakeDomainUpdates())
	}
	if now.Sub(m.exchange.ratesSentAt) >= ratesPeriod {
		m.exchange.ratesSentAt = now
		message.Rates = m.ratesOfServices(now, (*core.ShareTracker).OwnRates)
		message.QuarantineEnds = toServerEnds(now, m.quarantine.QuarantineEnds(now))
	}
	message.Demands = m.demands(now, (*core.Pool).OwnDemand)
	addCauseUpdates(now, message, m.quarantine.TakeDomainUpdates())
	message.ServerLimits = toLimitReports(now, m.notices.TakeDomainLimits())
	return message
}

// newAggregateMessage sums the loads and the rates of the daemons of this
// failure domain.
func (m *Manager) newAggregateMessage(now time.Time, digest ports.ServerListDigest, withServerLoads bool) *ports.LoadMessage {
	m.exchange.aggregateSentAt = now
	message := &ports.LoadMessage{
		Sequence: m.exchange.sequence, Domain: m.directory.Self().Domain,
		Rates:          m.ratesOfServices(now, (*core.ShareTracker).DomainRates),
		QuarantineEnds: toServerEnds(now, m.quarantine.QuarantineEnds(now)),
	}
	message.Demands = m.demands(now, (*core.Pool).DomainDemand)
	addCauseUpdates(now, message, m.quarantine.TakeCrossDomainUpdates())
	message.ServerLimits = toLimitReports(now, m.notices.TakeCrossDomainLimits())
	message.SetServerList(digest)
	for service, pool := range m.pools {
		message.CachedPrefixes = appendCachedPrefixes(message.CachedPrefixes, service, pool.TakeCrossDomainUpdates())
	}
	if !withServerLoads {
		return message
	}
	sums := make(map[core.ServerKey]core.Load)
	for source, reports := range m.peerReports {
		if source.Domain == "" {
			reports.AddEstimate(now, sums)
		}
	}
	for _, load := range m.ownLoads() {
		key := core.ServerKey{Service: load.Service, Server: load.Server}
		sums[key] = sums[key].Add(core.Load{Calls: load.Calls, PendingTokens: load.PendingTokens, MemoryTokens: load.MemoryTokens})
	}
	for key, load := range sums {
		message.Servers = append(message.Servers, serverLoad(key, load))
	}
	return message
}

// dropCrossDomainUpdates discards the updates that only aggregators send.
func (m *Manager) dropCrossDomainUpdates() {
	m.quarantine.TakeCrossDomainUpdates()
	m.notices.TakeCrossDomainLimits()
	for _, pool := range m.pools {
		pool.TakeCrossDomainUpdates()
	}
}

func appendCachedPrefixes(
	dst []ports.CachedPrefix, service ports.ServiceName, prefixes []core.CachedPrefix,
) []ports.CachedPrefix {
	for _, cached := range prefixes {
		dst = append(dst, ports.CachedPrefix{Service: service, PrefixHash: uint64(cached.PrefixHash), Server: cached.Server})
	}
	return dst
}

func serverLoad(key core.ServerKey, load core.Load) ports.ServerLoad {
	return ports.ServerLoad{
		Service: key.Service, Server: key.Server, Calls: load.Calls, PendingTokens: load.PendingTokens, MemoryTokens: load.MemoryTokens,
	}
}

func (m *Manager) ownLoads() []ports.ServerLoad {
	var loads []ports.ServerLoad
	for service, pool := range m.pools {
		for _, server := range pool.Servers() {
			if own := server.OwnLoad(); !own.IsZero() {
				loads = append(loads, serverLoad(core.ServerKey{Service: service, Server: server.VM().Name}, own))
			}
		}
	}
	return loads
}

// ratesOfServices returns the rates of all services, by service and workspace. The caller
// holds the mutex.
func (m *Manager) ratesOfServices(
	now time.Time, ratesOf func(*core.ShareTracker, time.Time) map[ports.WorkspaceID]core.Rates,
) []ports.WorkspaceRates {
	var reported []ports.WorkspaceRates
	for _, service := range slices.Sorted(maps.Keys(m.pools)) {
		rates := ratesOf(m.pools[service].Shares(), now)
		named := service
		for _, workspace := range slices.Sorted(maps.Keys(rates)) {
			rate := rates[workspace]
			reported = append(reported, ports.WorkspaceRates{
				Service: named, Workspace: workspace,
				Demand: int64(rate.Demand), Granted: int64(rate.Granted), Shed: int64(rate.Shed),
			})
			named = ""
		}
	}
	return reported
}

func (m *Manager) handleLoadMessage(from ports.DaemonID, message *ports.LoadMessage) {
	m.pullNewerList(from, message.ServerListDigest())
	m.pullNewerEvacuations(from, message)
	m.relayAggregate(message)
	if m.handover != nil && message.Domain == "" {
		m.handover.SetPeerOffer(from, message.Handover)
	}
	now := time.Now()
	source := core.Source{Daemon: from}
	if message.Domain != "" {
		source = core.Source{Domain: message.Domain}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reports, known := m.peerReports[source]
	if !known {
		reports = core.NewPeerReports()
		m.peerReports[source] = reports
	}
	// The aggregators of a domain number their reports independently; each
	// report replaces the last one.
	if source.Domain == "" && !reports.IsNewer(now, message.Sequence) {
		return
	}
	loads := make(map[core.ServerKey]core.Load, len(message.Servers))
	for _, load := range message.Servers {
		key := core.ServerKey{Service: load.Service, Server: load.Server}
		loads[key] = core.Load{Calls: load.Calls, PendingTokens: load.PendingTokens, MemoryTokens: load.MemoryTokens}
	}
	reports.Record(now, message.Sequence, loads)
	m.recordPeerRates(now, source, message.Rates)
	m.recordDemands(now, source, message.Demands)
	m.mergeCauses(now, message, source.Domain == "")
	m.mergeLimits(now, message, source.Domain == "")
	for _, prefix := range message.CachedPrefixes {
		if pool, ok := m.pools[prefix.Service]; ok {
			cached := core.CachedPrefix{PrefixHash: core.PrefixHash(prefix.PrefixHash), Server: prefix.Server}
			pool.RecordCachedPrefix(now, cached, source.Domain == "")
		}
	}
	m.resolveLines(now)
}

func (m *Manager) recordPeerRates(now time.Time, source core.Source, reported []ports.WorkspaceRates) {
	if len(reported) == 0 {
		return
	}
	byService := make(map[ports.ServiceName]map[ports.WorkspaceID]core.Rates, len(m.pools))
	service := reported[0].Service
	for _, rate := range reported {
		service = cmp.Or(rate.Service, service)
		if byService[service] == nil {
			byService[service] = make(map[ports.WorkspaceID]core.Rates)
		}
		byService[service][rate.Workspace] = core.Rates{
			Demand: float64(rate.Demand), Granted: float64(rate.Granted), Shed: float64(rate.Shed),
		}
	}
	for service, pool := range m.pools {
		pool.Shares().SetPeerRates(now, source, byService[service])
	}
}

// mergePeerLoads sums the loads that the peers reported. It is called before a choice
// rather than for each report: in a large failure domain far more reports arrive than
// calls. The caller holds the mutex.
func (m *Manager) mergePeerLoads(now time.Time) {
	if now.Sub(m.peersMergedAt) < mergeInterval {
		return
	}
	m.peersMergedAt = now
	sums := make(map[core.ServerKey]core.Load)
	for _, reports := range m.peerReports {
		reports.AddEstimate(now, sums)
	}
	for name, pool := range m.pools {
		pool.SetPeerLoads(name, sums)
	}
}
