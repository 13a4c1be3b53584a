package ports

import (
	"sync/atomic"
	"time"
)

// Values of a SendGate's state; others are when the call was sent, in nanoseconds since
// processStart.
const (
	gateWaiting = 0
	gateClosed  = -1
)

// processStart has a reading of the monotonic clock, which steps of the time of day don't change.
var processStart = time.Now().Add(-1)

// SendGate settles whether a call is sent to a backend server or given up unsent, when both
// are about to happen. It is safe for concurrent use. The zero value is open; nil stays open.
type SendGate struct {
	state atomic.Int64
	// closing says that no further try may be sent.
	closing atomic.Bool
}

// Send records that a try of the call is about to be sent. It returns false if the gate is
// closed: the call must then not be sent, and the context of its execution ends soon.
func (g *SendGate) Send(now time.Time) bool {
	return g == nil || !g.closing.Load() && g.state.CompareAndSwap(gateWaiting, int64(now.Sub(processStart)))
}

// Wait records that the last try has ended and the call waits for another one.
func (g *SendGate) Wait() {
	switch {
	case g == nil:
	case g.closing.Load():
		g.state.Store(gateClosed)
	default:
		// Close may have changed the state of a call that has not been sent yet.
		if sent := g.state.Load(); sent != gateClosed {
			g.state.CompareAndSwap(sent, gateWaiting)
		}
	}
}

// Close keeps further tries from being sent. It returns true if none is in progress: the
// context of the call's execution must then be ended. It is to be called until it does.
func (g *SendGate) Close() bool {
	g.closing.Store(true)
	return g.state.CompareAndSwap(gateWaiting, gateClosed) || g.state.Load() == gateClosed
}

// IsClosed reports whether further tries must not be sent.
func (g *SendGate) IsClosed() bool {
	return g != nil && g.closing.Load()
}

// SentAt returns when the call was sent, and false while it waits.
func (g *SendGate) SentAt() (time.Time, bool) {
	sent := g.state.Load()
	return processStart.Add(time.Duration(sent)), sent > 0
}
