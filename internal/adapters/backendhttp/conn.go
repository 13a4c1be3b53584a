package backendhttp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/internal/adapters/tcpstate"
)

// trackedConn records whether a write of the current request was started, and
// when its answer last made progress. It can refuse further writes.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writeStarted is true if a byte of the current request may have been written.
	writeStarted   bool
	writesDisabled bool
	// requestLine corrects the beginning of the current request; nil if nothing is to be
	// corrected, or once it was written.
	requestLine *correctedRequestLine
	// body is the body of the current request; nil before the first one.
	body *requestBody
	// isWanted is asked right before the first byte of the current request is written; nil if
	// it is always written. unwanted is true if the answer was no.
	isWanted func() bool
	unwanted bool

	// peekMu is held while the kernel is asked for the state of the connection. It guards
	// foundReset, which is true once that was a reset; the kernel doesn't report it again.
	peekMu     sync.Mutex
	foundReset bool

	closedAsSilent atomic.Bool
	// resetInWrite is true once a write has found that the server has reset the connection.
	resetInWrite atomic.Bool
	// broke is true once a read or write has failed, except after the connection was closed
	// here: the server has ended it, or can't be reached.
	broke atomic.Bool
	// countsBytes is true if each received byte is progress of the current request.
	countsBytes atomic.Bool
	head        answerHead
	// createdAt is the origin of lastProgress. It has a monotonic reading, so that steps
	// of the system clock don't count as silence.
	createdAt time.Time
	// lastProgress is the time from createdAt to the last progress of the answer, or to
	// the start of the current request.
	lastProgress atomic.Int64
}

func newTrackedConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: tcpstate.NewDuplex(conn), createdAt: time.Now()}
}

// beginRequest resets the records for a new request.
func (c *trackedConn) beginRequest(now time.Time, progress Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted, c.body = false, nil
	c.requestLine, c.isWanted, c.unwanted = nil, nil, false
	c.countsBytes.Store(progress == ProgressByte)
	c.recordProgress(now)
	c.head.begin()
}

// correctRequestLine corrects the beginning of the current request, unless it is nil.
func (c *trackedConn) correctRequestLine(requestLine *correctedRequestLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLine = requestLine
}

// expectBody records the body of the current request.
func (c *trackedConn) expectBody(body *requestBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = body
}

// writeIfWanted makes the first write of the current request fail if isWanted returns false
// right before it.
func (c *trackedConn) writeIfWanted(isWanted func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWanted = isWanted
}

// wasUnwanted reports whether nothing of the current request was written since it was no longer
// wanted.
func (c *trackedConn) wasUnwanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwanted
}

func (c *trackedConn) recordProgress(now time.Time) {
	c.lastProgress.Store(int64(now.Sub(c.createdAt)))
}

// disableWrites makes every later write fail and reports whether an earlier one
// may have written a byte of the current request.
func (c *trackedConn) disableWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.writeStarted
}

// Write implements net.Conn. After disableWrites, and for a request that is no longer wanted, it
// fails with *writesDisabledError. Once the server has reset the connection, the rest of the request
// is dropped without an error: what the server sent before may be a whole answer, which net/http
// would drop for the error.
func (c *trackedConn) Write(p []byte) (int, error) {
	requestLine, started := c.startWrite(len(p))
	switch {
	case !started:
		return 0, &writesDisabledError{}
	case c.resetInWrite.Load():
		return len(p), nil
	}
	var n int
	var err error
	if requestLine != nil {
		n, err = requestLine.write(c.Conn, p)
	} else {
		n, err = c.Conn.Write(p)
	}
	c.recordBreak(err)
	if tcpstate.IsReset(err) {
		c.resetInWrite.Store(true)
		return len(p), nil
	}
	return n, err
}

// recordBreak records the error of a read or write.
func (c *trackedConn) recordBreak(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broke.Store(true)
	}
}

// startWrite records the start of a write and returns what corrects it, or reports
// false if nothing may be written. It runs before the write, which may block after a part
// of the bytes.
func (c *trackedConn) startWrite(size int) (*correctedRequestLine, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesDisabled {
		return nil, false
	}
	if c.isWanted != nil && size > 0 {
		if !c.isWanted() {
			c.unwanted, c.writesDisabled = true, true
			return nil, false
		}
		c.isWanted = nil
	}
	c.writeStarted = c.writeStarted || size > 0
	requestLine := c.requestLine
	c.requestLine = nil
	return requestLine, true
}

// Read implements net.Conn. A connection that was reset fails with *connectionResetError,
// *tcpstate.WriteFailedError or the error of the kernel, and one that ends before the request was
// sent whole with *requestUnfinishedError. They never end with io.EOF. A connection that brings a
// head for which there is no memory is closed.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordBreak(err)
	switch {
	case !errors.Is(err, io.EOF):
	case c.wasReset():
		err = &connectionResetError{}
	case !c.tookWholeBody():
		err = &requestUnfinishedError{}
	}
	if n > 0 && c.countsBytes.Load() {
		c.recordProgress(time.Now())
	}
	if refused := c.head.receive(p[:n]); refused != nil {
		_ = c.Conn.Close()
		return 0, refused
	}
	return n, err
}

// silentFor returns the time since the last progress of the answer, or since the start
// of the current request if that is later.
func (c *trackedConn) silentFor(now time.Time) time.Duration {
	return now.Sub(c.createdAt) - time.Duration(c.lastProgress.Load())
}

// isQuiet reports whether the connection is open and has no bytes to read, as far
// as the kernel knows. A reset or an extra answer may have arrived that the HTTP
// client has not read yet.
func (c *trackedConn) isQuiet() bool {
	state := c.peek()
	return state == tcpstate.Quiet || state == tcpstate.Unknown
}

// hasUnreadBytes reports whether the kernel holds bytes that this process, if it gets
// little processor time, has not read yet.
func (c *trackedConn) hasUnreadBytes() bool {
	return c.peek() == tcpstate.Readable
}

// peek asks the kernel for the state of the connection.
func (c *trackedConn) peek() tcpstate.State {
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	state := tcpstate.Peek(c.Conn)
	c.foundReset = c.foundReset || state == tcpstate.Reset
	return state
}

// wasReset reports whether peek has found a reset.
func (c *trackedConn) wasReset() bool {
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	return c.foundReset
}

// tookWholeBody reports whether the connection has taken the whole body of the current request.
func (c *trackedConn) tookWholeBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body == nil || c.body.isRead()
}

// requestUnfinishedError is returned by reads of a connection that the server has closed before it
// took the whole request: it may have broken off its answer.
type requestUnfinishedError struct{}

// Error implements error.
func (*requestUnfinishedError) Error() string {
	return "the connection ended before it had taken the whole request"
}

// connectionResetError is returned by reads once peek has found a reset.
type connectionResetError struct{}

// Error implements error.
func (*connectionResetError) Error() string {
	return "the connection was reset"
}

// closeAsSilent closes the connection because its answer made no progress in time.
func (c *trackedConn) closeAsSilent() {
	c.closedAsSilent.Store(true)
	_ = c.Conn.Close()
}

// writesDisabledError is returned by writes that are not allowed.
type writesDisabledError struct{}

// Error implements error.
func (*writesDisabledError) Error() string {
	return "write after the request was aborted"
}
