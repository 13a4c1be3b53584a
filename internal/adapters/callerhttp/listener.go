package callerhttp

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/tcpstate"
)

const (
	// keepAlivePeriod is the time between two TCP keep-alive probes of an idle
	// connection.
	keepAlivePeriod = 15 * time.Second
	// overLimitFraction is the number of connections that may be open above the
	// limit, as a fraction of it. Their requests get a typed refusal.
	overLimitFraction = 0.2
	// closeUnreadThreshold is the shed fraction from which new connections are
	// closed unread: reading a request only to refuse it is most of the work that
	// can still be saved.
	closeUnreadThreshold = 0.3
	// acceptAfterClose is how long connections are accepted after Close. The kernel
	// resets established connections that were not accepted when it closes the socket.
	acceptAfterClose = 100 * time.Millisecond
)

// Reasons to close a new connection before reading from it.
const (
	closeReasonCallerGone      = "caller-gone"
	closeReasonConnectionLimit = "connection-limit"
	closeReasonOverload        = "overload"
	closeReasonStopping        = "stopping"
	closeReasonNotReady        = "not-ready"
)

// sheddingListener is a listener that closes new connections whose requests would
// only be refused. A caller whose connection is closed unread knows that nothing
// ran, and retries through the load balancer.
type sheddingListener struct {
	net.Listener
	server       *Server
	closedUnread *metrics.CounterVec
	// closed is true from the first call of Close on.
	closed atomic.Bool
}

func newSheddingListener(inner net.Listener, s *Server, scope tally.Scope) *sheddingListener {
	return &sheddingListener{
		Listener: inner, server: s,
		closedUnread: metrics.NewCounterVec(scope, "connections_closed_unread", "reason"),
	}
}

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	for {
		for l.server.shouldCloseNext() && resetNextConnection(l.Listener) {
			l.countClosed(closeReasonOverload)
		}
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason := l.server.unservedReason(conn)
		if reason == "" && l.server.handover != nil && l.server.handover.handOver(conn) {
			continue
		}
		if reason == "" && l.server.shedder.shouldCloseUnread() {
			reason = closeReasonOverload
		}
		if reason == "" {
			l.server.enableKeepAlive(conn)
			return conn, nil
		}
		l.countClosed(reason)
		closeWithReset(conn)
	}
}

// Close implements net.Listener. The first call returns at once and lets Accept return
// the connections that callers have already established; the socket is closed after
// acceptAfterClose, or at once by the next call.
//
// Load pattern: a daemon that gets little processor time is stopped, while callers that
// just connected wait in the kernel's queue.
func (l *sheddingListener) Close() error {
	if l.closed.Swap(true) {
		return l.Listener.Close()
	}
	time.AfterFunc(acceptAfterClose, func() {
		if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			l.server.logger.Warn().Str("event", "callers-close-failed").Err(err).Msg("")
		}
	})
	return nil
}

// countClosed counts and logs a connection that is closed unread.
func (l *sheddingListener) countClosed(reason string) {
	l.closedUnread.Inc(reason)
	l.server.closedUnread.Add(1)
	if l.server.logLimiter.Allow("connection-closed-unread", reason) {
		l.server.logger.Info().Str("event", "connection-closed-unread").Str("reason", reason).
			Float64("turnedAway", l.server.shedder.shedFraction()).Int64("open", l.server.connections.open.Load()).Msg("")
	}
}

// shouldCloseNext decides for the next new connection whether to close it unread
// because of overload, if it is waiting already.
func (s *Server) shouldCloseNext() bool {
	return s.shedder.shouldCloseUnread() && (s.handover == nil || s.handover.isExhausted())
}

// unservedReason returns why no daemon should serve a new connection, or "". A caller
// that waited for its connection longer than its maximum wait has already hung up.
func (s *Server) unservedReason(conn net.Conn) string {
	switch {
	case hungUp(conn):
		return closeReasonCallerGone
	case float64(s.connections.open.Load()) >= (1+overLimitFraction)*float64(s.connections.limit):
		return closeReasonConnectionLimit
	}
	return ""
}

// closeReason returns why a connection is to be closed unread, or "" to serve it here.
func (s *Server) closeReason(conn net.Conn) string {
	if reason := s.unservedReason(conn); reason != "" {
		return reason
	}
	if s.shedder.shouldCloseUnread() {
		return closeReasonOverload
	}
	return ""
}

// enableKeepAlive lets the kernel detect callers that disappeared without closing
// their connection.
func (s *Server) enableKeepAlive(conn net.Conn) {
	tcp, _ := tcpstate.Unwrap(conn)
	if tcp == nil {
		return
	}
	config := net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod}
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		s.logger.Debug().Str("event", "keep-alive-failed").Err(err).Msg("")
	}
}

// closeWithReset closes a connection with a TCP reset, which leaves no connection
// state (such as TIME_WAIT) behind.
func closeWithReset(conn net.Conn) {
	if tcp, isEncrypted := tcpstate.Unwrap(conn); tcp != nil && !isEncrypted {
		// If this fails, the connection is closed in order, which costs a little
		// more.
		_ = tcp.SetLinger(0)
	}
	// An error means that the connection was already broken.
	_ = conn.Close()
}

// httpErrorLog writes the error messages of net/http to the daemon's log, limited
// in rate.
type httpErrorLog struct {
	logLimiter *logging.Limiter
	logger     *log.Logger
}

// Write implements io.Writer. Each call writes one line.
func (e *httpErrorLog) Write(line []byte) (int, error) {
	if e.logLimiter.Allow("callers-connection-failed", "") {
		e.logger.Warn().Str("event", "callers-connection-failed").Bytes("detail", bytes.TrimSpace(line)).Msg("")
	}
	return len(line), nil
}
