package sharing

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Manager acquires slots for the calls of this daemon, as their entry, and grants
// the slots of the shards that this daemon owns. It is safe for concurrent use.
type Manager struct {
	experimental     settings.Experimental
	logger           *log.Logger
	limiter          *logging.Limiter
	scope            tally.Scope
	directory        ports.Directory
	configuration    ports.ConfigurationSource
	loads            LoadReader
	outbox           *outbox
	self             ports.DaemonID
	incarnation      ports.Incarnation
	shortIncarnation ports.ShortIncarnation
	refreshRequested chan struct{}
	stop             chan struct{}
	stopOnce         sync.Once
	goroutines       sync.WaitGroup

	// mu guards the fields below.
	mu            sync.Mutex
	stopping      bool
	document      *configuration.Document
	queue         *admission.Queue
	lastItemID    admission.ItemID
	waiters       map[admission.ItemID]*waiter
	entryServices map[ports.ServiceName]*entryService
	ownedServices map[ports.ServiceName]*ownedService
	connected     map[ports.DaemonID]bool
	alive         map[ports.DaemonID]bool
}

// NewManager returns a manager and registers its message handlers. Its loops do
// not run before Run.
func NewManager(p Params) *Manager {
	m := &Manager{
		experimental:     p.Settings.Experimental,
		logger:           p.Logger,
		limiter:          logging.NewLimiter(p.Logger),
		scope:            p.Scope.SubScope("sharing"),
		directory:        p.Directory,
		configuration:    p.Configuration,
		loads:            p.Loads,
		outbox:           newOutbox(p.Transport),
		self:             p.Directory.Self().Name,
		incarnation:      p.Directory.Incarnation(),
		shortIncarnation: ports.ShortenIncarnation(p.Directory.Incarnation()),
		refreshRequested: make(chan struct{}, 1),
		stop:             make(chan struct{}),
		document:         &configuration.Document{},
		queue: admission.NewQueue(admission.Limits{
			TotalBytes:     p.Settings.Limits.QueueMemory.Bytes(),
			WorkspaceBytes: p.Settings.Limits.WorkspaceQueueMemory.Bytes(),
		}),
		waiters:       make(map[admission.ItemID]*waiter),
		entryServices: make(map[ports.ServiceName]*entryService),
		ownedServices: make(map[ports.ServiceName]*ownedService),
		connected:     make(map[ports.DaemonID]bool),
		alive:         make(map[ports.DaemonID]bool),
	}
	m.register(p.Transport)
	p.Directory.OnChange(m.requestRefresh)
	p.Configuration.OnChange(func(*ports.Configuration) { m.requestRefresh() })
	return m
}

// Run starts the manager's loops and returns.
func (m *Manager) Run() {
	m.goroutines.Go(func() { m.outbox.run(m.stop) })
	m.goroutines.Go(m.loop)
}

// Stop refuses all waiting calls and waits for the loops to end. It may be called
// more than once.
func (m *Manager) Stop() {
	m.stopOnce.Do(func() {
		m.mu.Lock()
		m.stopping = true
		for _, w := range m.waiters {
			w.refuse(stoppingRefusal())
		}
		m.mu.Unlock()
		close(m.stop)
	})
	m.goroutines.Wait()
}

func (m *Manager) register(transport ports.PeerTransport) {
	transport.Handle(ports.KindDemand,
		func() ports.Message { return &ports.DemandMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.handleDemand(from, message.(*ports.DemandMessage)) })
	transport.Handle(ports.KindGrants,
		func() ports.Message { return &ports.GrantsMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.handleGrants(from, message.(*ports.GrantsMessage)) })
	transport.Handle(ports.KindHeldSlots,
		func() ports.Message { return &ports.HeldSlotsMessage{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handleHeldSlots(from, message.(*ports.HeldSlotsMessage))
		})
	transport.Handle(ports.KindCharges,
		func() ports.Message { return &ports.ChargesMessage{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handleCharges(from, message.(*ports.ChargesMessage))
		})
	transport.OnSession(m.handleSession)
}

func (m *Manager) requestRefresh() {
	select {
	case m.refreshRequested <- struct{}{}:
	default:
	}
}

func (m *Manager) loop() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	exchangeTicker := time.NewTicker(m.exchangePeriod())
	defer exchangeTicker.Stop()
	m.refresh(time.Now())
	for {
		select {
		case <-m.stop:
			return
		case <-m.refreshRequested:
			m.refresh(time.Now())
		case now := <-ticker.C:
			m.tick(now)
			m.probeDueServers(now)
		case now := <-exchangeTicker.C:
			m.sendAllCharges(now)
		}
	}
}

func (m *Manager) exchangePeriod() time.Duration {
	if period := m.experimental.ExchangePeriod.Value(); period > 0 {
		return period
	}
	return defaultExchangePeriod
}

func (m *Manager) ledgerOptions() fairshare.Options {
	return fairshare.Options{
		NoLift:          m.experimental.NoLift,
		NoEstimate:      m.experimental.NoEstimate,
		NoExtrapolation: m.experimental.NoExtrapolation,
	}
}

func (m *Manager) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.ownedServices {
		m.tickOwner(now, s)
	}
	for _, s := range m.entryServices {
		m.tickEntry(now, s)
	}
}

func stoppingRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.ReasonStopping,
		End:        outcome.NotRun,
		Detail:     "the daemon is stopping",
		RetryAfter: time.Second,
	}
}
