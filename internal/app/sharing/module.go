// Package sharing acquires slots for calls. It queues the calls that wait at this
// daemon, requests slots from the shard owners of the fleet, and grants the slots of
// the shards that the directory assigns to this daemon. It is imported by
// internal/app.
//
// One mutex guards all tables. No other manager and no transport is called while it
// is held: messages are sent by an outbox, in order.
package sharing

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Module provides ports.SlotBroker and ports.SharingView.
var Module = fx.Module("sharing",
	fx.Provide(
		NewManager,
		func(m *Manager) ports.SlotBroker { return m },
		func(m *Manager) ports.SharingView { return m },
	),
	fx.Invoke(registerHooks),
)

// Params are the dependencies of the manager.
type Params struct {
	fx.In

	Settings      *settings.Settings
	Logger        *log.Logger
	Scope         tally.Scope
	Directory     ports.Directory
	Transport     ports.PeerTransport
	Configuration ports.ConfigurationSource
	// Loads is optional. Without it, windows are sized by the reports of runs only.
	Loads LoadReader `optional:"true"`
}

// LoadReader reads the load reports of backend servers, which lag behind the real
// load.
type LoadReader interface {
	// Load fails with an error that has the method NoLoadReport when the server
	// answers but provides no report.
	Load(ctx context.Context, server ports.VM) (ports.LoadReport, error)
}

func registerHooks(lifecycle fx.Lifecycle, m *Manager) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.Run()
			return nil
		},
		OnStop: func(context.Context) error {
			m.Stop()
			return nil
		},
	})
}

const (
	// tickPeriod is the time between two checks for delayed messages, expired
	// grants and due probes.
	tickPeriod = 25 * time.Millisecond
	// defaultExchangePeriod is the time between two charges messages to other owners.
	defaultExchangePeriod = time.Second
	// maxAckDelay is the longest time that the acknowledgment of a grant waits
	// for another message to the owner.
	maxAckDelay = 300 * time.Millisecond
	// fullReportPeriod is the time between two reports of all demand and held
	// slots.
	fullReportPeriod = 10 * time.Second
	// takeoverGracePeriod is how long a new owner waits for reports of held slots.
	takeoverGracePeriod = 300 * time.Millisecond
	// maxWaitWithoutServers is the longest time that calls wait while no backend
	// server is known.
	maxWaitWithoutServers = 5 * time.Second
	// probeTimeout is the timeout of a request for a load report.
	probeTimeout = time.Second
	// callOverheadBytes is the memory of a waiting call besides its body.
	callOverheadBytes = 2048
)
