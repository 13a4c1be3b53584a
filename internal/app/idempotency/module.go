package idempotency

import (
	"context"

	"go.uber.org/fx"
)

// Module provides and runs AttemptManager and RangeManager. At a stop
// AttemptManager stops first.
var Module = fx.Module("idempotency",
	fx.Provide(NewAttemptManager, NewRangeManager),
	fx.Invoke(addRangeManagerHooks, addAttemptManagerHooks),
)

func addAttemptManagerHooks(lifecycle fx.Lifecycle, m *AttemptManager) {
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

func addRangeManagerHooks(lifecycle fx.Lifecycle, m *RangeManager) {
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		m.Stop()
		return nil
	}})
}
