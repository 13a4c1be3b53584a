// Package dispatch grants slots to calls without asking another daemon. It
// maintains the tables on which internal/core/dispatch decides, the calls that
// wait for room, and the exchange of loads with other daemons. It
// is imported by internal/app.
//
// One mutex guards all tables. While it is held, no transport is called; of the
// other ports, only the directory and the server list feed are read.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Module provides ports.SlotBroker, ports.SharingView, ports.EvacuationView and
// ports.ServerNotices.
var Module = fx.Module("dispatch",
	fx.Provide(
		NewManager,
		func(m *Manager) ports.SlotBroker { return m },
		func(m *Manager) ports.SharingView { return m },
		func(m *Manager) ports.EvacuationView { return m },
		func(m *Manager) ports.ServerNotices { return m },
	),
	fx.Invoke(func(lifecycle fx.Lifecycle, m *Manager) {
		lifecycle.Append(fx.StartStopHook(m.Run, m.Stop))
	}),
)

// Params are the manager's dependencies.
type Params struct {
	fx.In

	Logger        *log.Logger
	Scope         tally.Scope
	Directory     ports.Directory
	Transport     ports.PeerTransport
	Configuration ports.ConfigurationSource
	// List may be missing: each daemon then reads the server list itself.
	List ports.ServerListFeed `optional:"true"`
	// Settings may be missing: cold servers then bear no more than their warm-up rate, and
	// regions are known by their VMs alone.
	Settings *settings.Settings `optional:"true"`
	// Evacuations may be missing: only the configuration then evacuates domains.
	Evacuations ports.EvacuationFeed `optional:"true"`
	// Handover may be missing: no connections are handed over then.
	Handover ports.HandoverOffers `optional:"true"`
	// VersionRecords may be missing: no stream of unknown origin goes on then.
	VersionRecords ports.VersionRecords `optional:"true"`
	// StreamOrigins may be missing: the origins of streams then end with the daemons.
	StreamOrigins ports.StreamOriginStore `optional:"true"`
}

// Manager implements ports.SlotBroker and ports.ServerNotices. It is safe for concurrent use.
type Manager struct {
	logger           *log.Logger
	limiter          *logging.Limiter
	exclusionCounter *metrics.CounterVec
	// resumptionCounter counts the streams that callers resume.
	resumptionCounter *metrics.CounterVec
	// originDoubtCounter counts the streams whose origin stays unknown, by the reason,
	// evidenceCounter the reads of evidence about them, and versionRecordCounter the
	// changes of version records.
	originDoubtCounter    *metrics.CounterVec
	evidenceCounter       *metrics.CounterVec
	versionRecordCounter  *metrics.CounterVec
	leavingCounter        *metrics.CounterVec
	pushbackCounter       *metrics.CounterVec
	limitCounter          *metrics.CounterVec
	warmthCounter         *metrics.CounterVec
	spilloverCounter      *metrics.CounterVec
	leavingCallCounter    *metrics.CounterVec
	quarantineCounter     *metrics.CounterVec
	callQuarantineCounter *metrics.CounterVec
	directory             ports.Directory
	transport             ports.PeerTransport
	configuration         ports.ConfigurationSource
	warmUp                settings.WarmUp
	defaultSpillover      *configuration.Spillover
	handover              ports.HandoverOffers
	lists                 *listExchange
	evacuations           *evacuationExchange
	evacuationCounter     *metrics.CounterVec
	origins               *originExchange
	versions              *versionExchange
	checkpoints           *originCheckpoints
	changeSignal          chan struct{}
	pauseSignal           chan struct{}
	// limitedServers is the number of servers that name a limit, for RecordLimit.
	limitedServers atomic.Int32
	stop           chan struct{}
	stopOnce       sync.Once
	loops          sync.WaitGroup

	// mu guards everything below.
	mu       sync.Mutex
	stopping bool
	document *configuration.Document
	// revision is the number of the document, zero before the first.
	revision configuration.RevisionNumber
	// knownRegions are the regions of the settings and of all VMs so far.
	knownRegions map[ports.Region]bool
	// evacuated are the failure domains whose servers get no calls.
	evacuated    core.EvacuatedDomains
	pools        map[ports.ServiceName]*core.Pool
	versionViews map[ports.ServiceName]*streamorigin.VersionView
	notices      *core.Notices
	limitSharing *core.LimitSharing
	// capacities are what the engines of each service can do now, in tokens per second;
	// zero for unknown.
	capacities map[ports.ServiceName]float64
	quarantine *quarantine.Table
	// lines hold the calls that wait for room, by service.
	lines              map[ports.ServiceName]*core.Line[*waiter]
	linesResolvedAt    time.Time
	isResolvePending   bool
	peerReports        map[core.Source]*core.PeerReports
	peersMergedAt      time.Time
	sharesLoggedAt     time.Time
	spilloverUpdatedAt time.Time
	exchange           exchangeState
}

// NewManager returns a manager and registers its message handlers. The manager
// does nothing else before Run.
func NewManager(p Params) *Manager {
	scope := p.Scope.SubScope("dispatch")
	m := &Manager{
		logger:                p.Logger,
		limiter:               logging.NewLimiter(p.Logger),
		exclusionCounter:      metrics.NewCounterVec(scope, "servers_excluded", "service", "fault"),
		resumptionCounter:     metrics.NewCounterVec(scope, "stream_resumptions", "service", "source", "reason"),
		originDoubtCounter:    metrics.NewCounterVec(scope, "stream_origin_doubts", "service", "doubt"),
		evidenceCounter:       metrics.NewCounterVec(scope, "version_evidence_reads", "result"),
		versionRecordCounter:  metrics.NewCounterVec(scope, "version_record_changes", "service", "result"),
		leavingCounter:        metrics.NewCounterVec(scope, "servers_leaving", "service"),
		pushbackCounter:       metrics.NewCounterVec(scope, "server_pushbacks", "service"),
		limitCounter:          metrics.NewCounterVec(scope, "server_limit_changes", "service", "change"),
		warmthCounter:         metrics.NewCounterVec(scope, "server_warmth_changes", "service", "state", "reason"),
		spilloverCounter:      metrics.NewCounterVec(scope, "spillover_changes", "service", "from", "to", "reason"),
		leavingCallCounter:    metrics.NewCounterVec(scope, "spillover_calls", "service", "from", "to", "reason"),
		quarantineCounter:     metrics.NewCounterVec(scope, "prompt_parts_quarantined", "source"),
		callQuarantineCounter: metrics.NewCounterVec(scope, "calls_quarantined", "source"),
		directory:             p.Directory,
		transport:             p.Transport,
		configuration:         p.Configuration,
		warmUp:                warmUpSettings(p.Settings),
		defaultSpillover:      spilloverSettings(p.Settings),
		handover:              p.Handover,
		lists:                 newListExchange(p.List),
		evacuations:           newEvacuationExchange(p.Evacuations),
		evacuationCounter:     metrics.NewCounterVec(scope, "evacuations", "domain", "change"),
		versions:              newVersionExchange(p.VersionRecords),
		changeSignal:          make(chan struct{}, 1),
		pauseSignal:           make(chan struct{}, 1),
		stop:                  make(chan struct{}),
		document:              &configuration.Document{},
		knownRegions:          regionsInSettings(p.Settings),
		pools:                 make(map[ports.ServiceName]*core.Pool),
		versionViews:          make(map[ports.ServiceName]*streamorigin.VersionView),
		notices:               core.NewNotices(),
		limitSharing:          core.NewLimitSharing(time.Now(), p.Directory.Self()),
		capacities:            make(map[ports.ServiceName]float64),
		lines:                 make(map[ports.ServiceName]*core.Line[*waiter]),
		quarantine:            quarantine.NewTable(),
		peerReports:           make(map[core.Source]*core.PeerReports),
	}
	m.checkpoints = newOriginCheckpoints(p.StreamOrigins, p.Directory, p.Transport, p.Logger, m.limiter, scope)
	m.origins = newOriginExchange(p.Directory, p.Transport, m.checkpoints)
	p.Transport.Handle(ports.KindLoad,
		func() ports.Message { return &ports.LoadMessage{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handleLoadMessage(from, message.(*ports.LoadMessage))
		})
	m.registerListHandlers()
	m.registerEvacuationHandlers()
	p.Directory.OnChange(m.signalChange)
	p.Configuration.OnChange(func(*ports.Configuration) { m.signalChange() })
	return m
}

// Run starts the manager's loop. It does not block.
func (m *Manager) Run() {
	m.loops.Go(m.runLoop)
	m.loops.Go(func() { m.origins.run(m.stop) })
	if m.versions.records != nil {
		m.loops.Go(func() { m.versions.run(m.directory, m.applyEvidence) })
		m.loops.Go(m.keepVersionRecords)
	}
	m.loops.Go(func() { m.checkpoints.run(m.stop) })
}

// Stop refuses the waiting calls and waits for the loop to end. It may be
// called more than once.
func (m *Manager) Stop() {
	m.stopOnce.Do(func() {
		m.mu.Lock()
		m.stopping = true
		for _, line := range m.lines {
			for _, waiting := range line.InOrder(func(ports.WorkspaceID) float64 { return 0 }) {
				waiting.Call.refuse(stoppingRefusal())
			}
		}
		clear(m.lines)
		m.mu.Unlock()
		close(m.stop)
		m.versions.stop()
	})
	m.loops.Wait()
}

func (m *Manager) signalChange() {
	select {
	case m.changeSignal <- struct{}{}:
	default:
	}
}

func (m *Manager) runLoop() {
	m.refresh()
	reportTimer := time.NewTimer(reportPeriod)
	defer reportTimer.Stop()
	pauseTimer := time.NewTimer(maxPauseCheckPeriod)
	defer pauseTimer.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-m.changeSignal:
			m.refresh()
		case <-m.pauseSignal:
			pauseTimer.Reset(m.untilNextFree(time.Now()))
		case now := <-pauseTimer.C:
			m.lockAndUpdate(now)
			pauseTimer.Reset(m.untilNextFree(now))
		case now := <-reportTimer.C:
			period := m.sendLoadMessages(now)
			m.lockAndUpdate(now)
			m.updateListWatch(now)
			m.updateEvacuationWatch(now)
			reportTimer.Reset(withJitter(period))
		}
	}
}

func withJitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*rand.Float64()))
}

// refresh applies the current configuration and directory.
func (m *Manager) refresh() {
	current := m.configuration.Current()
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	isFresh := m.lists.isFresh(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeRegions(daemons)
	if current == nil {
		return
	}
	isNew := m.revision != current.Number
	m.document, m.revision = &current.Document, current.Number
	for name, service := range m.document.Services {
		pool, ok := m.pools[name]
		if !ok {
			pool = core.NewPool(self)
			m.pools[name] = pool
		}
		pool.SetService(service.Kind == configuration.ServiceKindEngine, service.MemoryTokens)
		pool.SetWarmUp(m.warmUpOf(&service))
		if isNew {
			pool.SetShortestTarget(m.document.ShortestTarget(name))
		}
	}
	for name, pool := range m.pools {
		// The calls in progress of a service that has left the configuration may need
		// another server to complete their answers.
		if _, ok := m.document.Services[name]; !ok && !pool.HasCalls() {
			delete(m.pools, name)
			continue
		}
		servers := m.directory.Servers(name)
		m.logServerChanges(name, pool.VMs(), servers)
		m.observeRegions(servers)
		pool.SetServers(servers)
		pool.ApplyNotices(m.notices)
	}
	if isNew {
		m.logUnknownRegions()
	}
	now := time.Now()
	m.setListFresh(now, isFresh)
	m.updateEvacuations(now)
	for _, pool := range m.pools {
		pool.Shares().SetRegionShares(m.regionShares(pool))
	}
	m.updateLimits(now)
	m.configureSpillover()
	m.updateSpillover(now)
	m.observeVersions(now, isFresh)
	m.linesResolvedAt = time.Time{}
	m.resolveLines(now)
}

// shareTarget returns a workspace's share target. The caller holds the mutex.
func (m *Manager) shareTarget(workspace ports.WorkspaceID) float64 {
	return m.document.Workspaces[workspace].WithDefaults().ShareTarget
}
