package callerhttp

import (
	"context"
	"net"
	"sync"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
)

// takenOverIdleTimeout is how long a connection that was taken over stays open without a
// request, so that the daemon that relays it soon gets rid of it.
const takenOverIdleTimeout = time.Second

// takenOverKey is the key, in a connection's context, of the *takenOverConn of a
// connection that was taken over from another daemon.
type takenOverKey struct{}

// takeOverListener accepts the connections that other daemons hand over. It confirms
// each one, or closes it unread.
type takeOverListener struct {
	net.Listener
	handover *handover
}

// Accept implements net.Listener.
func (l *takeOverListener) Accept() (net.Conn, error) {
	h := l.handover
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason := l.refusalReason(conn)
		if reason == "" {
			if _, err := conn.Write([]byte{handoverAccepted}); err == nil {
				h.takenOver.Inc(1)
				h.server.enableKeepAlive(conn)
				return conn, nil
			}
			reason = closeReasonCallerGone
		}
		h.refused.Inc(reason)
		if h.logLimiter.Allow("take-over-refused", reason) {
			h.logger.Info().Str("event", "take-over-refused").Str("reason", reason).Msg("")
		}
		closeWithReset(conn)
	}
}

// refusalReason returns why a connection is not taken over, or "".
func (l *takeOverListener) refusalReason(conn net.Conn) string {
	server := l.handover.server
	switch {
	case server.stopAnnounced.Load():
		return closeReasonStopping
	case server.configuration.Current() == nil:
		return closeReasonNotReady
	case server.connections.isFull():
		return closeReasonConnectionLimit
	}
	return server.closeReason(conn)
}

// isTakenOver reports whether the request came over a connection that another daemon
// handed over, and whether that is to be closed after the answer.
func isTakenOver(ctx context.Context) (takenOver, shouldClose bool) {
	conn, takenOver := ctx.Value(takenOverKey{}).(*takenOverConn)
	return takenOver, takenOver && overload.ShouldCloseTakenOver(time.Since(conn.takenOverAt), conn.relayState())
}

// relayRefusal returns a refusal of a call on a connection that was taken over if the daemon
// that relays it refuses calls, or is silent and may do so, and nil for others.
func (s *Server) relayRefusal(ctx context.Context) *outcome.Refusal {
	conn, takenOver := ctx.Value(takenOverKey{}).(*takenOverConn)
	if !takenOver {
		return nil
	}
	silence, relay := conn.silence(), conn.relayState()
	switch {
	case !overload.ShouldRefuseTakenOver(silence, relay):
		return nil
	case relay == overload.RelayRefusing:
		return newStoppingRefusal("the daemon that relays the connection is stopping")
	}
	s.handover.refusedOfSilent.Inc(1)
	if s.logLimiter.Allow("relay-silent", "") {
		s.logger.Warn().Str("event", "relay-silent").Stringer("relay", conn.conn.RemoteAddr()).Dur("silence", silence).
			Str("state", relay.String()).Msg("")
	}
	return newStoppingRefusal("the daemon that relays the connection may be stopping")
}

// returnedListener passes connections that no peer took over to this daemon's server.
type returnedListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newReturnedListener(address net.Addr) *returnedListener {
	return &returnedListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to the server. After Close it closes the connection, from
// which nothing has been read.
func (l *returnedListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		closeWithReset(conn)
	}
}

// Accept implements net.Listener.
func (l *returnedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *returnedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *returnedListener) Addr() net.Addr { return l.address }
