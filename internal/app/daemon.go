// Package app composes the daemon from its managers and adapters. Only
// cmd/hawthornstreamd imports it.
//
// Concurrency: HTTP handlers run on their own goroutines; peer messages and
// timers run on one worker pool (package workpool). Both access the shared state
// of the managers, which each manager guards with one mutex. The lock order is
// liveconfig, cluster, sharing, execution. A manager holds its mutex while it
// decides, never while it sends, writes or logs, so nested locks are rare.
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
	"hawthornstream/internal/adapters/heldmemory"
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
	// minWorkers is the minimum number of workers in the pool.
	minWorkers = 4
	// runtimeMemoryFraction is the fraction of the process's memory limit that is
	// set as the Go runtime's soft limit; the rest is for sockets and stacks that
	// the runtime does not count.
	runtimeMemoryFraction = 0.7
	// usableMemoryFraction is the fraction of the limit that is to be used at most, and
	// programBytes what the program itself and a late collection need of it, which matters
	// where the limit is small. The runtime's limit is not below minRuntimeMemoryFraction.
	usableMemoryFraction     = 0.85
	programBytes             = 24 << 20
	minRuntimeMemoryFraction = 0.5
)

// Daemon is a composed daemon, ready to run.
type Daemon struct {
	container *fx.App
	lifecycle *lifecycle.Manager
	logger    *log.Logger
}

// New composes a daemon and sets the Go runtime's memory limit. It fails when a
// component can't be constructed.
func New(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	setMemoryLimit(s.Limits.Memory)
	d := &Daemon{logger: logger}
	d.container = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, logger),
		fx.Provide(provideMetrics, provideWorkPool, heldmemory.New),
		cluster.Module,
		execution.Module,
		operatorhttp.Module,
		interfaceModules(s),
		fx.Provide(
			callerhttp.New,
			provideLifecycle,
			fx.Annotate(lifecycleReadiness, fx.ResultTags(`group:"readiness"`)),
			fx.Annotate(processorReadiness, fx.ResultTags(`group:"readiness"`)),
		),
		fx.Invoke(reportRuntimeMetrics, serveCallers),
		fx.Populate(&d.lifecycle),
	)
	if err := d.container.Err(); err != nil {
		return nil, eris.Wrap(err, "compose the daemon")
	}
	return d, nil
}

// interfaceModules returns the modules for the platform interface that the
// settings select.
func interfaceModules(s *settings.Settings) fx.Option {
	if s.Platform.Interface == settings.InterfaceObjects {
		return fx.Options(platform.Module, liveconfig.ReadOnlyModule, dispatch.Module, handoverModule)
	}
	return fx.Options(
		objectapi.Module,
		cluster.VMListModule,
		liveconfig.Module,
		sharing.Module,
		execution.BackendsModule,
		fx.Provide(callerhttp.DefaultDialect, func() *callerhttp.HandoverTable { return nil }),
	)
}

// handoverModule lets the daemons of a failure domain serve connections for each other.
// Their offers travel with the load reports.
var handoverModule = fx.Provide(
	callerhttp.NewHandoverTable,
	func(t *callerhttp.HandoverTable) ports.HandoverOffers { return t },
	func(t *callerhttp.HandoverTable) ports.HandoverView { return t },
)

// Run starts the daemon and serves until a signal or a planned stop, then drains
// the calls in progress. Further signals change nothing, but an interrupt ends the
// drain at once. Run fails when the start or the stop fails, or when calls were cut
// off.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	go d.lifecycle.HandleSignals(signals)
	startCtx, cancelStart := context.WithTimeout(context.Background(), d.container.StartTimeout())
	defer cancelStart()
	if err := d.container.Start(startCtx); err != nil {
		return eris.Wrap(err, "start the daemon")
	}
	d.logger.Info().Str("event", "daemon-started").Msg("")

	drainErr := d.lifecycle.Drain(<-d.lifecycle.StopRequested())

	stopCtx, cancelStop := context.WithTimeout(context.Background(), d.container.StopTimeout())
	defer cancelStop()
	if err := d.container.Stop(stopCtx); err != nil {
		return eris.Wrap(err, "stop the daemon")
	}
	d.logger.Info().Str("event", "daemon-stopped").Msg("")
	return drainErr
}

// setMemoryLimit makes garbage collection more frequent before the process
// reaches its memory limit. A limit of 0 changes nothing.
func setMemoryLimit(limit settings.Size) {
	if limit > 0 {
		bytes := float64(limit.Bytes())
		usable := min(runtimeMemoryFraction*bytes, usableMemoryFraction*bytes-programBytes)
		debug.SetMemoryLimit(int64(max(usable, minRuntimeMemoryFraction*bytes)))
	}
}

// metricsResult holds what the metrics adapter provides to other components.
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

func reportRuntimeMetrics(lc fx.Lifecycle, scope tally.Scope) {
	runtime := metrics.NewRuntimeReporter(scope)
	lc.Append(fx.StartStopHook(runtime.Run, runtime.Stop))
}

func provideWorkPool(lc fx.Lifecycle) *workpool.Pool {
	pool := workpool.New(max(minWorkers, runtime.GOMAXPROCS(0)))
	lc.Append(fx.StopHook(pool.Stop))
	return pool
}

func provideLifecycle(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	callers *callerhttp.Server,
	peers *cluster.Manager,
	scope tally.Scope,
	logger *log.Logger,
) *lifecycle.Manager {
	return lifecycle.NewManager(s, configuration, callers, peers, scope, logger)
}

func lifecycleReadiness(m *lifecycle.Manager) ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "lifecycle", Reason: m.NotReadyReason}
}

func processorReadiness(callers *callerhttp.Server) ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "processor", Reason: callers.NotReadyReason}
}

func serveCallers(lc fx.Lifecycle, server *callerhttp.Server) {
	lc.Append(fx.StartHook(server.Run))
}
