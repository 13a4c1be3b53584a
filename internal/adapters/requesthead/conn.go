package requesthead

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/core/memory"
)

const (
	// uncountedBytes is what a head may need without asking the account, within what each open
	// connection counts for.
	uncountedBytes = 12 << 10
	// readBufferBytes is the size of the buffer in which net/http may hold the beginning of the
	// next request.
	readBufferBytes = 4 << 10
	// linger is how long a caller that was refused has to read the answer before its connection
	// is closed.
	linger = 500 * time.Millisecond
	// maxDiscardedBytes is how much of a refused request is read and discarded meanwhile.
	maxDiscardedBytes = 256 << 10
)

// endOfHead is the end of the last line of a head and the empty line after it.
var endOfHead = []byte("\r\n\r\n")

// Conn is a connection that reserves memory for each head before http.Server parses it. It
// depends on the calls of ConnState, and on http.Server extending the read deadline once the
// first bytes of a further request are there.
type Conn struct {
	net.Conn
	limiter *Limiter
	memory  *heldmemory.Message
	// shaken is true after the TLS handshake, if there is one.
	shaken bool
	// inHead is true while no whole head has arrived; head is what has been read of it.
	inHead bool
	head   size
	// ahead bounds what the buffer of http.Server holds behind the last request.
	ahead size
	// deadlines is the number of read deadlines set since the last answer, without a read.
	deadlines atomic.Int32
	// evicted is set when the head had to make room for another one.
	evicted atomic.Bool
	// refusal is the error of reading after the head was refused.
	refusal error
	// answered is true once the head was refused with an answer, and closing once http.Server
	// has closed the connection after that.
	answered, closing atomic.Bool
}

// size is the size of a part of a head.
type size struct{ text, lines int64 }

func sizeOf(part []byte) size {
	return size{text: int64(len(part)), lines: int64(bytes.Count(part, []byte("\n")))}
}

func (s size) plus(other size) size {
	return size{text: s.text + other.text, lines: s.lines + other.lines}
}

func (s size) bytes() int64 { return memory.HeadBytes(s.text, s.lines) }

// NetConn returns the connection that carries this one.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if !c.inHead {
		n, err := c.Conn.Read(buffer)
		c.readAhead(buffer[:n])
		return n, err
	}
	if err := c.prepareHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buffer)
	if c.evicted.Load() {
		return 0, c.refuse(c.memory.Received())
	}
	part := headPart(buffer[:n], c.head.text == 0)
	if err := c.grow(sizeOf(part)); err != nil {
		return 0, c.refuse(err)
	}
	c.readAhead(buffer[len(part):n])
	return n, err
}

// prepareHead does what is due before more of a head is read.
func (c *Conn) prepareHead() error {
	if c.refusal != nil {
		return c.refusal
	}
	if encrypted, ok := c.Conn.(*tls.Conn); ok && !c.shaken {
		if err := encrypted.Handshake(); err != nil {
			c.limiter.handshakeFailed(c, err)
			c.refusal = c.readError(err)
			return c.refusal
		}
		c.shaken = true
	}
	ahead := c.ahead
	c.ahead = size{}
	if isBuffered := c.deadlines.Swap(0) > 1; !isBuffered {
		return nil
	}
	if err := c.grow(ahead); err != nil {
		return c.refuse(err)
	}
	return nil
}

// headPart returns the bytes that may belong to the head. http.Server skips empty lines before
// some heads.
func headPart(part []byte, isFirst bool) []byte {
	start := 0
	if isFirst {
		start = len(part) - len(bytes.TrimLeft(part, "\r\n"))
	}
	if end := bytes.Index(part[start:], endOfHead); end >= 0 {
		return part[:start+end+len(endOfHead)]
	}
	return part
}

func (c *Conn) readAhead(part []byte) {
	if len(part) >= readBufferBytes {
		c.ahead = sizeOf(part[len(part)-readBufferBytes:])
		return
	}
	sum := c.ahead.plus(sizeOf(part))
	c.ahead = size{text: min(sum.text, readBufferBytes), lines: min(sum.lines, readBufferBytes/2)}
}

// grow reserves what the head needs with another part.
func (c *Conn) grow(part size) error {
	before := c.head.bytes()
	c.head = c.head.plus(part)
	return c.memory.Grow(c.head.bytes() - before)
}

// refuse answers a head for which there is no memory, and returns the error of reading it.
func (c *Conn) refuse(cause error) error {
	c.refusal = c.readError(cause)
	c.answered.Store(true)
	// Errors mean that the connection is closed already.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(linger))
	_, _ = c.Conn.Write(c.limiter.refusal())
	_ = c.CloseWrite()
	return c.refusal
}

// readError returns an error after which http.Server closes the connection without an answer.
func (c *Conn) readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// interrupt ends the reading of a head that has to make room.
func (c *Conn) interrupt() {
	c.evicted.Store(true)
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.deadlines.Add(1)
	err := c.Conn.SetReadDeadline(deadline)
	if c.evicted.Load() {
		c.interrupt()
	}
	return err
}

// ReleaseHead gives back what the head of the request holds, since the request itself is counted
// from now on. It fails with *heldmemory.MessageRefusedError if the head had to make room
// before. It must be called by the handler of the request.
func (c *Conn) ReleaseHead() error {
	err := c.memory.Received()
	c.memory.Release()
	return err
}

// awaitHead prepares for the next request. After an eviction the connection ends: all that
// arrived before was answered.
func (c *Conn) awaitHead() {
	if err := c.ReleaseHead(); err != nil || c.evicted.Load() {
		c.refusal = c.readError(err)
	}
	c.inHead, c.head = true, size{}
	c.deadlines.Store(0)
}

// CloseWrite closes the writing side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection whose head was refused is closed by its second call or
// by ConnState, after its caller could read the answer.
func (c *Conn) Close() error {
	if c.answered.Load() && c.closing.CompareAndSwap(false, true) {
		return nil
	}
	return c.Conn.Close()
}

// closed ends the connection after http.Server has closed it and holds nothing of it any more.
func (c *Conn) closed() {
	c.memory.Release()
	if c.closing.Load() {
		// Unread bytes would reset the connection before the caller has read the answer.
		if c.Conn.SetReadDeadline(time.Now().Add(linger)) == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
		}
		// An error means that it is closed already.
		_ = c.Conn.Close()
	}
}

// ConnState is to be called by the ConnState function of the HTTP server, before anything else.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle:
		c.awaitHead()
	case http.StateHijacked:
		c.memory.Release()
	case http.StateClosed:
		c.closed()
	}
}
