package liveconfig

import (
	"go.uber.org/fx"

	"hawthornstream/internal/ports"
)

// Module provides ports.ConfigurationSource, ports.ConfigurationEditor and the
// readiness check, and starts and stops the manager. It needs ports.ObjectAPI,
// ports.Directory, ports.PeerTransport, ports.RevisionExchange, the logger and
// the metrics scope.
var Module = fx.Module("liveconfig",
	fx.Provide(New, func(m *Manager) ports.ConfigurationEditor { return m }),
	commonOptions,
)

// ReadOnlyModule replaces Module for a platform to which operators write the
// configuration themselves: it needs ports.RevisionFeed instead of
// ports.ObjectAPI and provides no ports.ConfigurationEditor.
var ReadOnlyModule = fx.Module("liveconfig", fx.Provide(NewReadOnly), commonOptions)

var commonOptions = fx.Options(
	fx.Provide(
		func(m *Manager) ports.ConfigurationSource { return m },
		fx.Annotate((*Manager).Readiness, fx.ResultTags(`group:"readiness"`)),
	),
	fx.Invoke(func(lifecycle fx.Lifecycle, m *Manager) {
		lifecycle.Append(fx.StartStopHook(m.Run, m.Stop))
	}),
)
