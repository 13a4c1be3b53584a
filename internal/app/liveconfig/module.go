package liveconfig

import (
	"go.uber.org/fx"

	"hawthornstream/internal/ports"
)

// Module provides ports.ConfigurationSource, ports.ConfigurationEditor and the
// readiness check, and runs the manager. It needs ports.ObjectAPI,
// ports.Directory, ports.PeerTransport, ports.RevisionExchange, the logger and
// the metrics scope.
var Module = fx.Module("liveconfig",
	fx.Provide(New, func(m *Manager) ports.ConfigurationEditor { return m }),
	common,
)

// FollowerModule is Module for a platform on which operators write the
// configuration themselves: it needs ports.RevisionFeed in place of
// ports.ObjectAPI and provides no ports.ConfigurationEditor.
var FollowerModule = fx.Module("liveconfig", fx.Provide(NewFollower), common)

var common = fx.Options(
	fx.Provide(
		func(m *Manager) ports.ConfigurationSource { return m },
		fx.Annotate((*Manager).Readiness, fx.ResultTags(`group:"readiness"`)),
	),
	fx.Invoke(func(lifecycle fx.Lifecycle, m *Manager) {
		lifecycle.Append(fx.StartStopHook(m.Run, m.Stop))
	}),
)
