package callerhttp

import (
	"bytes"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
)

const (
	// keepAlivePeriod is the time between two TCP probes of a quiet connection.
	keepAlivePeriod = 15 * time.Second
	// aboveLimit is what may be open above the limit of connections, as a part of
	// it, for the typed refusals that callers get there.
	aboveLimit = 0.2
	// resetFrom is the part of the requests to turn away from which connections
	// are closed unread: reading a request only to refuse it is most of what is
	// left to save.
	resetFrom = 0.3
)

// Reasons to close a new connection before anything of it is read.
const (
	closedCallerGone      = "caller-gone"
	closedConnectionLimit = "connection-limit"
	closedOverload        = "overload"
)

// doorkeeper is a listener that closes connections which could only be refused.
// A caller whose connection is closed unread knows that nothing ran, and comes
// back through the balancer.
type doorkeeper struct {
	net.Listener
	connections *connectionGauge
	pressure    *pressure
	closed      *metrics.CounterVec
	lines       *logging.Limiter
	logger      *log.Logger
}

func newDoorkeeper(inner net.Listener, s *Server, scope tally.Scope) *doorkeeper {
	return &doorkeeper{
		Listener: inner, connections: s.connections, pressure: s.pressure,
		closed: metrics.NewCounterVec(scope, "connections_closed_unread", "reason"),
		lines:  s.lines, logger: s.logger,
	}
}

// Accept implements net.Listener.
func (d *doorkeeper) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason := d.unwanted(conn)
		if reason == "" {
			d.probe(conn)
			return conn, nil
		}
		d.closed.Inc(reason)
		if d.lines.Allow("connection-closed-unread", reason) {
			d.logger.Info().Str("event", "connection-closed-unread").Str("reason", reason).
				Float64("turnedAway", d.pressure.refused()).Int64("open", d.connections.open.Load()).Msg("")
		}
		reset(conn)
	}
}

// unwanted returns why a connection is to be closed, or nothing. A caller that
// waited for its connection longer than its patience has gone already.
func (d *doorkeeper) unwanted(conn net.Conn) string {
	switch {
	case hungUp(conn):
		return closedCallerGone
	case float64(d.connections.open.Load()) >= (1+aboveLimit)*float64(d.connections.limit):
		return closedConnectionLimit
	case d.pressure.refused() >= resetFrom && d.pressure.turnsAway():
		return closedOverload
	}
	return ""
}

// probe lets the kernel find callers that vanished.
func (d *doorkeeper) probe(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	config := net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod}
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		d.logger.Debug().Str("event", "keep-alive-failed").Err(err).Msg("")
	}
}

// reset closes a connection without the states that an orderly close leaves
// behind.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it the connection is closed in order, which costs a little more.
		_ = tcp.SetLinger(0)
	}
	// There is nobody to tell that the connection was broken already.
	_ = conn.Close()
}

// httpErrors passes on what net/http says of connections, bounded.
type httpErrors struct {
	lines  *logging.Limiter
	logger *log.Logger
}

// Write implements io.Writer for one line.
func (e *httpErrors) Write(line []byte) (int, error) {
	if e.lines.Allow("callers-connection-failed", "") {
		e.logger.Warn().Str("event", "callers-connection-failed").Bytes("detail", bytes.TrimSpace(line)).Msg("")
	}
	return len(line), nil
}
