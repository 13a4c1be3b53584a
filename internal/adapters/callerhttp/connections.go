package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/requesthead"
)

// keepAliveFraction is the fraction of the connection limit above which
// connections are closed after their answer: callers that were refused retry
// over new connections, and the old ones would use up the limit. Up to
// minKeepAliveConnections are always kept open.
const (
	keepAliveFraction       = 0.25
	minKeepAliveConnections = 64
)

// connectionLimiter counts the open connections and marks the contexts of those
// above the limit, so that their requests get a typed refusal. It is safe for
// concurrent use.
type connectionLimiter struct {
	limit  int64
	open   atomic.Int64
	gauge  tally.Gauge
	memory *callerMemory
}

// Keys of the values in a connection's context.
type (
	overLimitKey struct{}
	connKey      struct{}
)

func newConnectionLimiter(limit int, gauge tally.Gauge, memory *callerMemory) *connectionLimiter {
	return &connectionLimiter{limit: int64(limit), gauge: gauge, memory: memory}
}

// add changes the number of open connections by delta and returns the new
// number.
func (l *connectionLimiter) add(delta int64) int64 {
	open := l.open.Add(delta)
	l.gauge.Update(float64(open))
	l.memory.holdConnections(delta)
	return open
}

// isFull reports whether requests on another connection would be refused.
func (l *connectionLimiter) isFull() bool {
	return l.open.Load() >= l.limit
}

// shouldCloseAfterAnswer reports whether so many connections are open that each
// should be closed after its next answer.
func (l *connectionLimiter) shouldCloseAfterAnswer() bool {
	return float64(l.open.Load()) > max(keepAliveFraction*float64(l.limit), minKeepAliveConnections)
}

// connContext is the ConnContext function of the HTTP server. It counts the
// connection and stores it in its context.
func (l *connectionLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, conn)
	if l.add(1) <= l.limit {
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

// connState is the ConnState function of the HTTP server.
func (l *connectionLimiter) connState(conn net.Conn, state http.ConnState) {
	requesthead.ConnState(conn, state)
	if state == http.StateClosed || state == http.StateHijacked {
		l.add(-1)
		l.memory.releaseUnread(conn)
	}
}

// connFromContext returns the connection of a request, or nil.
func connFromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// isOverLimit reports whether the request's connection was opened above the
// limit.
func isOverLimit(ctx context.Context) bool {
	return ctx.Value(overLimitKey{}) != nil
}
