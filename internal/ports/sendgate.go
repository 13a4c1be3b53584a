package ports

import (
	"sync/atomic"
	"time"
)

// SendGate records whether a call waits or has been sent to a backend server. It is safe for
// concurrent use. Nil records nothing.
type SendGate struct {
	// state is when the call was last sent, in nanoseconds since the Unix epoch; zero before
	// and between tries.
	state atomic.Int64
}

// Send records that the call is about to be sent.
func (g *SendGate) Send(now time.Time) {
	if g != nil {
		g.state.Store(now.UnixNano())
	}
}

// Wait records that a try has ended and the call waits for another one.
func (g *SendGate) Wait() {
	if g != nil {
		g.state.Store(0)
	}
}

// SentAt returns when the call was sent, and false while it waits.
func (g *SendGate) SentAt() (time.Time, bool) {
	sent := g.state.Load()
	return time.Unix(0, sent), sent > 0
}
