package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

const (
	// loadPeriod is the time between two reports of this daemon's load to the
	// daemons of its failure domain, and loadPeriodEach what each of them adds
	// to it, so that the work of reading reports stays bounded.
	loadPeriod     = 100 * time.Millisecond
	loadPeriodEach = 20 * time.Millisecond
	// ratesPeriod is the time between two reports with the rates of workspaces.
	ratesPeriod = 500 * time.Millisecond
	// relays is the number of daemons of a failure domain that tell the other
	// domains its sums: one more than needed, for the case of a loss.
	relays = 2
	// farPeriod is the time between two such reports of one relay, and
	// farPeriodEach what each daemon of the fleet adds to it.
	farPeriod     = 400 * time.Millisecond
	farPeriodEach = 15 * time.Millisecond
	// farLoadDaemons is the largest fleet in which the sums include the load of
	// each server; beyond it their bytes cost more than they bring.
	farLoadDaemons = 16
	// mergeEvery is the least time between two sums of what others told.
	mergeEvery = 20 * time.Millisecond
)

// exchange is the state of telling other daemons.
type exchange struct {
	sequence  uint64
	ratesSent time.Time
	farSent   time.Time
}

// neighbours splits the other daemons into those of this failure domain and the
// rest, and says whether this daemon is a relay of its domain.
func neighbours(self ports.VM, daemons []ports.VM) (near, far []ports.VM, relay bool) {
	rank := 0
	for _, daemon := range daemons {
		switch {
		case daemon.Name == self.Name:
		case daemon.Domain != self.Domain:
			far = append(far, daemon)
		default:
			near = append(near, daemon)
			if relayOrder(daemon, self) < 0 {
				rank++
			}
		}
	}
	return near, far, rank < relays
}

func relayOrder(a, b ports.VM) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))),
		cmp.Compare(a.Name, b.Name),
	)
}

// tellPeers sends this daemon's load to the daemons of its failure domain, and as
// a relay the domain's sums to the others. It returns when to tell again.
func (m *Manager) tellPeers(now time.Time) time.Duration {
	daemons := m.directory.Daemons()
	near, far, relay := neighbours(m.directory.Self(), daemons)
	digest := m.listDigest()
	m.mu.Lock()
	message := m.nearMessage(now, digest)
	var farMessage *ports.LoadMessage
	if relay && now.Sub(m.exchange.farSent) >= farPeriod+time.Duration(len(daemons))*farPeriodEach {
		farMessage = m.farMessage(now, digest, len(daemons) <= farLoadDaemons)
	} else if !relay {
		m.dropFarNews()
	}
	m.mu.Unlock()
	for _, daemon := range near {
		m.transport.Send(daemon.Name, message)
	}
	if farMessage != nil {
		for _, daemon := range far {
			m.transport.Send(daemon.Name, farMessage)
		}
	}
	return loadPeriod + time.Duration(len(near))*loadPeriodEach
}

func (m *Manager) nearMessage(now time.Time, digest ports.ServerListDigest) *ports.LoadMessage {
	m.exchange.sequence++
	message := &ports.LoadMessage{Sequence: m.exchange.sequence, Servers: m.ownLoads(), ServerList: digest}
	for service, pool := range m.pools {
		message.CachedPrefixes = appendKept(message.CachedPrefixes, service, pool.TakeNews())
	}
	if now.Sub(m.exchange.ratesSent) >= ratesPeriod {
		m.exchange.ratesSent = now
		message.Rates = ratesOf(m.shares.OwnRates(now))
	}
	return message
}

// farMessage sums what the daemons of this failure domain run and ask for.
func (m *Manager) farMessage(now time.Time, digest ports.ServerListDigest, withLoads bool) *ports.LoadMessage {
	m.exchange.farSent = now
	message := &ports.LoadMessage{
		Sequence: m.exchange.sequence, Domain: m.directory.Self().Domain, ServerList: digest,
		Rates: ratesOf(m.shares.DomainRates(now)),
	}
	for service, pool := range m.pools {
		message.CachedPrefixes = appendKept(message.CachedPrefixes, service, pool.TakeFarNews())
	}
	if !withLoads {
		return message
	}
	sums := make(map[core.ServerKey]core.Load)
	for from, reports := range m.peers {
		if from.Domain == "" {
			reports.AddTo(now, sums)
		}
	}
	for _, load := range m.ownLoads() {
		key := core.ServerKey{Service: load.Service, Server: load.Server}
		sums[key] = sums[key].Add(core.Load{Calls: load.Calls, Waiting: load.WaitingTokens, Memory: load.MemoryTokens})
	}
	for key, load := range sums {
		message.Servers = append(message.Servers, serverLoad(key, load))
	}
	return message
}

// dropFarNews forgets what only relays tell.
func (m *Manager) dropFarNews() {
	for _, pool := range m.pools {
		pool.TakeFarNews()
	}
}

func appendKept(to []ports.CachedPrefix, service ports.ServiceName, parts []core.KeptPart) []ports.CachedPrefix {
	for _, part := range parts {
		to = append(to, ports.CachedPrefix{Service: service, PrefixHash: uint64(part.Key), Server: part.Server})
	}
	return to
}

func serverLoad(key core.ServerKey, load core.Load) ports.ServerLoad {
	return ports.ServerLoad{
		Service: key.Service, Server: key.Server, Calls: load.Calls, WaitingTokens: load.Waiting, MemoryTokens: load.Memory,
	}
}

func (m *Manager) ownLoads() []ports.ServerLoad {
	var loads []ports.ServerLoad
	for service, pool := range m.pools {
		for _, server := range pool.Servers() {
			if own := server.Own(); !own.IsZero() {
				loads = append(loads, serverLoad(core.ServerKey{Service: service, Server: server.VM().Name}, own))
			}
		}
	}
	return loads
}

func ratesOf(rates map[ports.WorkspaceID]core.Rates) []ports.WorkspaceRates {
	told := make([]ports.WorkspaceRates, 0, len(rates))
	for workspace, rate := range rates {
		told = append(told, ports.WorkspaceRates{
			Workspace: workspace, Demand: int64(rate.Asked), Granted: int64(rate.Granted),
		})
	}
	slices.SortFunc(told, func(a, b ports.WorkspaceRates) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return told
}

func (m *Manager) onLoad(from ports.DaemonID, message *ports.LoadMessage) {
	m.observeList(from, message.ServerList)
	now := time.Now()
	source := core.Source{Daemon: from}
	if message.Domain != "" {
		source = core.Source{Domain: message.Domain}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reports, known := m.peers[source]
	if !known {
		reports = core.NewReports()
		m.peers[source] = reports
	}
	// The relays of a domain number their messages apart; each replaces the last.
	if source.Domain == "" && !reports.Current(now, message.Sequence) {
		return
	}
	loads := make(map[core.ServerKey]core.Load, len(message.Servers))
	for _, load := range message.Servers {
		key := core.ServerKey{Service: load.Service, Server: load.Server}
		loads[key] = core.Load{Calls: load.Calls, Waiting: load.WaitingTokens, Memory: load.MemoryTokens}
	}
	reports.Take(now, message.Sequence, loads)
	m.takeRates(now, source, message.Rates)
	for _, part := range message.CachedPrefixes {
		if pool, ok := m.pools[part.Service]; ok {
			kept := core.KeptPart{Key: core.PartKey(part.PrefixHash), Server: part.Server}
			pool.Keeps(now, kept, source.Domain == "")
		}
	}
	m.mergePeers(now)
	m.settleWaiters(now)
}

func (m *Manager) takeRates(now time.Time, source core.Source, told []ports.WorkspaceRates) {
	if len(told) == 0 {
		return
	}
	rates := make(map[ports.WorkspaceID]core.Rates, len(told))
	for _, rate := range told {
		rates[rate.Workspace] = core.Rates{Asked: float64(rate.Demand), Granted: float64(rate.Granted)}
	}
	m.shares.SetPeer(now, source, rates)
}

// mergePeers sums what the others told. The caller holds the mutex.
func (m *Manager) mergePeers(now time.Time) {
	if now.Sub(m.merged) < mergeEvery {
		return
	}
	m.merged = now
	sums := make(map[core.ServerKey]core.Load)
	for _, reports := range m.peers {
		reports.AddTo(now, sums)
	}
	for name, pool := range m.pools {
		pool.SetOthers(name, sums)
	}
}
