// Package lifecycle carries out the graceful stop of a daemon: it notifies the
// balancer and the peers, lets each call in progress end, and reports when the
// process may exit. It is imported by internal/app.
package lifecycle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Cause says what asked for a stop.
type Cause string

// The causes of a stop.
const (
	CauseSignal  Cause = "signal"
	CausePlanned Cause = "planned-stop"
)

// killMargin is the time between the end of a stop and the platform's kill, for
// the process to exit in.
const killMargin = 700 * time.Millisecond

const (
	// closeMargin is the time between the end of accepting connections and the
	// end of a stop that the platform's kill bounds.
	closeMargin = 500 * time.Millisecond
	// lingerCheck is the time between two looks whether callers are connected.
	lingerCheck = 50 * time.Millisecond
)

// CallerServer is the part of the callers' server that a stop needs.
type CallerServer interface {
	// Announce asks callers to send no further request on open connections.
	Announce()
	// Refuse answers each further call with a refusal that has a RetryAfter, over
	// whatever connection it comes.
	Refuse()
	// Connected reports whether callers have connections open.
	Connected() bool
	// Stop takes no new call and waits for those in progress. When the context
	// ends first it cuts them off and fails.
	Stop(ctx context.Context) error
}

// Leaver announces to the peers that this daemon is about to leave.
type Leaver interface {
	Leave()
}

// Manager carries out the graceful stop.
type Manager struct {
	self          ports.VMName
	limits        settings.Stop
	configuration ports.ConfigurationSource
	callers       CallerServer
	peers         Leaver
	logger        *log.Logger
	startedAt     time.Time

	draining atomic.Bool

	mu            sync.Mutex
	firstRevision uint64
	timer         *time.Timer
	requested     chan struct{}
	once          sync.Once
}

// NewManager returns a manager that watches the configuration for a planned
// stop of this daemon's VM.
func NewManager(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	callers CallerServer,
	peers Leaver,
	logger *log.Logger,
) *Manager {
	m := &Manager{
		self:          s.VM.Name,
		limits:        beforeKill(s.Stop),
		configuration: configuration,
		callers:       callers,
		peers:         peers,
		logger:        logger,
		startedAt:     time.Now(),
		requested:     make(chan struct{}),
	}
	configuration.OnChange(m.planned)
	return m
}

// beforeKill shortens a stop that the platform's kill would cut off.
func beforeKill(limits settings.Stop) settings.Stop {
	if limits.KillAfter > 0 {
		limits.Timeout = min(limits.Timeout, limits.KillAfter-configuration.Duration(killMargin))
	}
	return limits
}

// Requested is closed once a planned stop of this daemon is due.
func (m *Manager) Requested() <-chan struct{} {
	return m.requested
}

// NotReady returns why the daemon should get no new calls, or "".
func (m *Manager) NotReady() string {
	if m.draining.Load() {
		return "the daemon is stopping"
	}
	return ""
}

// Drain carries out the stop: it returns nil when every call in progress has
// ended, and the error of the callers' server when the context or the time
// limit of a stop ended first.
func (m *Manager) Drain(ctx context.Context, cause Cause) error {
	m.draining.Store(true)
	m.logger.Info().Str("event", "stop-began").Str("cause", string(cause)).Msg("")
	ctx, cancel := context.WithTimeout(ctx, m.limits.Timeout.Value())
	defer cancel()

	m.callers.Announce()
	m.peers.Leave()
	select {
	case <-time.After(m.limits.AnnouncePeriod.Value()):
	case <-ctx.Done():
	}
	m.linger(ctx)
	if err := m.callers.Stop(ctx); err != nil {
		m.logger.Error().Str("event", "stop-cut-calls").Err(err).Msg("")
		return err
	}
	m.logger.Info().Str("event", "stop-drained").Msg("")
	return nil
}

// linger refuses calls for as long as the platform's kill allows and callers are
// connected: a connection that is closed while a request is on its way leaves the
// caller without an answer.
func (m *Manager) linger(ctx context.Context) {
	if m.limits.KillAfter == 0 {
		return
	}
	m.callers.Refuse()
	ctx, cancel := context.WithTimeout(ctx, m.limits.Timeout.Value()-m.limits.AnnouncePeriod.Value()-closeMargin)
	defer cancel()
	for m.callers.Connected() && pause.For(ctx, lingerCheck) {
	}
}

// planned schedules the stop that the configuration asks for, if any, in place
// of an earlier schedule.
func (m *Manager) planned(revision *ports.Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstRevision == 0 {
		m.firstRevision = uint64(revision.Number)
	}
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	now := time.Now()
	incarnation := daemonIncarnation{vm: m.self, startedAt: m.startedAt, firstRevision: m.firstRevision}
	at, found := incarnation.plannedStop(revision, now)
	if !found {
		return
	}
	m.timer = time.AfterFunc(at.Sub(now), m.request)
}

func (m *Manager) request() {
	m.once.Do(func() { close(m.requested) })
}
