// Package cluster maintains this daemon's view of the fleet: it polls the VM
// list, runs the membership protocol over the peer transport, and computes the
// placement from both. It is imported by wiring only; others use
// ports.Directory.
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

// tickPeriod is the time between two ticks of the membership protocol.
const tickPeriod = 100 * time.Millisecond

// Transport is the part of the peer transport that the manager uses.
type Transport interface {
	ports.PeerTransport
	// SetPeers replaces the VMs of the other daemons.
	SetPeers(daemons []ports.VM)
}

// Options are the dependencies and parameters of a Manager.
type Options struct {
	Self        ports.VM
	Incarnation ports.Incarnation
	// VMListPeriod is the mean time between two reads of the VM list.
	VMListPeriod time.Duration
	// VMListIsAuthoritative accepts a list even if most of the VMs are missing:
	// the platform's store reports each VM that left.
	VMListIsAuthoritative bool
	Membership            membership.Config
	VMList                ports.VMList
	Transport             Transport
	Logger                *log.Logger
	Scope                 tally.Scope
}

// Manager implements ports.Directory, ports.RevisionExchange and ports.Leaver.
type Manager struct {
	options         Options
	currentRevision func() uint64
	observeRevision func(ports.DaemonID, uint64)
	callbacks       []func()
	view            atomic.Pointer[fleetView]
	vmListAccepted  atomic.Bool
	cancel          context.CancelFunc
	loops           sync.WaitGroup

	// mu guards the fields below and changes of view. It is not held while messages
	// are sent or callbacks run.
	mu         sync.Mutex
	table      *membership.Table
	listFilter vmListFilter
	// publishedVersion is the table's AliveVersion that view was made from.
	publishedVersion uint64
}

// NewManager returns a manager that is not started.
func NewManager(options Options) *Manager {
	random := rand.New(rand.NewPCG(uint64(options.Incarnation), xxhash.Sum64String(string(options.Self.Name))))
	m := &Manager{
		options:         options,
		currentRevision: func() uint64 { return 0 },
		observeRevision: func(ports.DaemonID, uint64) {},
		listFilter:      vmListFilter{authoritative: options.VMListIsAuthoritative},
		table:           membership.New(options.Self, options.Incarnation, options.Membership, random),
	}
	m.view.Store((&fleetView{}).withDaemons(options.Self, m.table.AliveDaemons()))
	m.registerHandlers()
	return m
}

// Run starts polling the VM list and the ticks of the membership protocol.
func (m *Manager) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.loops.Go(func() { m.pollVMList(ctx) })
	m.loops.Go(func() { m.runTicks(ctx) })
}

// Stop ends what Run started and waits for it.
func (m *Manager) Stop() {
	m.cancel()
	m.loops.Wait()
}

// Leave implements ports.Leaver.
func (m *Manager) Leave() {
	m.updateTable(func(time.Time) []membership.Envelope { return m.table.Leave() })
}

// ExchangeRevisions implements ports.RevisionExchange.
func (m *Manager) ExchangeRevisions(current func() uint64, observe func(ports.DaemonID, uint64)) {
	m.currentRevision, m.observeRevision = current, observe
}

func (m *Manager) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.updateTable(m.table.Tick)
		}
	}
}

// updateTable runs one update of the table, publishes the changes and sends the
// messages that the update returns.
func (m *Manager) updateTable(update func(now time.Time) []membership.Envelope) {
	envelopes, transitions, changed := m.lockAndUpdate(update)
	m.sendEnvelopes(envelopes)
	m.reportTransitions(transitions)
	if changed {
		m.notifyFleetChange()
	}
}

// lockAndUpdate is the part of updateTable that holds mu.
func (m *Manager) lockAndUpdate(
	update func(now time.Time) []membership.Envelope,
) (envelopes []membership.Envelope, transitions []membership.Transition, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	envelopes = update(time.Now())
	changed = m.publishView()
	return envelopes, m.table.TakeTransitions(), changed
}

// publishView stores a new view if the set of daemons considered alive changed,
// and reports whether it did. The caller holds mu.
func (m *Manager) publishView() bool {
	version := m.table.AliveVersion()
	if version == m.publishedVersion {
		return false
	}
	m.publishedVersion = version
	m.view.Store(m.view.Load().withDaemons(m.table.Self(), m.table.AliveDaemons()))
	return true
}

// reportTransitions counts and logs changes of members' states.
func (m *Manager) reportTransitions(transitions []membership.Transition) {
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

// notifyFleetChange records the number of daemons considered alive and runs the
// callbacks.
func (m *Manager) notifyFleetChange() {
	alive := len(m.view.Load().daemons)
	m.options.Scope.Gauge("cluster_live_daemons").Update(float64(alive))
	m.options.Logger.Info().Str("event", "fleet-changed").Int("daemons", alive).Msg("")
	for _, callback := range m.callbacks {
		callback()
	}
}

// sendEnvelopes sends the messages, with the current configuration revision on
// probes and acks.
func (m *Manager) sendEnvelopes(envelopes []membership.Envelope) {
	if len(envelopes) == 0 {
		return
	}
	revision := m.currentRevision()
	for _, envelope := range envelopes {
		switch message := envelope.Message.(type) {
		case *ports.Probe:
			message.ConfigurationRevision = revision
		case *ports.ProbeAck:
			message.ConfigurationRevision = revision
		}
		m.options.Transport.Send(envelope.To, envelope.Message)
	}
}
