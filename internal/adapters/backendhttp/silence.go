package backendhttp

import (
	"context"
	"time"

	"hawthornstream/internal/ports"
)

// maxSilentPeriods is the number of silence timeouts after which the connection of
// a repeatable call is closed although its server is alive.
const maxSilentPeriods = 3

// ProbeOnSilence returns a function for Request.ShouldCloseSilent, for answers that
// are sent in one piece: there a slow server and a broken connection look the same.
// It closes the connection at once if the server does not answer over a new one,
// and the connection of a repeatable call after maxSilentPeriods timeouts. timeout
// is Request.SilenceTimeout.
func ProbeOnSilence(
	ctx context.Context, client *Client, call *ports.Call, server ports.VM, timeout time.Duration,
) func(silence time.Duration) bool {
	return func(silence time.Duration) bool {
		if !client.IsAlive(ctx, server) {
			return true
		}
		return call.Repeatable && silence >= maxSilentPeriods*timeout
	}
}
