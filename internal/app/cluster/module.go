package cluster

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/peer"
	"hawthornstream/internal/adapters/tlsfiles"
	"hawthornstream/internal/adapters/vmlist"
	"hawthornstream/internal/app/workpool"
	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Module provides ports.Directory, ports.PeerTransport, ports.PeerIncarnations,
// ports.RevisionExchange and ports.Leaver. It needs ports.VMList.
var Module = fx.Module("cluster",
	fx.Provide(
		newIncarnation,
		fx.Annotate(provideTransport,
			fx.As(new(Transport)),
			fx.As(new(ports.PeerTransport)),
			fx.As(new(ports.PeerIncarnations)),
		),
		fx.Annotate(provideManager,
			fx.As(fx.Self()),
			fx.As(new(ports.Directory)),
			fx.As(new(ports.RevisionExchange)),
			fx.As(new(ports.Leaver)),
		),
		fx.Annotate(provideReadiness, fx.ResultTags(`group:"readiness"`)),
	),
)

// VMListModule provides ports.VMList, read from the URL in the settings.
var VMListModule = fx.Module("vmlist",
	fx.Provide(fx.Annotate(provideVMList, fx.As(new(ports.VMList)))),
)

// newIncarnation returns the current time in milliseconds since the Unix epoch,
// so that a restarted daemon has a higher incarnation.
func newIncarnation() ports.Incarnation {
	return ports.Incarnation(time.Now().UnixMilli())
}

func selfVM(s *settings.Settings) ports.VM {
	return ports.VM{
		Name:    s.VM.Name,
		Kind:    ports.VMKindDaemon,
		Domain:  s.VM.FailureDomain,
		Region:  s.VM.Region,
		Address: s.Listen.Peers,
	}
}

func provideVMList(
	lifecycle fx.Lifecycle, s *settings.Settings, account *heldmemory.Account, scope tally.Scope, logger *log.Logger,
) *vmlist.Client {
	client := vmlist.New(s.Platform.VMList, account, scope, logger)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func provideTransport(
	lifecycle fx.Lifecycle,
	s *settings.Settings,
	incarnation ports.Incarnation,
	account *heldmemory.Account,
	pool *workpool.Pool,
	logger *log.Logger,
	scope tally.Scope,
) (*peer.Transport, error) {
	security, err := provideSecurity(s, logger)
	if err != nil {
		return nil, err
	}
	transport, err := peer.New(peer.Options{
		Self:          selfVM(s),
		Incarnation:   incarnation,
		ListenAddress: s.Listen.Peers,
		Timing:        peer.DefaultTiming(),
		TLS:           security,
		Account:       account,
		Pool:          pool,
		Logger:        logger,
		Scope:         scope,
	})
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return transport.Start() },
		OnStop: func(context.Context) error {
			transport.Stop()
			return nil
		},
	})
	return transport, nil
}

// provideSecurity returns nil when the settings contain no TLS files for peers.
func provideSecurity(s *settings.Settings, logger *log.Logger) (peer.TLSConfigs, error) {
	if s.TLS.Peers == nil {
		return nil, nil
	}
	mutual, err := tlsfiles.NewMutualTLS(*s.TLS.Peers, logger)
	if err != nil {
		return nil, err
	}
	return mutual, nil
}

func provideManager(
	lifecycle fx.Lifecycle,
	s *settings.Settings,
	incarnation ports.Incarnation,
	vmList ports.VMList,
	transport Transport,
	logger *log.Logger,
	scope tally.Scope,
) *Manager {
	manager := NewManager(Options{
		Self:                  selfVM(s),
		Incarnation:           incarnation,
		VMListPeriod:          s.Platform.VMListPeriod.Value(),
		VMListIsAuthoritative: s.Platform.Interface == settings.InterfaceObjects,
		Membership:            membership.DefaultConfig(),
		VMList:                vmList,
		Transport:             transport,
		Logger:                logger,
		Scope:                 scope,
	})
	lifecycle.Append(fx.StartStopHook(manager.Run, manager.Stop))
	return manager
}

func provideReadiness(manager *Manager) ports.ReadinessCheck {
	return ports.ReadinessCheck{Name: "fleet", Reason: manager.notReadyReason}
}
