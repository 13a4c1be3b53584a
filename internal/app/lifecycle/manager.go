// Package lifecycle carries out the graceful stop of a daemon: it notifies the
// load balancer and the peers, drains the calls in progress, and reports when
// the process may exit. It is imported by internal/app.
package lifecycle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/gracefulstop"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// StopCause is what requested a stop. It is written to the log.
type StopCause string

// The causes of a stop.
const (
	CauseSignal  StopCause = "signal"
	CausePlanned StopCause = "planned-stop"
)

// Stop is a requested stop.
type Stop struct {
	Cause       StopCause
	RequestedAt time.Time
}

// connectionCheckInterval is the time between two checks for connected callers.
const connectionCheckInterval = 50 * time.Millisecond

// CallerServer is the subset of the callers' server that a stop uses.
type CallerServer interface {
	// AnnounceStop asks callers to send no further request on open connections, and takes
	// only calls that can end before cutAt. It may be called again with an earlier time.
	AnnounceStop(cutAt time.Time)
	// RefuseCalls answers each further call, on open and new connections, with a
	// refusal that has a RetryAfter.
	RefuseCalls()
	// HasConnections reports whether callers have connections open.
	HasConnections() bool
	// Stop accepts no new calls and waits for those in progress. When the context
	// ends first, it cuts them off and returns an error.
	Stop(ctx context.Context) error
}

// FleetMembership is this daemon's membership in the fleet.
type FleetMembership interface {
	// Leave announces to the peers that this daemon is about to leave the fleet.
	Leave()
}

// Manager carries out the graceful stop.
type Manager struct {
	self          ports.VMName
	limits        gracefulstop.Limits
	configuration ports.ConfigurationSource
	callers       CallerServer
	membership    FleetMembership
	scope         tally.Scope
	logger        *log.Logger
	startedAt     time.Time

	stopping atomic.Bool
	// stopRequested holds the stop, once.
	stopRequested chan Stop
	// cutRequested is closed when the stop in progress is to end at once.
	cutRequested chan struct{}
	// killAnnounced receives, once, when a signal came during a planned stop.
	killAnnounced chan time.Time

	// mu guards what follows.
	mu            sync.Mutex
	requests      gracefulstop.Requests
	isCut         bool
	firstRevision uint64
	stopTimer     *time.Timer
}

// NewManager returns a manager that watches the configuration for a planned
// stop of this daemon's VM.
func NewManager(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	callers CallerServer,
	peers FleetMembership,
	scope tally.Scope,
	logger *log.Logger,
) *Manager {
	m := &Manager{
		self:          s.VM.Name,
		limits:        limitsOf(s.Stop),
		configuration: configuration,
		callers:       callers,
		membership:    peers,
		scope:         scope,
		logger:        logger,
		startedAt:     time.Now(),
		stopRequested: make(chan Stop, 1),
		cutRequested:  make(chan struct{}),
		killAnnounced: make(chan time.Time, 1),
	}
	configuration.OnChange(m.schedulePlannedStop)
	return m
}

func limitsOf(stop settings.Stop) gracefulstop.Limits {
	return gracefulstop.Limits{
		Timeout:        stop.Timeout.Value(),
		KillAfter:      stop.KillAfter.Value(),
		AnnouncePeriod: stop.AnnouncePeriod.Value(),
	}
}

func (m *Manager) scheduleOf(cause StopCause) gracefulstop.Schedule {
	if cause == CausePlanned {
		return gracefulstop.PlanWithoutKill(m.limits)
	}
	return gracefulstop.Plan(m.limits)
}

// StopRequested receives the stop of this daemon once a signal or a plan requests it.
func (m *Manager) StopRequested() <-chan Stop {
	return m.stopRequested
}

// NotReadyReason returns why the daemon should get no new calls, or "".
func (m *Manager) NotReadyReason() string {
	if m.stopping.Load() {
		return "the daemon is stopping"
	}
	return ""
}

// Drain carries out the stop. It returns nil when every call in progress has
// ended, and the error of CallerServer.Stop when the stop was cut short or timed
// out first.
func (m *Manager) Drain(stop Stop) error {
	m.stopping.Store(true)
	schedule := m.scheduleOf(stop.Cause)
	m.logger.Info().
		Str("event", "stop-began").
		Str("cause", string(stop.Cause)).
		Dur("announceUntil", schedule.AnnounceUntil).
		Dur("refuseUntil", schedule.RefuseUntil).
		Dur("cutAt", schedule.CutAt).
		Msg("")
	cutAt := stop.RequestedAt.Add(schedule.CutAt)
	ctx, cancel := context.WithDeadline(context.Background(), cutAt)
	defer cancel()
	go m.endEarly(ctx, cancel)

	m.callers.AnnounceStop(cutAt)
	m.membership.Leave()
	pause.For(ctx, time.Until(stop.RequestedAt.Add(schedule.AnnounceUntil)))
	if schedule.RefuseUntil > 0 {
		m.refuseUntilDisconnected(ctx, stop.RequestedAt.Add(schedule.RefuseUntil))
	}
	if err := m.callers.Stop(ctx); err != nil {
		m.logger.Error().Str("event", "stop-cut-calls").Err(err).Msg("")
		return err
	}
	m.logger.Info().Str("event", "stop-drained").Msg("")
	return nil
}

// endEarly ends the context of a stop when an interrupt asks for it, or before the kill that
// follows a signal in a planned stop.
func (m *Manager) endEarly(ctx context.Context, cancel context.CancelFunc) {
	for {
		select {
		case <-m.cutRequested:
			cancel()
		case signalledAt := <-m.killAnnounced:
			cutAt := signalledAt.Add(gracefulstop.Plan(m.limits).CutAt)
			m.callers.AnnounceStop(cutAt)
			defer time.AfterFunc(time.Until(cutAt), cancel).Stop()
		case <-ctx.Done():
			return
		}
	}
}

// refuseUntilDisconnected refuses calls until all callers have disconnected or the time is
// over. Closing a connection while a request is in transit would leave the caller without an
// answer.
func (m *Manager) refuseUntilDisconnected(ctx context.Context, until time.Time) {
	m.callers.RefuseCalls()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for m.callers.HasConnections() && pause.For(ctx, connectionCheckInterval) {
	}
}

// schedulePlannedStop replaces the scheduled stop with the one that the
// configuration plans, if any.
func (m *Manager) schedulePlannedStop(revision *ports.Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstRevision == 0 {
		m.firstRevision = uint64(revision.Number)
	}
	if m.stopTimer != nil {
		m.stopTimer.Stop()
		m.stopTimer = nil
	}
	now := time.Now()
	incarnation := daemonIncarnation{vm: m.self, startedAt: m.startedAt, firstRevision: m.firstRevision}
	at, found := incarnation.plannedStopTime(revision, now)
	if !found {
		return
	}
	m.stopTimer = time.AfterFunc(at.Sub(now), func() {
		m.requestStop(time.Now(), gracefulstop.RequestPlanned, CausePlanned)
	})
}
