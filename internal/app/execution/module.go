package execution

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/adapters/enginehttp"
	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/servicehttp"
	"hawthornstream/internal/app/idempotency"
	"hawthornstream/internal/app/sharing"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// pruneInterval is the time between two checks for connections that were idle for too
// long.
const pruneInterval = 5 * time.Second

// Module provides the executor, the call history and the HTTP client of backend
// servers. It requires Backends.
var Module = fx.Module("execution",
	fx.Provide(
		newClient,
		newExecutor,
		fx.Annotate(func(c *backendhttp.Client) *backendhttp.Client { return c }, fx.As(new(sharing.LoadReader))),
		fx.Annotate(func(e *Executor) *Executor { return e }, fx.As(new(ports.Executor))),
		fx.Annotate(func(e *Executor) *Executor { return e }, fx.As(new(ports.CallHistory))),
	),
)

// BackendsModule provides Backends for backend servers with the daemon's own
// protocols, and the idempotency records. It is for platforms that bring no Backends.
var BackendsModule = fx.Module("backends",
	idempotency.Module,
	fx.Provide(newBackends),
)

func newClient(lifecycle fx.Lifecycle, scope tally.Scope, account *heldmemory.Account) *backendhttp.Client {
	client := backendhttp.NewClient(scope, account)
	stop := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go pruneIdleConnections(client, stop)
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

func pruneIdleConnections(client *backendhttp.Client, stop <-chan struct{}) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			client.PruneIdle(now)
		case <-stop:
			return
		}
	}
}

func newBackends(client *backendhttp.Client, source ports.ConfigurationSource) Backends {
	progressTimeout := func(service ports.ServiceName) time.Duration { return progressWithin(source, service) }
	return Backends{
		configuration.ServiceKindEngine: enginehttp.New(client, progressTimeout),
		configuration.ServiceKindPlain:  servicehttp.New(client, progressTimeout),
	}
}

// progressWithin returns the longest time that a run of the service may go on without
// progress.
func progressWithin(source ports.ConfigurationSource, service ports.ServiceName) time.Duration {
	current := source.Current()
	if current == nil {
		return configuration.DefaultProgressWithin.Value()
	}
	return current.Document.Services[service].WithDefaults().ProgressWithin.Value()
}

// executorParams are the dependencies that fx injects.
type executorParams struct {
	fx.In

	Settings  *settings.Settings
	Logger    *log.Logger
	Scope     tally.Scope
	Broker    ports.SlotBroker
	Backends  Backends
	Directory ports.Directory
	Keys      *idempotency.AttemptManager `optional:"true"`
}

func newExecutor(p executorParams) *Executor {
	return NewExecutor(Params{
		Logger: p.Logger, Scope: p.Scope, Broker: p.Broker, Backends: p.Backends, Keys: p.Keys,
		MaxAnswerBytes: p.Settings.Limits.MaxReplayedAnswerSize.Bytes(),
		RetryPolicy:    newFleetRetryPolicy(time.Now(), p.Settings.Retries, p.Directory).daemonPolicy,
	})
}
