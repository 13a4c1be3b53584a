package tcpstate

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// lastWriteTimeout is the time for which the end of a connection waits for the result of a write
// in progress. The write of a connection that was reset returns at once.
const lastWriteTimeout = time.Second

// Duplex is a connection whose reads know of failed writes. The kernel reports that a connection
// was reset once, to a read or to a write. If a write gets the report, reads find the connection
// closed in order. Create it with NewDuplex.
type Duplex struct {
	net.Conn
	// writing holds an element during a write. It guards writeErr, the error of the first write
	// that failed, but not of one that failed because this side has closed the connection.
	writing  chan struct{}
	writeErr error
}

// NewDuplex returns a connection that reads from and writes to conn.
func NewDuplex(conn net.Conn) *Duplex {
	return &Duplex{Conn: conn, writing: make(chan struct{}, 1)}
}

// NetConn returns the underlying connection, as that of tls.Conn does.
func (d *Duplex) NetConn() net.Conn {
	return d.Conn
}

// Write implements net.Conn.
func (d *Duplex) Write(p []byte) (int, error) {
	d.writing <- struct{}{}
	defer func() { <-d.writing }()
	n, err := d.Conn.Write(p)
	if err != nil && d.writeErr == nil && !errors.Is(err, net.ErrClosed) {
		d.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It fails with *WriteFailedError in place of io.EOF after a write has
// failed, or while one doesn't return.
func (d *Duplex) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err == io.EOF {
		err = d.endOfReads()
	}
	return n, err
}

// endOfReads returns the error of a read that met the end of the connection.
func (d *Duplex) endOfReads() error {
	timeout := time.NewTimer(lastWriteTimeout)
	defer timeout.Stop()
	select {
	case d.writing <- struct{}{}:
		defer func() { <-d.writing }()
	case <-timeout.C:
		return &WriteFailedError{}
	}
	if d.writeErr != nil {
		return &WriteFailedError{Cause: d.writeErr}
	}
	return io.EOF
}

// WriteFailedError reports that the other end has closed the connection and not taken all that was
// written.
type WriteFailedError struct {
	// Cause is the error of the write; nil if it hasn't returned yet.
	Cause error
}

// Error implements error.
func (e *WriteFailedError) Error() string {
	if e.Cause == nil {
		return "the connection ended during a write"
	}
	return fmt.Sprintf("the connection ended after a write had failed: %v", e.Cause)
}

// Unwrap returns Cause.
func (e *WriteFailedError) Unwrap() error {
	return e.Cause
}

// IsReset reports whether a write failed with err because the other end had closed the connection
// before. What it sent until then can still be read.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// FollowsClose reports whether the other end had closed its side in order before the write failed:
// all that it has sent was received. The kernel then reports a reset as EPIPE.
func (e *WriteFailedError) FollowsClose() bool {
	return e.Cause == nil || errors.Is(e.Cause, syscall.EPIPE)
}
