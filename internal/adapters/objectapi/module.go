package objectapi

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// Module provides a Client for the base URL in the settings, also as
// ports.ObjectAPI.
var Module = fx.Module("objectapi",
	fx.Provide(func(s *settings.Settings, scope tally.Scope) *Client {
		return New(s.Platform.ObjectAPI, scope)
	}),
	fx.Provide(func(c *Client) ports.ObjectAPI { return c }),
	fx.Invoke(func(lifecycle fx.Lifecycle, c *Client) {
		lifecycle.Append(fx.StopHook(c.Close))
	}),
)
