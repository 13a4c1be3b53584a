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
	// peerLoadFor is how long a report counts when no other follows.
	peerLoadFor = 1500 * time.Millisecond
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
	message := ports.LoadMessage{Sequence: m.sequence}
	if withRates {
		message.Rates = m.ownRates(now)
	}
	message.Servers = m.ownLoads()
	m.mu.Unlock()
	for _, daemon := range daemons {
		if daemon.Name == self.Name || !withRates && daemon.Domain != self.Domain {
			continue
		}
		m.transport.Send(daemon.Name, &message)
	}
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
	before, known := m.peers[from]
	if known && message.Sequence <= before.sequence && now.Sub(before.at) < peerLoadFor {
		return
	}
	loads := make(map[ports.ServiceName]map[ports.VMName]core.Load)
	for _, load := range message.Servers {
		if loads[load.Service] == nil {
			loads[load.Service] = make(map[ports.VMName]core.Load)
		}
		loads[load.Service][load.Server] = core.Load{Calls: load.Calls, Waiting: load.Waiting, Memory: load.Memory}
	}
	m.peers[from] = &peerLoad{sequence: message.Sequence, at: now, loads: loads}
	if len(message.Rates) > 0 {
		rates := make(map[ports.WorkspaceID]core.Rates, len(message.Rates))
		for _, rate := range message.Rates {
			rates[rate.Workspace] = core.Rates{Asked: float64(rate.Asked), Granted: float64(rate.Granted)}
		}
		m.shares.SetPeer(now, from, rates)
	}
	m.mergePeers(now)
	m.settleWaiters(now)
}

// mergePeers sums what the other daemons told. The caller holds the mutex.
func (m *Manager) mergePeers(now time.Time) {
	for name, pool := range m.pools {
		sums := make(map[ports.VMName]core.Load)
		for _, peer := range m.peers {
			if now.Sub(peer.at) > peerLoadFor {
				continue
			}
			for server, load := range peer.loads[name] {
				sums[server] = sums[server].Add(load)
			}
		}
		pool.SetOthers(sums)
	}
}
