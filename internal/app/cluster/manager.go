// Package cluster keeps this daemon's view of the fleet: the VM list, the
// membership protocol over the peer transport, and the placement that follows
// from both. It is imported by wiring only; others use ports.Directory.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

// tickPeriod is the time between two looks at what is due.
const tickPeriod = 100 * time.Millisecond

// Transport is what the manager needs of the peer transport.
type Transport interface {
	ports.PeerTransport
	// SetPeers replaces what is known of the other daemons' VMs.
	SetPeers(daemons []ports.VM)
}

// Options are what a manager is made of.
type Options struct {
	Self        ports.VM
	Incarnation ports.Incarnation
	// ListPeriod is the time between two reads of the VM list.
	ListPeriod time.Duration
	// ListIsExact says that a list without most of the VMs is true: the
	// platform's store tells of each VM that left.
	ListIsExact bool
	Membership  membership.Config
	List        ports.VMList
	Transport   Transport
	Logger      *log.Logger
	Scope       tally.Scope
}

// Manager implements ports.Directory, ports.RevisionExchange and ports.Leaver.
type Manager struct {
	options   Options
	current   func() uint64
	observe   func(ports.DaemonID, uint64)
	callbacks []func()
	view      atomic.Pointer[view]
	listRead  atomic.Bool
	cancel    context.CancelFunc
	running   sync.WaitGroup

	// mu is held while the table or the list changes, never while sending or
	// calling back.
	mu    sync.Mutex
	table *membership.Table
	list  lastList
	// published is the table's version that the view shows.
	published uint64
}

// NewManager returns a manager that is not started.
func NewManager(options Options) *Manager {
	random := rand.New(rand.NewPCG(uint64(options.Incarnation), xxhash.Sum64String(string(options.Self.Name))))
	m := &Manager{
		options: options,
		current: func() uint64 { return 0 },
		observe: func(ports.DaemonID, uint64) {},
		list:    lastList{exact: options.ListIsExact},
		table:   membership.New(options.Self, options.Incarnation, options.Membership, random),
	}
	m.view.Store((&view{}).withDaemons(options.Self, m.table.LiveDaemons()))
	m.handleMessages()
	return m
}

// Run starts the loops.
func (m *Manager) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.running.Go(func() { m.readLists(ctx) })
	m.running.Go(func() { m.tick(ctx) })
}

// Stop ends the loops and waits for them.
func (m *Manager) Stop() {
	m.cancel()
	m.running.Wait()
}

// Leave implements ports.Leaver.
func (m *Manager) Leave() {
	m.advance(func(time.Time) []membership.Envelope { return m.table.Leave() })
}

// ExchangeRevisions implements ports.RevisionExchange.
func (m *Manager) ExchangeRevisions(current func() uint64, observe func(ports.DaemonID, uint64)) {
	m.current, m.observe = current, observe
}

func (m *Manager) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.advance(m.table.Tick)
		}
	}
}

// advance runs one step of the table, then publishes what changed and sends
// what the step asks for.
func (m *Manager) advance(step func(now time.Time) []membership.Envelope) {
	m.mu.Lock()
	out := step(time.Now())
	changed := m.publish()
	transitions := m.table.TakeTransitions()
	m.mu.Unlock()
	m.send(out)
	m.report(transitions)
	if changed {
		m.notify()
	}
}

// publish stores a new view if the table changed. The caller holds the lock.
func (m *Manager) publish() bool {
	version := m.table.LiveVersion()
	if version == m.published {
		return false
	}
	m.published = version
	m.view.Store(m.view.Load().withDaemons(m.table.Self(), m.table.LiveDaemons()))
	return true
}

// report counts and logs the changes of beliefs.
func (m *Manager) report(transitions []membership.Transition) {
	for _, transition := range transitions {
		state := transition.State.String()
		m.options.Scope.Tagged(map[string]string{"state": state}).Counter("member_transitions").Inc(1)
		m.options.Logger.Info().
			Str("event", "member-changed").
			Str("daemon", string(transition.Daemon)).
			Str("state", state).
			Msg("")
	}
}

func (m *Manager) notify() {
	live := len(m.view.Load().daemons)
	m.options.Scope.Gauge("cluster_live_daemons").Update(float64(live))
	m.options.Logger.Info().Str("event", "fleet-changed").Int("daemons", live).Msg("")
	for _, callback := range m.callbacks {
		callback()
	}
}

func (m *Manager) send(out []membership.Envelope) {
	if len(out) == 0 {
		return
	}
	revision := m.current()
	for _, envelope := range out {
		switch message := envelope.Message.(type) {
		case *ports.Probe:
			message.ConfigurationRevision = revision
		case *ports.ProbeAck:
			message.ConfigurationRevision = revision
		}
		m.options.Transport.Send(envelope.To, envelope.Message)
	}
}
