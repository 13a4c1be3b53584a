package backendhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/ports"
)

// Request is one HTTP request to a backend server.
type Request struct {
	Address string
	Method  string
	// Host is the value of the Host header field; empty for Address.
	Host string
	// Target is the request target, which is sent unchanged.
	Target string
	Header http.Header
	Body   []byte
	// MaxConnections limits the client's connections to Address, including idle
	// ones; zero means no limit.
	MaxConnections int
	// MaxIdleConnections limits the idle connections to Address; zero means the
	// client's own limit.
	MaxIdleConnections int
	// ForceNewConnection prevents the reuse of an idle connection, which may have
	// broken unnoticed.
	ForceNewConnection bool
	// MaxIdleTime is set for a request that must not be sent twice. A connection is
	// reused for it only if it was idle for less than this time and the kernel
	// reports it as open just before. Zero means no such conditions.
	MaxIdleTime time.Duration
	// CallerGone is asked, on another goroutine, right before the first byte is written. If
	// it returns true, nothing is written. It is nil if nobody waits for the answer.
	CallerGone func() bool
	// SilenceTimeout is the time without progress after which ShouldCloseSilent is
	// called; zero disables this check.
	SilenceTimeout time.Duration
	// ShouldCloseSilent decides whether to close a connection that has made no
	// progress for the given time. It is called on another goroutine, and again
	// after each further SilenceRecheck. If it is nil, the connection is closed.
	ShouldCloseSilent func(silence time.Duration) bool
	// SilenceRecheck is the time between two calls of ShouldCloseSilent; zero for
	// SilenceTimeout.
	SilenceRecheck time.Duration
	// Progress is what ends the silence of the connection.
	Progress Progress
}

// Progress is what counts as progress of an answer.
type Progress uint8

// The kinds of progress.
const (
	// ProgressByte is any received byte.
	ProgressByte Progress = iota
	// ProgressBody is any byte of the body. A server that sends a header or the framing
	// of a body byte by byte makes none.
	ProgressBody
	// ProgressEvent is a call of Exchange.RecordEvent. A server that sends comments or
	// parts of an event makes none.
	ProgressEvent
)

// Exchange is a request whose answer's header was received and whose body is
// still to be read. It must be ended by Finish or Abort.
type Exchange struct {
	Response *http.Response

	// ctx is the context of the call.
	ctx      context.Context
	client   *Client
	conn     *clientConn
	watchdog *silenceWatchdog
	// maxIdleConnections is Request.MaxIdleConnections.
	maxIdleConnections int
	// progress is Request.Progress.
	progress Progress
	ended    bool
}

// Do sends a request at most once and returns when the header of the answer was
// received. If a reused connection breaks before any byte of the request was
// written to it, Do uses a new one instead. Errors are of type *ConnectError or
// *ExchangeError.
func (c *Client) Do(ctx context.Context, request *Request) (*Exchange, error) {
	forceNew, askedAt := request.ForceNewConnection, time.Now()
	for {
		conn, err := c.acquireConn(ctx, request, forceNew)
		if err != nil {
			return nil, err
		}
		exchange, failure := c.roundTrip(ctx, conn, request, askedAt)
		if failure == nil {
			return exchange, nil
		}
		stale := conn.reused && !failure.MaybeSent && !failure.Unwanted && ctx.Err() == nil
		if !stale {
			return nil, failure
		}
		forceNew = true
	}
}

// roundTrip sends the request, which Do got at askedAt, over conn and closes conn on failure.
func (c *Client) roundTrip(
	ctx context.Context, conn *clientConn, request *Request, askedAt time.Time,
) (*Exchange, *ExchangeError) {
	body := newRequestBody(request.Body)
	httpRequest, err := newHTTPRequest(ctx, request, body)
	if err != nil {
		c.closeConn(conn, closeReasonAborted)
		return nil, &ExchangeError{Address: request.Address, Cause: err}
	}
	conn.tracked.beginRequest(time.Now(), request.Progress)
	conn.tracked.expectBody(body)
	conn.tracked.correctRequestLine(newCorrectedRequestLine(request))
	conn.tracked.writeIfWanted(func() bool { return c.callerWaits(request, askedAt) && ctx.Err() == nil })
	exchange := &Exchange{
		ctx: ctx, client: c, conn: conn, watchdog: startSilenceWatchdog(conn.tracked, request),
		maxIdleConnections: request.MaxIdleConnections, progress: request.Progress,
	}
	response, err := conn.httpConn.RoundTrip(httpRequest)
	exchange.Response = response
	if failure := conn.tracked.head.finish(); failure != nil {
		err = failure
	}
	if err != nil {
		maybeSent, broke := conn.tracked.disableWrites(), conn.tracked.broke.Load()
		exchange.Abort()
		return nil, c.rejectHead(ctx, &ExchangeError{
			Address: request.Address, MaybeSent: maybeSent, Unwanted: conn.tracked.wasUnwanted(),
			Silent: conn.tracked.closedAsSilent.Load(), Malformed: maybeSent && !broke,
			OversizedHead: conn.tracked.head.isOversized(), Cause: err,
		})
	}
	if err := httpanswer.CheckHead(response); err != nil {
		exchange.Abort()
		return nil, c.rejectHead(ctx, &ExchangeError{Address: request.Address, MaybeSent: true, Malformed: true, Cause: err})
	}
	return exchange, nil
}

// Values of the tag "caller" of the times that requests waited to be written.
const (
	callerWaiting = "waiting"
	callerGone    = "gone"
)

// callerWaits records how long a request waited to be written, and reports whether its caller
// still waits.
//
// Load pattern: a daemon that gets little processor time needs longer to connect and to write
// than callers wait, and than their hang-up takes to end the context.
func (c *Client) callerWaits(request *Request, askedAt time.Time) bool {
	if request.CallerGone == nil {
		return true
	}
	caller, waits := callerWaiting, true
	if request.CallerGone() {
		caller, waits = callerGone, false
	}
	c.writeWaits.Record(time.Since(askedAt), caller)
	return waits
}

// interimCheck makes net/http reject invalid interim answers. answerHead limits them.
var interimCheck = &httptrace.ClientTrace{Got1xxResponse: httpanswer.CheckInterim}

// newHTTPRequest converts a request. The target goes into URL.Opaque, so that
// net/http sends it unchanged, except as correctedRequestLine says.
func newHTTPRequest(ctx context.Context, request *Request, body *requestBody) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, interimCheck)
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address, body.reader())
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

// Read implements io.Reader for the body. It returns io.EOF at the end of the
// body and fails with *ExchangeError otherwise.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if n > 0 && e.progress == ProgressBody {
		e.conn.tracked.recordProgress(time.Now())
	}
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, e.rejectBody(err, !e.conn.tracked.broke.Load())
	}
	if invalid := httpanswer.CheckTrailer(e.Response); invalid != nil {
		return n, e.rejectBody(invalid, true)
	}
	return n, err
}

// NewMessage returns the memory of the messages of a kind that the answer's body brings, each of
// which may hold uncounted bytes without asking. The connection is closed if one must make room.
func (e *Exchange) NewMessage(kind memory.Kind, uncounted int64) *heldmemory.Message {
	return e.client.account.NewMessage(kind, memory.Source(e.conn.address), uncounted, func() { _ = e.conn.tracked.Conn.Close() })
}

// RecordEvent records that a whole event of the answer was received.
func (e *Exchange) RecordEvent(now time.Time) {
	e.conn.tracked.recordProgress(now)
}

// ReadAll reads a body of at most limit bytes, which reserves memory while it arrives. Errors are of
// type *ExchangeError, *heldmemory.MessageRefusedError or, for a longer body, *AnswerTooLargeError,
// with which it returns what was read.
func (e *Exchange) ReadAll(limit int64) ([]byte, error) {
	held := e.NewMessage(memory.KindAnswer, firstAnswerBuffer)
	defer held.Release()
	var refused error
	body, _, err := e.ReadReserved(limit, func(bytes int64) bool {
		refused = held.Grow(bytes)
		return refused == nil
	}, held.Shrink)
	if refused == nil {
		refused = held.Received()
	}
	if refused != nil {
		return nil, refused
	}
	return body, err
}

// firstAnswerBuffer is the size of the first buffer for a body of unknown length.
const firstAnswerBuffer = 4 << 10

// ReadReserved reads a body of at most limit bytes, as ReadAhead does. If reserve allows no more,
// whole is false and the rest is still to be read. Errors are those of ReadAll.
func (e *Exchange) ReadReserved(limit int64, reserve func(int64) bool, unreserve func(int64)) (body []byte, whole bool, err error) {
	if e.bodyLength() > limit {
		return nil, false, &AnswerTooLargeError{Limit: limit}
	}
	// A byte beyond the limit shows that the body is larger.
	body, whole, err = e.ReadAhead(limit+1, reserve, unreserve)
	if err == nil && int64(len(body)) > limit {
		return body, false, &AnswerTooLargeError{Limit: limit}
	}
	return body, whole, err
}

// ReadAhead reads the beginning of a body, up to limit bytes. It asks reserve for each buffer
// before it is allocated, and gives the one that it replaces back to unreserve. The last one, as
// large as the capacity of part, stays reserved, also after an error. whole is false if more may
// follow, since the limit was reached or reserve allowed no more.
func (e *Exchange) ReadAhead(limit int64, reserve func(int64) bool, unreserve func(int64)) (part []byte, whole bool, err error) {
	// A read beyond the length meets the end.
	capacity := min(max(e.bodyLength()+1, firstAnswerBuffer), limit)
	for int64(len(part)) < limit {
		if len(part) == cap(part) {
			if !reserve(capacity) {
				return part, false, nil
			}
			grown := append(make([]byte, 0, capacity), part...)
			unreserve(int64(cap(part)))
			part, capacity = grown, min(2*capacity, limit)
		}
		n, err := e.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if errors.Is(err, io.EOF) {
			return part, true, nil
		}
		if err != nil {
			return part, false, err
		}
	}
	return part, false, nil
}

// bodyLength returns the length that the answer states of its body, or -1 if it states none.
func (e *Exchange) bodyLength() int64 {
	if e.Response.Body == http.NoBody {
		// The answer to HEAD names the length of a body that it doesn't have.
		return 0
	}
	return e.Response.ContentLength
}

// SelfDelimited reports whether the answer has a length or is chunked. An answer
// that ends with its connection can't be told from a truncated one.
func (e *Exchange) SelfDelimited() bool {
	r := e.Response
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	return r.ContentLength >= 0 || chunked
}

// ConnectionReused reports whether the connection carried another request
// before.
func (e *Exchange) ConnectionReused() bool {
	return e.conn.reused
}

// AnswersRequest reports whether the answer's header carries the given request
// ID.
func (e *Exchange) AnswersRequest(id ports.RequestID) bool {
	return e.Response.Header.Get(HeaderRequestID) == string(id)
}

// Finish ends an exchange whose body was read to its end and returns the
// connection to the pool. It has no effect on an ended exchange.
func (e *Exchange) Finish() {
	if e.ended {
		return
	}
	e.ended = true
	e.watchdog.stop()
	_ = e.Response.Body.Close()
	e.conn.tracked.head.release()
	if e.conn.httpConn.Available() == 0 {
		e.client.closeConn(e.conn, closeReasonByServer)
		return
	}
	e.conn.maxIdleTime = maxIdleTimeOf(e.Response.Header)
	e.client.putOrCloseIdle(e.conn, e.maxIdleConnections)
}

// ConnectedAt returns when the connection of the exchange was opened.
func (e *Exchange) ConnectedAt() time.Time {
	return e.conn.tracked.createdAt
}

// Abort ends an exchange and closes its connection. It has no effect on an ended
// exchange.
func (e *Exchange) Abort() {
	if e.ended {
		return
	}
	e.ended = true
	e.watchdog.stop()
	e.client.closeConn(e.conn, closeReasonAborted)
	if e.conn.tracked.closedAsSilent.Load() {
		e.client.DropIdle(e.conn.address)
	}
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
	e.conn.tracked.head.release()
}
