package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// meteredConn counts the sent bytes of a connection and sets a deadline on each read
// and write.
type meteredConn struct {
	net.Conn
	// readTimeout is in nanoseconds; zero is none.
	readTimeout  atomic.Int64
	writeTimeout time.Duration
	sentBytes    atomic.Int64
	// helloDeadline is when an accepted connection must have received a valid hello.
	helloDeadline time.Time
	// helloReceived is set once an accepted connection has received a valid hello.
	helloReceived atomic.Bool
}

func newMeteredConn(conn net.Conn, readTimeout, writeTimeout time.Duration) *meteredConn {
	c := &meteredConn{Conn: conn, writeTimeout: writeTimeout}
	c.readTimeout.Store(int64(readTimeout))
	return c
}

// Read implements io.Reader.
func (c *meteredConn) Read(p []byte) (int, error) {
	if timeout := time.Duration(c.readTimeout.Load()); timeout > 0 {
		deadline := time.Now().Add(timeout)
		if !c.helloReceived.Load() && c.helloDeadline.Before(deadline) {
			deadline = c.helloDeadline
		}
		_ = c.SetReadDeadline(deadline)
		if later := time.Duration(c.readTimeout.Load()); later != timeout {
			// A hello was accepted meanwhile.
			_ = c.SetReadDeadline(time.Now().Add(later))
		}
	}
	return c.Conn.Read(p)
}

// allowReading changes the time that a read may take, also that of one that waits.
func (c *meteredConn) allowReading(timeout time.Duration) {
	c.readTimeout.Store(int64(timeout))
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// Write implements io.Writer.
func (c *meteredConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	n, err := c.Conn.Write(p)
	c.sentBytes.Add(int64(n))
	return n, err
}
