package execution

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/adapters/enginehttp"
	"hawthornstream/internal/adapters/servicehttp"
	"hawthornstream/internal/app/idempotency"
	"hawthornstream/internal/app/sharing"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// pruneEvery is the time between two searches for old idle connections.
const pruneEvery = 5 * time.Second

// Module provides the executor, the call history and the client of backend
// servers. It needs Backends.
var Module = fx.Module("execution",
	fx.Provide(
		newClient,
		newManager,
		fx.Annotate(func(c *backendhttp.Client) *backendhttp.Client { return c }, fx.As(new(sharing.LoadReader))),
		fx.Annotate(func(m *Manager) *Manager { return m }, fx.As(new(ports.Executor))),
		fx.Annotate(func(m *Manager) *Manager { return m }, fx.As(new(ports.CallHistory))),
	),
)

// OwnModule provides the backends that speak the daemon's own interface, and the
// records of idempotency keys.
var OwnModule = fx.Module("backends",
	idempotency.Module,
	fx.Provide(newBackends),
)

func newClient(lifecycle fx.Lifecycle) *backendhttp.Client {
	client := backendhttp.NewClient()
	stop := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go prune(client, stop)
			return nil
		},
		OnStop: func(context.Context) error {
			close(stop)
			client.Close()
			return nil
		},
	})
	return client
}

func prune(client *backendhttp.Client, stop <-chan struct{}) {
	ticker := time.NewTicker(pruneEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			client.Prune(now)
		case <-stop:
			return
		}
	}
}

func newBackends(client *backendhttp.Client, source ports.ConfigurationSource) Backends {
	limit := func(service ports.ServiceName) time.Duration { return progressWithin(source, service) }
	return Backends{
		configuration.ServiceKindEngine: enginehttp.New(client, limit),
		configuration.ServiceKindPlain:  servicehttp.New(client, limit),
	}
}

func progressWithin(source ports.ConfigurationSource, service ports.ServiceName) time.Duration {
	current := source.Current()
	if current == nil {
		return configuration.DefaultProgressWithin.Value()
	}
	return current.Document.Services[service].WithDefaults().ProgressWithin.Value()
}

// managerParams are the parts that the container has for the manager.
type managerParams struct {
	fx.In

	Settings  *settings.Settings
	Logger    *log.Logger
	Scope     tally.Scope
	Broker    ports.SlotBroker
	Backends  Backends
	Directory ports.Directory
	Keys      *idempotency.AttemptManager `optional:"true"`
}

func newManager(p managerParams) *Manager {
	return NewManager(Params{
		Logger: p.Logger, Scope: p.Scope, Broker: p.Broker, Backends: p.Backends, Keys: p.Keys,
		MaxAnswer:   p.Settings.Limits.Answer.Bytes(),
		RetryPolicy: newPolicyShare(p.Settings.Retries, p.Directory).policy,
	})
}
