// Package liveconfig keeps the configuration in force on one daemon: it watches
// the platform when the daemon is a watcher of its failure domain, spreads
// revisions between daemons, and carries out operators' edits. Only wiring
// imports it; everything else uses ports.ConfigurationSource and
// ports.ConfigurationEditor.
package liveconfig

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Manager implements ports.ConfigurationSource and ports.ConfigurationEditor.
//
// Two mutexes: delivery is taken before mu, and mu is never held during a call
// to another component.
type Manager struct {
	feed ports.RevisionFeed
	// everyoneWatches makes each daemon follow the feed itself.
	everyoneWatches bool
	started         time.Time
	// objects holds the chain that operators' edits go to; nil where operators
	// write to the platform themselves.
	objects   ports.ObjectAPI
	directory ports.Directory
	peers     ports.PeerTransport
	logger    *log.Logger
	scope     tally.Scope

	mu sync.Mutex
	// current is the revision in force, nil before the first.
	current *ports.Configuration
	// recent holds the last revisions that were in force, oldest first.
	recent []*ports.Configuration
	// platformFault is why the last call to the platform failed, or "".
	platformFault string
	// pullUntil is when a pull that got no answer is given up.
	pullUntil time.Time

	// delivery orders the callbacks.
	delivery  sync.Mutex
	delivered configuration.RevisionNumber
	callbacks []func(*ports.Configuration)

	// changed wakes the platform loop when the directory changed.
	changed chan struct{}
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

var (
	_ ports.ConfigurationSource = (*Manager)(nil)
	_ ports.ConfigurationEditor = (*Manager)(nil)
)

// NewFollower returns a manager of revisions that operators write to the
// platform themselves. Each daemon follows the feed, and its peers bring what
// the platform keeps from it. Its message handlers are registered.
func NewFollower(
	feed ports.RevisionFeed,
	directory ports.Directory,
	peers ports.PeerTransport,
	exchange ports.RevisionExchange,
	logger *log.Logger,
	scope tally.Scope,
) *Manager {
	m := New(nil, directory, peers, exchange, logger, scope)
	m.feed = feed
	m.everyoneWatches = true
	return m
}

// New returns a manager of the revision chain that the daemons keep, with its
// message handlers registered.
func New(
	objects ports.ObjectAPI,
	directory ports.Directory,
	peers ports.PeerTransport,
	exchange ports.RevisionExchange,
	logger *log.Logger,
	scope tally.Scope,
) *Manager {
	m := &Manager{
		feed:      chainFeed{objects: objects},
		started:   time.Now(),
		objects:   objects,
		directory: directory,
		peers:     peers,
		logger:    logger,
		scope:     scope,
		changed:   make(chan struct{}, 1),
	}
	m.register(exchange)
	directory.OnChange(m.wake)
	return m
}

// Run starts the loops.
func (m *Manager) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.loops.Add(2)
	go func() {
		defer m.loops.Done()
		m.followPlatform(ctx)
	}()
	go func() {
		defer m.loops.Done()
		m.askPeers(ctx, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}()
}

// Stop ends the loops and waits for them.
func (m *Manager) Stop() {
	if m.stop != nil {
		m.stop()
	}
	m.loops.Wait()
}

// Current implements ports.ConfigurationSource.
func (m *Manager) Current() *ports.Configuration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// OnChange implements ports.ConfigurationSource.
func (m *Manager) OnChange(callback func(*ports.Configuration)) {
	m.delivery.Lock()
	defer m.delivery.Unlock()
	m.callbacks = append(m.callbacks, callback)
}

// Readiness returns the check that a configuration is in force.
func (m *Manager) Readiness() ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "configuration", Reason: m.notReadyReason}
}

func (m *Manager) notReadyReason() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.current != nil:
		return ""
	case m.platformFault != "":
		return "no peer has a configuration, and the platform gave none: " + m.platformFault
	default:
		return "no configuration yet from the platform or a peer"
	}
}

func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) setPlatformFault(fault string) {
	m.mu.Lock()
	changed := m.platformFault != fault
	m.platformFault = fault
	m.mu.Unlock()
	if changed && fault != "" {
		m.logger.Warn().Str("event", "configuration-platform-fault").Str("fault", fault).Msg("")
	}
}
