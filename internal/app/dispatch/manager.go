// Package dispatch gives calls their slots without asking another daemon. It
// keeps the tables that internal/core/dispatch decides on, the calls that wait a
// short time for room, and the exchange of loads with other daemons. It is
// imported by internal/app.
//
// One mutex guards all tables. No other manager and no transport is called
// while it is held.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// Module provides ports.SlotBroker and ports.SharingView.
var Module = fx.Module("dispatch",
	fx.Provide(
		NewManager,
		func(m *Manager) ports.SlotBroker { return m },
		func(m *Manager) ports.SharingView { return m },
	),
	fx.Invoke(func(lifecycle fx.Lifecycle, m *Manager) {
		lifecycle.Append(fx.StartStopHook(m.Run, m.Stop))
	}),
)

// Params are what the manager is built from.
type Params struct {
	fx.In

	Logger        *log.Logger
	Scope         tally.Scope
	Directory     ports.Directory
	Transport     ports.PeerTransport
	Configuration ports.ConfigurationSource
	// List may be missing: each daemon then reads the list of servers itself.
	List ports.ServerListFeed `optional:"true"`
}

// Manager implements ports.SlotBroker. It is safe for concurrent use.
type Manager struct {
	logger        *log.Logger
	excluded      *metrics.Counters
	directory     ports.Directory
	transport     ports.PeerTransport
	configuration ports.ConfigurationSource
	lists         *listExchange
	changed       chan struct{}
	stop          chan struct{}
	stopOnce      sync.Once
	loops         sync.WaitGroup

	// mu guards everything below.
	mu       sync.Mutex
	stopping bool
	document *configuration.Document
	pools    map[ports.ServiceName]*core.Pool
	shares   *core.ShareTracker
	waiters  []*waiter
	settled  time.Time
	peers    map[core.Source]*core.PeerReports
	merged   time.Time
	exchange exchange
}

// NewManager returns a manager whose handlers are registered. It does nothing
// before Run.
func NewManager(p Params) *Manager {
	m := &Manager{
		logger:        p.Logger,
		excluded:      metrics.NewCounters(p.Scope.SubScope("dispatch"), "servers_excluded", "service", "fault"),
		directory:     p.Directory,
		transport:     p.Transport,
		configuration: p.Configuration,
		lists:         newListExchange(p.List),
		changed:       make(chan struct{}, 1),
		stop:          make(chan struct{}),
		document:      &configuration.Document{},
		pools:         make(map[ports.ServiceName]*core.Pool),
		shares:        core.NewShareTracker(),
		peers:         make(map[core.Source]*core.PeerReports),
	}
	p.Transport.Handle(ports.KindLoad,
		func() ports.Message { return &ports.LoadMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.onLoad(from, message.(*ports.LoadMessage)) })
	m.handleLists()
	p.Directory.OnChange(m.noteChange)
	p.Configuration.OnChange(func(*ports.Configuration) { m.noteChange() })
	return m
}

// Run starts the manager's loop.
func (m *Manager) Run() {
	m.loops.Go(m.loop)
}

// Stop refuses the waiting calls and ends the loop.
func (m *Manager) Stop() {
	m.stopOnce.Do(func() {
		m.mu.Lock()
		m.stopping = true
		for _, w := range m.waiters {
			w.refuse(stoppingRefusal())
		}
		m.waiters = nil
		m.mu.Unlock()
		close(m.stop)
	})
	m.loops.Wait()
}

func (m *Manager) noteChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) loop() {
	m.refresh()
	loads := time.NewTimer(loadPeriod)
	defer loads.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-m.changed:
			m.refresh()
		case now := <-loads.C:
			next := m.tellPeers(now)
			m.retryWaiters(now)
			m.chooseFollowers(now)
			loads.Reset(jittered(next))
		}
	}
}

func jittered(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*rand.Float64()))
}

// refresh takes the configuration and the directory over.
func (m *Manager) refresh() {
	current := m.configuration.Current()
	self := m.directory.Self()
	m.mu.Lock()
	defer m.mu.Unlock()
	if current == nil {
		return
	}
	m.document = &current.Document
	for name, service := range m.document.Services {
		pool, ok := m.pools[name]
		if !ok {
			pool = core.NewPool(self)
			m.pools[name] = pool
		}
		pool.SetService(service.Kind == configuration.ServiceKindEngine, service.MemoryTokens)
		servers := m.directory.Servers(name)
		m.tellServers(name, pool.VMs(), servers)
		pool.SetServers(servers)
	}
	for name := range m.pools {
		if _, ok := m.document.Services[name]; !ok {
			delete(m.pools, name)
		}
	}
	m.mergePeers(time.Now())
	m.settleWaiters(time.Now())
}

// shareTarget returns a workspace's share target. The caller holds the mutex.
func (m *Manager) shareTarget(workspace ports.WorkspaceID) float64 {
	return m.document.Workspaces[workspace].WithDefaults().ShareTarget
}
