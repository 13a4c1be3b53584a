package backendhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

// Request is one HTTP request to a backend server.
type Request struct {
	Address string
	Method  string
	// Host is the host that the request names; empty for the address.
	Host string
	// Target is path and query, which are sent as they are.
	Target string
	Header http.Header
	Body   []byte
	// MaxConnections is the most connections that this client keeps to the
	// address; zero for no limit.
	MaxConnections int
	// MaxIdle is the most idle ones of them; zero for the client's own limit.
	MaxIdle int
	// Fresh asks for a new connection: one that was idle may have died without
	// a sign.
	Fresh bool
	// SilentFor is the time without a byte of the answer after which Suspect
	// is called; zero switches the watch off.
	SilentFor time.Duration
	// Suspect decides whether a connection that was silent for the given time
	// is closed. It runs on a goroutine of its own. Nil closes it.
	Suspect func(quiet time.Duration) bool
}

// Exchange is an answer whose body is still to be read. It must be ended by
// Finish or Abort.
type Exchange struct {
	Response *http.Response

	client *Client
	conn   *clientConn
	watch  *watch
	// maxIdle is the request's.
	maxIdle int
	ended   bool
}

// Do sends a request once and returns when the header of the answer is there.
// It fails with *ConnectError or *ExchangeError.
func (c *Client) Do(ctx context.Context, request *Request) (*Exchange, error) {
	fresh := request.Fresh
	for {
		conn, err := c.connection(ctx, request, fresh)
		if err != nil {
			return nil, err
		}
		exchange, failure := c.send(ctx, conn, request)
		if failure == nil {
			return exchange, nil
		}
		stale := conn.reused && !failure.Handed && ctx.Err() == nil
		if !stale {
			return nil, failure
		}
		fresh = true
	}
}

func (c *Client) send(ctx context.Context, conn *clientConn, request *Request) (*Exchange, *ExchangeError) {
	httpRequest, err := newHTTPRequest(ctx, request)
	if err != nil {
		c.close(conn)
		return nil, &ExchangeError{Address: request.Address, Cause: err}
	}
	conn.tracked.begin(time.Now())
	exchange := &Exchange{
		client: c, conn: conn, watch: startWatch(conn.tracked, request), maxIdle: request.MaxIdle,
	}
	response, err := conn.http.RoundTrip(httpRequest)
	if err != nil {
		handed := conn.tracked.seal()
		exchange.Abort()
		return nil, &ExchangeError{
			Address: request.Address, Handed: handed, Silent: conn.tracked.silent.Load(), Cause: err,
		}
	}
	exchange.Response = response
	return exchange, nil
}

// bodyReader hides the type of the body, so that net/http can't rewind it.
type bodyReader struct {
	io.Reader
}

func newHTTPRequest(ctx context.Context, request *Request) (*http.Request, error) {
	var body io.Reader
	if len(request.Body) > 0 {
		body = bodyReader{bytes.NewReader(request.Body)}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address, body)
	if err != nil {
		return nil, err
	}
	httpRequest.URL.Opaque = request.Target
	if request.Host != "" {
		httpRequest.Host = request.Host
	}
	httpRequest.ContentLength = int64(len(request.Body))
	httpRequest.Header = request.Header
	return httpRequest, nil
}

// Read reads the body. It fails with io.EOF at the end of a whole answer and
// else with *ExchangeError.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, &ExchangeError{
		Address: e.conn.address, Handed: true, Silent: e.conn.tracked.silent.Load(), Cause: err,
	}
}

// ReadWhole reads the body up to the limit. It fails with *ExchangeError or
// *TooLargeError.
func (e *Exchange) ReadWhole(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return body, nil
}

// Delimited says whether the end of the answer can be told from a break: an
// answer that ends with its connection can't be known to be whole.
func (e *Exchange) Delimited() bool {
	r := e.Response
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	return r.ContentLength >= 0 || chunked
}

// Reused says whether the connection had carried another request before.
func (e *Exchange) Reused() bool {
	return e.conn.reused
}

// Names says whether the answer names the given request.
func (e *Exchange) Names(id ports.RequestID) bool {
	return e.Response.Header.Get(HeaderRequestID) == string(id)
}

// Finish ends an exchange whose body was read to its end and keeps the
// connection.
func (e *Exchange) Finish() {
	if e.ended {
		return
	}
	e.ended = true
	e.watch.stop()
	_ = e.Response.Body.Close()
	if e.conn.http.Available() == 0 {
		e.client.close(e.conn)
		return
	}
	e.client.giveBack(e.conn, e.maxIdle)
}

// Abort ends an exchange and closes its connection.
func (e *Exchange) Abort() {
	if e.ended {
		return
	}
	e.ended = true
	e.watch.stop()
	e.client.close(e.conn)
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
}

// watch closes a connection that stays silent.
type watch struct {
	conn    *trackedConn
	within  time.Duration
	suspect func(quiet time.Duration) bool

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	stopped bool
}

func startWatch(conn *trackedConn, request *Request) *watch {
	w := &watch{conn: conn, within: request.SilentFor, suspect: request.Suspect}
	if w.within <= 0 {
		w.stopped = true
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(w.within)
	w.timer = time.AfterFunc(w.within, w.check)
	return w
}

func (w *watch) check() {
	now := time.Now()
	quiet := w.conn.quietFor(now)
	if quiet < w.within {
		w.again(w.within - quiet)
		return
	}
	if w.isLate(now) || w.suspect != nil && !w.suspect(quiet) {
		w.again(w.within)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.conn.closeSilent()
	}
}

// isLate says that this process itself was paused: what came meanwhile has not
// been read yet.
func (w *watch) isLate(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.due) > w.within/2
}

func (w *watch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.due = time.Now().Add(after)
		w.timer.Reset(after)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
