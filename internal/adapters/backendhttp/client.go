package backendhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/tcpstate"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/ports"
)

const (
	// maxIdleConnectionsPerServer limits the idle connections to one server,
	// whatever a request allows.
	maxIdleConnectionsPerServer = 32
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 15 * time.Second
	// dialTimeout allows a few round trips between regions. It is shorter than
	// the retransmission of a lost SYN, which takes a second: another server
	// answers sooner.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is the longest time that sent bytes may stay
	// unacknowledged.
	unacknowledgedTimeout = 10 * time.Second
	// maxAnswerHeaderBytes limits the size of an answer's header, with the interim answers
	// before it.
	maxAnswerHeaderBytes = 256 << 10

	// TCP keep-alive: the idle time before the first probe, the interval between
	// probes, and the number of unanswered probes that break the connection.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// ProgressTimeout returns the longest time that a connection to a backend server
// of the service may bring no byte of an answer; zero means no limit.
type ProgressTimeout func(service ports.ServiceName) time.Duration

// Client sends requests to backend servers over its own pool of connections. A
// request is written to at most one connection, and only once. Client is safe for
// concurrent use.
type Client struct {
	transport *http.Transport
	// opened and closedCounter count connections by openReason and closeReason.
	opened, closedCounter *metrics.CounterVec
	// rejected counts the answers that break off or don't follow the protocol by reason.
	rejected *metrics.CounterVec
	// invalidRetryAfter counts the answers with an invalid Retry-After by problem.
	invalidRetryAfter *metrics.CounterVec
	// writeWaits are the times that requests waited to be written, by what their callers did.
	writeWaits *metrics.DurationHistogramVec
	// account is the account of the memory that answers hold until they have arrived whole.
	account *heldmemory.Account
	// loadRequests numbers the requests for load reports.
	loadRequests atomic.Uint64

	mu sync.Mutex
	// idle holds the idle connections by address, the oldest first.
	idle map[string][]*clientConn
	// openCount is the number of connections by address, including idle ones and
	// those being dialed.
	openCount map[string]int
	closed    bool
	// cancellations tracks the goroutines started by CancelAsync.
	cancellations sync.WaitGroup
}

// clientConn is one connection and its state in the pool.
type clientConn struct {
	httpConn *http.ClientConn
	// tracked is the network connection below httpConn. It is set while dialing.
	tracked *trackedConn
	address string
	// reused is true once the connection was taken from the idle ones.
	reused    bool
	idleSince time.Time
	// maxIdleTime is the time after which the idle connection is closed: the server
	// may state a shorter one than idleTimeout.
	maxIdleTime time.Duration
	// uncounted is true once Client.openCount excludes the connection.
	uncounted bool
}

// clientConnKey is the context key of the *clientConn that is being dialed.
type clientConnKey struct{}

// NewClient returns a client without open connections, which counts those that it
// opens and closes in the scope. Without an account, the memory of answers has no limit. The
// caller must call Close.
func NewClient(scope tally.Scope, account *heldmemory.Account) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return tcpstate.SetUnacknowledgedTimeout(raw, unacknowledgedTimeout)
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DisableCompression: true,
		// The limit is kept by answerHead, whose error tells why the connection was closed.
		MaxResponseHeaderBytes: 2 * maxAnswerHeaderBytes,
		Protocols:              protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := newTrackedConn(conn)
			if dialing, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
				dialing.tracked = tracked
				tracked.head.newMessage = func(kind memory.Kind, uncounted int64) *heldmemory.Message {
					return account.NewMessage(kind, memory.Source(dialing.address), uncounted, func() { _ = conn.Close() })
				}
			}
			return tracked, nil
		},
	}
	scope = scope.SubScope("backend")
	return &Client{
		transport:         transport,
		opened:            metrics.NewCounterVec(scope, "connections_opened", "reason"),
		closedCounter:     metrics.NewCounterVec(scope, "connections_closed", "reason"),
		rejected:          metrics.NewCounterVec(scope, "answers_rejected", "reason"),
		invalidRetryAfter: metrics.NewCounterVec(scope, "invalid_retry_after", "problem"),
		writeWaits:        metrics.NewDurationHistogramVec(scope, "write_wait_seconds", "caller"),
		idle:              make(map[string][]*clientConn),
		openCount:         make(map[string]int),
		account:           account,
	}
}

// Close closes the idle connections and waits for the cancellations in progress.
// A connection in use is closed when its exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = make(map[string][]*clientConn)
	c.mu.Unlock()
	for _, conns := range idle {
		c.closeConns(conns, closeReasonClientClosed)
	}
	c.cancellations.Wait()
}

// PruneIdle closes idle connections that broke or have exceeded the idle timeout.
func (c *Client) PruneIdle(now time.Time) {
	c.mu.Lock()
	var unusable []*clientConn
	for address, conns := range c.idle {
		usable, dropped := splitUsable(conns, now)
		unusable = append(unusable, dropped...)
		if len(usable) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = usable
	}
	c.mu.Unlock()
	c.closeConns(unusable, closeReasonIdleEnded)
}

// DropIdle closes the idle connections to an address after another one has gone
// silent: what lies between may have lost track of them all.
func (c *Client) DropIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	c.closeConns(conns, closeReasonSilent)
}

func splitUsable(conns []*clientConn, now time.Time) (usable, unusable []*clientConn) {
	for _, conn := range conns {
		if conn.usable(now) {
			usable = append(usable, conn)
			continue
		}
		unusable = append(unusable, conn)
	}
	return usable, unusable
}

func (c *Client) closeConns(conns []*clientConn, reason closeReason) {
	for _, conn := range conns {
		c.closeConn(conn, reason)
	}
}

// closeConn closes a connection and removes it from openCount.
func (c *Client) closeConn(conn *clientConn, reason closeReason) {
	_ = conn.httpConn.Close()
	c.closedCounter.Inc(string(reason))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncountLocked(conn)
}

// uncountLocked removes a connection from openCount. Repeated calls have no
// effect. The caller must hold c.mu.
func (c *Client) uncountLocked(conn *clientConn) {
	if conn.uncounted {
		return
	}
	conn.uncounted = true
	if c.openCount[conn.address]--; c.openCount[conn.address] <= 0 {
		delete(c.openCount, conn.address)
	}
}

// usable reports whether an idle connection may carry another request.
func (conn *clientConn) usable(now time.Time) bool {
	return conn.httpConn.Err() == nil && !conn.tracked.broke.Load() && now.Sub(conn.idleSince) < conn.maxIdleTime
}

// acquireConn returns an idle connection, or a new one if none is idle or
// forceNew is set. At the limit, a new connection replaces the oldest idle one.
// Errors are of type *ConnectError.
func (c *Client) acquireConn(ctx context.Context, request *Request, forceNew bool) (*clientConn, error) {
	reason := openReasonRequired
	if !forceNew {
		var conn *clientConn
		if conn, reason = c.takeIdle(request, time.Now()); conn != nil {
			return conn, nil
		}
	}
	if !c.reserveConn(request.Address, request.MaxConnections) {
		return nil, &ConnectError{Address: request.Address, Cause: &ConnectionLimitError{Limit: request.MaxConnections}}
	}
	c.opened.Inc(string(reason))
	return c.dial(ctx, request.Address)
}

// reserveConn adds a connection that is about to be dialed to openCount. At the
// limit, it closes the oldest idle connection to the address, or reports false
// if none is idle. A limit of zero means no limit.
func (c *Client) reserveConn(address string, limit int) bool {
	c.mu.Lock()
	var oldest *clientConn
	if limit > 0 && c.openCount[address] >= limit {
		conns := c.idle[address]
		if len(conns) == 0 {
			c.mu.Unlock()
			return false
		}
		oldest = conns[0]
		c.idle[address] = conns[1:]
		c.uncountLocked(oldest)
	}
	c.openCount[address]++
	c.mu.Unlock()
	if oldest != nil {
		_ = oldest.httpConn.Close()
		c.closedCounter.Inc(string(closeReasonReplaced))
	}
	return true
}

// takeIdle removes the most recently used idle connection from the pool and
// returns it, or nil and the reason for which a new one is needed. It closes the
// unusable ones that it finds. Those that have been idle too long for the request
// stay for other requests.
func (c *Client) takeIdle(request *Request, now time.Time) (*clientConn, openReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := openReasonNoneIdle
	conns := c.idle[request.Address]
	for len(conns) > 0 {
		last := len(conns) - 1
		conn := conns[last]
		if request.MaxIdleTime > 0 && now.Sub(conn.idleSince) >= request.MaxIdleTime {
			return nil, openReasonIdleTooLong
		}
		conns[last] = nil
		conns = conns[:last]
		c.idle[request.Address] = conns
		if conn.usable(now) && (request.MaxIdleTime == 0 || conn.tracked.isQuiet()) {
			conn.reused = true
			return conn, reason
		}
		c.uncountLocked(conn)
		_ = conn.httpConn.Close()
		c.closedCounter.Inc(string(closeReasonIdleEnded))
		reason = openReasonIdleEnded
	}
	delete(c.idle, request.Address)
	return nil, reason
}

// dial opens a connection that reserveConn has counted. Errors are of type
// *ConnectError.
func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	conn := &clientConn{address: address, maxIdleTime: idleTimeout}
	httpConn, err := c.transport.NewClientConn(context.WithValue(ctx, clientConnKey{}, conn), "http", address)
	if err != nil {
		c.mu.Lock()
		c.uncountLocked(conn)
		c.mu.Unlock()
		c.closedCounter.Inc(string(closeReasonNotConnected))
		return nil, &ConnectError{Address: address, Cause: err}
	}
	conn.httpConn = httpConn
	return conn, nil
}

// putOrCloseIdle returns a connection whose answer was read to its end to the
// pool, or closes it if it is unusable or maxIdle connections to the address are
// idle already. A maxIdle of zero means maxIdleConnectionsPerServer.
func (c *Client) putOrCloseIdle(conn *clientConn, maxIdle int) {
	now := time.Now()
	conn.idleSince = now
	switch {
	case !conn.usable(now):
		c.closeConn(conn, closeReasonByServer)
	case !c.tryPutIdle(conn, maxIdle):
		c.closeConn(conn, closeReasonIdleLimit)
	}
}

// tryPutIdle adds the connection to the idle ones and reports false if the limit
// is reached or the client is closed.
func (c *Client) tryPutIdle(conn *clientConn, maxIdle int) bool {
	if maxIdle == 0 {
		maxIdle = maxIdleConnectionsPerServer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[conn.address]) >= min(maxIdle, maxIdleConnectionsPerServer) {
		return false
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	return true
}
