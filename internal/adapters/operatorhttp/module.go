package operatorhttp

import "go.uber.org/fx"

// Module runs the HTTP server for operators.
var Module = fx.Module("operatorhttp",
	fx.Provide(New),
	fx.Invoke(func(lifecycle fx.Lifecycle, s *Server) {
		lifecycle.Append(fx.StartStopHook(s.Start, s.Stop))
	}),
)
