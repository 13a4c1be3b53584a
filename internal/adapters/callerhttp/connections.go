package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// crowdedPart is the part of the limit from which connections are closed after
// their answer: callers that were refused come back over new ones, and the old
// ones would fill the limit. So few connections as leastCrowded are always kept.
const (
	crowdedPart  = 0.25
	leastCrowded = 64
)

// connectionGauge counts the open connections and marks those above the limit,
// so that their requests get a typed refusal.
type connectionGauge struct {
	limit int64
	open  atomic.Int64
	shown tally.Gauge
}

type (
	overLimitKey struct{}
	connKey      struct{}
)

func newConnectionGauge(limit int, shown tally.Gauge) *connectionGauge {
	return &connectionGauge{limit: int64(limit), shown: shown}
}

// add counts connections that were opened or, negative, closed, and returns
// how many are open.
func (g *connectionGauge) add(count int64) int64 {
	open := g.open.Add(count)
	g.shown.Update(float64(open))
	return open
}

// crowded says whether connections should be closed after their answer.
func (g *connectionGauge) crowded() bool {
	return float64(g.open.Load()) > max(crowdedPart*float64(g.limit), leastCrowded)
}

func (g *connectionGauge) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, conn)
	if g.add(1) <= g.limit {
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

func (g *connectionGauge) connState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		g.add(-1)
	}
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

func overLimit(ctx context.Context) bool {
	return ctx.Value(overLimitKey{}) != nil
}
