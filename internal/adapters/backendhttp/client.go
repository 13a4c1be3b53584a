package backendhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// maxIdlePerServer is the most idle connections kept to one server.
	maxIdlePerServer = 32
	// idleFor is how long an idle connection is kept.
	idleFor = 15 * time.Second
	// dialWithin is the time in which a connection must be established: a few
	// round trips between regions. A lost first packet is sent again only after
	// a second, and another server answers sooner.
	dialWithin = 400 * time.Millisecond
	// unacknowledgedFor is how long sent bytes may stay unacknowledged.
	unacknowledgedFor = 10 * time.Second
	// maxAnswerHeader is the most bytes of an answer's header.
	maxAnswerHeader = 256 << 10
	keepAliveIdle   = 5 * time.Second
	keepAliveEvery  = 2 * time.Second
	keepAliveCount  = 3
)

// ProgressLimit returns the longest silence of a service's answers.
type ProgressLimit func(service ports.ServiceName) time.Duration

// Client sends requests to backend servers over connections that it owns. A
// request is written to one connection at most once. It is safe for concurrent
// use.
type Client struct {
	transport *http.Transport

	mu   sync.Mutex
	idle map[string][]*clientConn
	// open counts the connections to each address, idle ones included.
	open   map[string]int
	closed bool
	// tasks are the cancellations that are under way.
	tasks sync.WaitGroup
}

// clientConn is one connection with its record.
type clientConn struct {
	http    *http.ClientConn
	tracked *trackedConn
	address string
	reused  bool
	idleAt  time.Time
	// uncounted says that the client's count no longer has the connection.
	uncounted bool
}

type connKey struct{}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout: dialWithin,
		Control: limitUnacknowledged(unacknowledgedFor),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		Protocols:              protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := newTrackedConn(conn)
			if holder, ok := ctx.Value(connKey{}).(*clientConn); ok {
				holder.tracked = tracked
			}
			return tracked, nil
		},
	}
	return &Client{transport: transport, idle: make(map[string][]*clientConn), open: make(map[string]int)}
}

// Close closes the idle connections and waits for the cancellations under way.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = make(map[string][]*clientConn)
	c.mu.Unlock()
	for _, conns := range idle {
		c.closeAll(conns)
	}
	c.tasks.Wait()
}

// Prune closes connections that have been idle for long.
func (c *Client) Prune(now time.Time) {
	c.mu.Lock()
	var old []*clientConn
	for address, conns := range c.idle {
		kept, dropped := splitUsable(conns, now)
		old = append(old, dropped...)
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	c.closeAll(old)
}

func splitUsable(conns []*clientConn, now time.Time) (kept, dropped []*clientConn) {
	for _, conn := range conns {
		if conn.usable(now) {
			kept = append(kept, conn)
			continue
		}
		dropped = append(dropped, conn)
	}
	return kept, dropped
}

func (c *Client) closeAll(conns []*clientConn) {
	for _, conn := range conns {
		c.close(conn)
	}
}

// close closes a connection and takes it out of the count.
func (c *Client) close(conn *clientConn) {
	_ = conn.http.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncount(conn)
}

// uncount takes a connection out of the count, once. The caller holds the mutex.
func (c *Client) uncount(conn *clientConn) {
	if conn.uncounted {
		return
	}
	conn.uncounted = true
	if c.open[conn.address]--; c.open[conn.address] <= 0 {
		delete(c.open, conn.address)
	}
}

func (conn *clientConn) usable(now time.Time) bool {
	return conn.http.Err() == nil && now.Sub(conn.idleAt) < idleFor
}

// connection returns an idle connection, or a new one when there is none or a
// fresh one is wanted. A new one takes the place of an idle one when the limit is
// reached. It fails with *ConnectError.
func (c *Client) connection(ctx context.Context, request *Request, fresh bool) (*clientConn, error) {
	if !fresh {
		if conn := c.takeIdle(request.Address, time.Now()); conn != nil {
			return conn, nil
		}
	}
	if !c.reserve(request.Address, request.MaxConnections) {
		return nil, &ConnectError{Address: request.Address, Cause: &ConnectionLimitError{Limit: request.MaxConnections}}
	}
	return c.dial(ctx, request.Address)
}

// reserve counts one more connection to an address, in place of the oldest idle
// one when the limit is reached, and reports false when none is idle.
func (c *Client) reserve(address string, limit int) bool {
	c.mu.Lock()
	var oldest *clientConn
	if limit > 0 && c.open[address] >= limit {
		conns := c.idle[address]
		if len(conns) == 0 {
			c.mu.Unlock()
			return false
		}
		oldest = conns[0]
		c.idle[address] = conns[1:]
		c.uncount(oldest)
	}
	c.open[address]++
	c.mu.Unlock()
	if oldest != nil {
		_ = oldest.http.Close()
	}
	return true
}

func (c *Client) takeIdle(address string, now time.Time) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		last := len(conns) - 1
		conn := conns[last]
		conns[last] = nil
		conns = conns[:last]
		c.idle[address] = conns
		if conn.usable(now) {
			conn.reused = true
			return conn
		}
		c.uncount(conn)
		_ = conn.http.Close()
	}
	delete(c.idle, address)
	return nil
}

// dial opens a connection that was reserved.
func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	conn := &clientConn{address: address}
	httpConn, err := c.transport.NewClientConn(context.WithValue(ctx, connKey{}, conn), "http", address)
	if err != nil {
		c.mu.Lock()
		c.uncount(conn)
		c.mu.Unlock()
		return nil, &ConnectError{Address: address, Cause: err}
	}
	conn.http = httpConn
	return conn, nil
}

// giveBack keeps a connection whose answer was read whole, unless so many are idle
// as maxIdle has it; zero stands for maxIdlePerServer.
func (c *Client) giveBack(conn *clientConn, maxIdle int) {
	now := time.Now()
	conn.idleAt = now
	if !conn.usable(now) || !c.keep(conn, maxIdle) {
		c.close(conn)
	}
}

func (c *Client) keep(conn *clientConn, maxIdle int) bool {
	if maxIdle == 0 {
		maxIdle = maxIdlePerServer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[conn.address]) >= min(maxIdle, maxIdlePerServer) {
		return false
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	return true
}
