package sharing

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Manager is the entry for calls of this daemon and the owner of the slots that
// the directory assigns to it. It is safe for concurrent use.
type Manager struct {
	experimental  settings.Experimental
	logger        *log.Logger
	scope         tally.Scope
	directory     ports.Directory
	configuration ports.ConfigurationSource
	loads         LoadReader
	outbox        *outbox
	self          ports.DaemonID
	incarnation   ports.Incarnation
	run           ports.ShortIncarnation
	changed       chan struct{}
	stop          chan struct{}
	stopOnce      sync.Once
	loops         sync.WaitGroup

	// mu guards everything below.
	mu       sync.Mutex
	stopping bool
	document *configuration.Document
	queue    *admission.Queue
	lastItem admission.ItemID
	waiters  map[admission.ItemID]*waiter
	entries  map[ports.ServiceName]*entryService
	owned    map[ports.ServiceName]*ownedService
	sessions map[ports.DaemonID]bool
	live     map[ports.DaemonID]bool
}

// NewManager returns a manager whose handlers are registered. It does nothing
// before Run.
func NewManager(p Params) *Manager {
	m := &Manager{
		experimental:  p.Settings.Experimental,
		logger:        p.Logger,
		scope:         p.Scope.SubScope("sharing"),
		directory:     p.Directory,
		configuration: p.Configuration,
		loads:         p.Loads,
		outbox:        newOutbox(p.Transport),
		self:          p.Directory.Self().Name,
		incarnation:   p.Directory.Incarnation(),
		run:           ports.ShortenIncarnation(p.Directory.Incarnation()),
		changed:       make(chan struct{}, 1),
		stop:          make(chan struct{}),
		document:      &configuration.Document{},
		queue: admission.NewQueue(admission.Limits{
			Total:     p.Settings.Limits.QueueMemory.Bytes(),
			Workspace: p.Settings.Limits.WorkspaceQueueMemory.Bytes(),
		}),
		waiters:  make(map[admission.ItemID]*waiter),
		entries:  make(map[ports.ServiceName]*entryService),
		owned:    make(map[ports.ServiceName]*ownedService),
		sessions: make(map[ports.DaemonID]bool),
		live:     make(map[ports.DaemonID]bool),
	}
	m.register(p.Transport)
	p.Directory.OnChange(m.noteChange)
	p.Configuration.OnChange(func(*ports.Configuration) { m.noteChange() })
	return m
}

// Run starts the manager's loops.
func (m *Manager) Run() {
	m.loops.Go(func() { m.outbox.run(m.stop) })
	m.loops.Go(m.loop)
}

// Stop refuses all waiting calls and ends the loops.
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
	m.loops.Wait()
}

func (m *Manager) register(transport ports.PeerTransport) {
	transport.Handle(ports.KindDemand,
		func() ports.Message { return &ports.DemandMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.onDemand(from, message.(*ports.DemandMessage)) })
	transport.Handle(ports.KindGrants,
		func() ports.Message { return &ports.GrantsMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.onGrants(from, message.(*ports.GrantsMessage)) })
	transport.Handle(ports.KindHeldSlots,
		func() ports.Message { return &ports.HeldSlotsMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.onHeld(from, message.(*ports.HeldSlotsMessage)) })
	transport.Handle(ports.KindCharges,
		func() ports.Message { return &ports.ChargesMessage{} },
		func(from ports.DaemonID, message ports.Message) { m.onSums(from, message.(*ports.ChargesMessage)) })
	transport.OnSession(m.onSession)
}

func (m *Manager) noteChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) loop() {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	exchange := time.NewTicker(m.exchangePeriod())
	defer exchange.Stop()
	m.refresh(time.Now())
	for {
		select {
		case <-m.stop:
			return
		case <-m.changed:
			m.refresh(time.Now())
		case now := <-tick.C:
			m.tick(now)
			m.probe(now)
		case now := <-exchange.C:
			m.exchange(now)
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
	for _, s := range m.owned {
		m.tickOwner(now, s)
	}
	for _, s := range m.entries {
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
