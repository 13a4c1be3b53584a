package dispatch

import (
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

const (
	// loadPeriod is the time between two reports of this daemon's load to the
	// daemons of its failure domain, and loadPeriodEach what each of them adds
	// to it, so that the work of reading reports stays bounded.
	loadPeriod     = 100 * time.Millisecond
	loadPeriodEach = 10 * time.Millisecond
	// ratesPeriod is the time between two reports to all daemons, with the rates
	// of workspaces.
	ratesPeriod = 500 * time.Millisecond
)

func (m *Manager) loadPeriod() time.Duration {
	return loadPeriod + time.Duration(len(m.directory.Daemons()))*loadPeriodEach
}

// tellPeers sends this daemon's load to the daemons of its failure domain, and
// with rates also to the other daemons.
func (m *Manager) tellPeers(now time.Time, withRates bool) {
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	m.mu.Lock()
	m.sequence++
	message := ports.LoadMessage{Sequence: m.sequence, Servers: m.ownLoads(), Kept: m.takeNews()}
	m.farNews = append(m.farNews, message.Kept...)
	far := message
	if withRates {
		message.Rates = m.ownRates(now)
		far.Rates, far.Kept = message.Rates, m.farNews
		m.farNews = nil
	}
	m.mu.Unlock()
	for _, daemon := range daemons {
		switch {
		case daemon.Name == self.Name:
		case daemon.Domain == self.Domain:
			m.transport.Send(daemon.Name, &message)
		case withRates:
			m.transport.Send(daemon.Name, &far)
		}
	}
}

// takeNews returns the shared parts that were sent to servers since the last
// message.
func (m *Manager) takeNews() []ports.KeptPrompt {
	var news []ports.KeptPrompt
	for service, pool := range m.pools {
		for _, part := range pool.TakeNews() {
			news = append(news, ports.KeptPrompt{Service: service, Part: uint64(part.Key), Server: part.Server})
		}
	}
	return news
}

func (m *Manager) ownLoads() []ports.ServerLoad {
	var loads []ports.ServerLoad
	for service, pool := range m.pools {
		for _, server := range pool.Servers() {
			own := server.Own()
			if own.IsZero() {
				continue
			}
			loads = append(loads, ports.ServerLoad{
				Service: service, Server: server.VM().Name,
				Calls: own.Calls, Waiting: own.Waiting, Memory: own.Memory,
			})
		}
	}
	return loads
}

func (m *Manager) ownRates(now time.Time) []ports.WorkspaceRates {
	var rates []ports.WorkspaceRates
	for workspace, rate := range m.shares.OwnRates(now) {
		rates = append(rates, ports.WorkspaceRates{
			Workspace: workspace, Asked: int64(rate.Asked), Granted: int64(rate.Granted),
		})
	}
	return rates
}

func (m *Manager) onLoad(from ports.DaemonID, message *ports.LoadMessage) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	reports, known := m.peers[from]
	if !known {
		reports = core.NewReports()
		m.peers[from] = reports
	}
	loads := make(map[core.ServerKey]core.Load, len(message.Servers))
	for _, load := range message.Servers {
		key := core.ServerKey{Service: load.Service, Server: load.Server}
		loads[key] = core.Load{Calls: load.Calls, Waiting: load.Waiting, Memory: load.Memory}
	}
	if !reports.Take(now, message.Sequence, loads) {
		return
	}
	if len(message.Rates) > 0 {
		rates := make(map[ports.WorkspaceID]core.Rates, len(message.Rates))
		for _, rate := range message.Rates {
			rates[rate.Workspace] = core.Rates{Asked: float64(rate.Asked), Granted: float64(rate.Granted)}
		}
		m.shares.SetPeer(now, from, rates)
	}
	for _, part := range message.Kept {
		if pool, ok := m.pools[part.Service]; ok {
			pool.Keeps(now, core.KeptPart{Key: core.PartKey(part.Part), Server: part.Server})
		}
	}
	m.mergePeers(now)
	m.settleWaiters(now)
}

// mergeEvery is the least time between two sums of what the other daemons told.
const mergeEvery = 20 * time.Millisecond

// mergePeers sums what the other daemons told. The caller holds the mutex.
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
