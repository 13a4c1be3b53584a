// Package liveconfig manages the configuration in force on one daemon: it watches
// the platform if the daemon is a watcher of its failure domain, propagates
// revisions between daemons and executes operators' edits. Only the wiring code
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
// Lock order: callbackMu before mu. mu is never held during a call to another
// component.
type Manager struct {
	feed ports.RevisionFeed
	// allMayWatch lets every daemon of a small fleet watch the feed, not only
	// the watchers of its failure domain. New revisions are then announced to
	// peers by number instead of being pushed along the forwarding tree.
	allMayWatch bool
	startedAt   time.Time
	// objects stores the chain that operators' edits extend. It is nil if
	// operators write to the platform themselves.
	objects   ports.ObjectAPI
	directory ports.Directory
	peers     ports.PeerTransport
	logger    *log.Logger
	scope     tally.Scope

	mu sync.Mutex
	// current is the revision in force, nil before the first one.
	current *ports.Configuration
	// recentRevisions holds the latest revisions, including the one in force,
	// oldest first.
	recentRevisions []*ports.Configuration
	// platformError describes why the last call to the platform failed, or is "".
	platformError string
	// pullDeadline is the time at which an unanswered pull is abandoned.
	pullDeadline time.Time

	// callbackMu makes callbacks run one at a time and in order.
	callbackMu sync.Mutex
	// lastNotified is the last revision that the callbacks were called with.
	lastNotified configuration.RevisionNumber
	callbacks    []func(*ports.Configuration)

	// directoryChanged wakes the platform loop after a change of the directory.
	directoryChanged chan struct{}
	cancelLoops      context.CancelFunc
	loops            sync.WaitGroup
}

var (
	_ ports.ConfigurationSource = (*Manager)(nil)
	_ ports.ConfigurationEditor = (*Manager)(nil)
)

// NewReadOnly returns a manager of revisions that operators write to the platform
// themselves. In a small fleet each daemon watches the feed, and peers supply
// revisions that a daemon does not get from the platform. The message handlers
// of the manager are registered.
func NewReadOnly(
	feed ports.RevisionFeed,
	directory ports.Directory,
	peers ports.PeerTransport,
	exchange ports.RevisionExchange,
	logger *log.Logger,
	scope tally.Scope,
) *Manager {
	m := New(nil, directory, peers, exchange, logger, scope)
	m.feed = feed
	m.allMayWatch = true
	return m
}

// New returns a manager of the revision chain that the daemons write to the
// platform. The message handlers of the manager are registered.
func New(
	objects ports.ObjectAPI,
	directory ports.Directory,
	peers ports.PeerTransport,
	exchange ports.RevisionExchange,
	logger *log.Logger,
	scope tally.Scope,
) *Manager {
	m := &Manager{
		feed:             chainFeed{objects: objects},
		startedAt:        time.Now(),
		objects:          objects,
		directory:        directory,
		peers:            peers,
		logger:           logger,
		scope:            scope,
		directoryChanged: make(chan struct{}, 1),
	}
	m.registerHandlers(exchange)
	directory.OnChange(m.wakePlatformLoop)
	return m
}

// Run starts the background loops and returns.
func (m *Manager) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancelLoops = cancel
	m.loops.Add(2)
	go func() {
		defer m.loops.Done()
		m.watchPlatform(ctx)
	}()
	go func() {
		defer m.loops.Done()
		m.pollPeers(ctx, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}()
}

// Stop ends the loops and waits for them.
func (m *Manager) Stop() {
	if m.cancelLoops != nil {
		m.cancelLoops()
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
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.callbacks = append(m.callbacks, callback)
}

// Readiness returns a check that passes once a configuration is in force.
func (m *Manager) Readiness() ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "configuration", Reason: m.notReadyReason}
}

func (m *Manager) notReadyReason() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.current != nil:
		return ""
	case m.platformError != "":
		return "no peer has a configuration, and the platform gave none: " + m.platformError
	default:
		return "no configuration yet from the platform or a peer"
	}
}

// wakePlatformLoop never blocks, since it is a directory callback.
func (m *Manager) wakePlatformLoop() {
	select {
	case m.directoryChanged <- struct{}{}:
	default:
	}
}

// setPlatformError records why the last call to the platform failed, or "" for a
// success. It logs an error that differs from the previous one.
func (m *Manager) setPlatformError(message string) {
	m.mu.Lock()
	changed := m.platformError != message
	m.platformError = message
	m.mu.Unlock()
	if changed && message != "" {
		m.logger.Warn().Str("event", "configuration-platform-fault").Str("fault", message).Msg("")
	}
}
