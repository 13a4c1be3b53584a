// Package app composes the daemon out of its managers and adapters. It is
// imported by cmd/hawthornstreamd alone.
//
// Concurrency: HTTP handlers run on their own goroutines; messages of peers and
// timers run on one pool of workers (package workpool). Both work on the shared
// tables of the managers, each behind the one mutex of its manager. The lock
// order is liveconfig, cluster, sharing, execution; a manager holds its mutex
// while it decides and never while it sends, writes or logs, so that nested
// locks are the exception.
package app

import (
	"context"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hawthornstream/internal/adapters/callerhttp"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/objectapi"
	"hawthornstream/internal/adapters/operatorhttp"
	"hawthornstream/internal/app/cluster"
	"hawthornstream/internal/app/dispatch"
	"hawthornstream/internal/app/execution"
	"hawthornstream/internal/app/lifecycle"
	"hawthornstream/internal/app/liveconfig"
	"hawthornstream/internal/app/sharing"
	"hawthornstream/internal/app/workpool"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
	"hawthornstream/platform"
)

const (
	// minWorkers is the least number of workers of the pool.
	minWorkers = 4
	// memoryUse is the part of the memory limit that the Go runtime aims to stay
	// within; the rest is for sockets and stacks that it does not count.
	memoryUse = 0.7
)

// Daemon is one composed daemon.
type Daemon struct {
	app       *fx.App
	lifecycle *lifecycle.Manager
	logger    *log.Logger
}

// New composes a daemon. It fails when a part can't be constructed.
func New(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	limitMemory(s.Limits.Memory)
	d := &Daemon{logger: logger}
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, logger),
		fx.Provide(provideMetrics, provideWorkers),
		cluster.Module,
		execution.Module,
		operatorhttp.Module,
		outside(s),
		fx.Provide(
			callerhttp.New,
			provideLifecycle,
			fx.Annotate(readiness, fx.ResultTags(`group:"readiness"`)),
			fx.Annotate(processorReadiness, fx.ResultTags(`group:"readiness"`)),
		),
		fx.Invoke(reportRuntime, serveCallers),
		fx.Populate(&d.lifecycle),
	)
	if err := d.app.Err(); err != nil {
		return nil, eris.Wrap(err, "compose the daemon")
	}
	return d, nil
}

// outside returns the parts that depend on the platform's interface.
func outside(s *settings.Settings) fx.Option {
	if s.Platform.Interface == settings.InterfaceObjects {
		return fx.Options(platform.Module, liveconfig.ReadOnlyModule, dispatch.Module)
	}
	return fx.Options(
		objectapi.Module,
		cluster.VMListModule,
		liveconfig.Module,
		sharing.Module,
		execution.BackendsModule,
		fx.Provide(callerhttp.DefaultDialect),
	)
}

// Run starts the daemon and serves until a signal or a planned stop, then lets
// each call in progress end. A second signal ends it at once. It fails when the
// start or the stop fails, or when calls were cut off.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	startCtx, cancelStart := context.WithTimeout(context.Background(), d.app.StartTimeout())
	defer cancelStart()
	if err := d.app.Start(startCtx); err != nil {
		return eris.Wrap(err, "start the daemon")
	}
	d.logger.Info().Str("event", "daemon-started").Msg("")

	drainCtx, cancelDrain := context.WithCancel(context.Background())
	defer cancelDrain()
	cause := d.awaitStop(signals)
	go func() {
		<-signals
		cancelDrain()
	}()
	drainErr := d.lifecycle.Drain(drainCtx, cause)

	stopCtx, cancelStop := context.WithTimeout(context.Background(), d.app.StopTimeout())
	defer cancelStop()
	if err := d.app.Stop(stopCtx); err != nil {
		return eris.Wrap(err, "stop the daemon")
	}
	d.logger.Info().Str("event", "daemon-stopped").Msg("")
	return drainErr
}

// limitMemory makes the collector work harder before the process reaches its
// limit.
func limitMemory(limit settings.Size) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryUse * float64(limit.Bytes())))
	}
}

func (d *Daemon) awaitStop(signals <-chan os.Signal) lifecycle.Cause {
	select {
	case <-signals:
		return lifecycle.CauseSignal
	case <-d.lifecycle.Requested():
		return lifecycle.CausePlanned
	}
}

// metricsResult is what the metrics adapter gives to the other parts.
type metricsResult struct {
	fx.Out

	Scope   tally.Scope
	Handler http.Handler `name:"metrics"`
}

func provideMetrics(lc fx.Lifecycle, logger *log.Logger) metricsResult {
	scope, handler, closer := metrics.New(logger)
	lc.Append(fx.StopHook(closer.Close))
	return metricsResult{Scope: scope, Handler: handler}
}

func reportRuntime(lc fx.Lifecycle, scope tally.Scope) {
	runtime := metrics.NewRuntimeReporter(scope)
	lc.Append(fx.StartStopHook(runtime.Run, runtime.Stop))
}

func provideWorkers(lc fx.Lifecycle) *workpool.Pool {
	pool := workpool.New(max(minWorkers, runtime.GOMAXPROCS(0)))
	lc.Append(fx.StopHook(pool.Stop))
	return pool
}

func provideLifecycle(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	callers *callerhttp.Server,
	peers *cluster.Manager,
	logger *log.Logger,
) *lifecycle.Manager {
	return lifecycle.NewManager(s, configuration, callers, peers, logger)
}

func readiness(m *lifecycle.Manager) ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "lifecycle", Reason: m.NotReady}
}

func processorReadiness(callers *callerhttp.Server) ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "processor", Reason: callers.NotReady}
}

func serveCallers(lc fx.Lifecycle, server *callerhttp.Server) {
	lc.Append(fx.StartHook(server.Run))
}
