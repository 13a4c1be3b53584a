package tcpstate

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// blockingBytes is more than the kernel takes for an end that doesn't read.
const blockingBytes = 16 << 20

// endDuringWrite returns the error of reading a connection whose other end sends "part" and is then
// ended by end, while this one writes more than the other reads.
func endDuringWrite(t *testing.T, end func(far *net.TCPConn)) error {
	t.Helper()
	near, far := connectPair(t)
	conn := NewDuplex(near)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for sent, chunk := 0, make([]byte, 32<<10); sent < blockingBytes; sent += len(chunk) {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
		}
	}()
	var part [4]byte
	if _, err := io.WriteString(far, "part"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, part[:]); err != nil {
		t.Fatal(err)
	}
	go end(far)
	_, err := conn.Read(part[:])
	_ = near.Close()
	<-written
	return err
}

// The kernel reported a reset to the write, and reads ended as if in order. A connection that the
// other end closes in order, and resets because more is written to it, has brought all that was sent.
func TestReadKnowsOfFailedWrite(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(far *net.TCPConn)
		tries   int
		inOrder bool
	}{
		"reset": {func(far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() }, 300, false},
		"closed before the reset": {func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = far.Close()
		}, 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range c.tries {
				err := endDuringWrite(t, c.end)
				var writeFailed *WriteFailedError
				if (err == io.EOF || errors.As(err, &writeFailed) && writeFailed.FollowsClose()) != c.inOrder {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d connections ended otherwise", wrong, c.tries)
			}
		})
	}
}

func TestConnectionThatTookAllWritesEndsInOrder(t *testing.T) {
	near, far := connectPair(t)
	conn := NewDuplex(near)
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v", err)
	}
}
