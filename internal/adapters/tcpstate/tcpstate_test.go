package tcpstate

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// connectPair returns both ends of a TCP connection.
func connectPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func waitForState(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); Peek(conn) != want; {
		if time.Now().After(deadline) {
			t.Fatalf("got state %d, want %d", Peek(conn), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// The peer's close or reset and pending bytes are detected before anything reads
// the connection.
func TestPeekDetectsWhatThePeerDid(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(far *net.TCPConn) error
		want State
	}{
		"close": {func(far *net.TCPConn) error { return far.Close() }, Closed},
		"reset": {func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, Reset},
		"bytes": {func(far *net.TCPConn) error {
			_, err := far.Write([]byte("x"))
			return err
		}, Readable},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connectPair(t)
			if got := Peek(near); got != Quiet {
				t.Fatalf("got state %d of an open connection, want %d", got, Quiet)
			}
			if err := c.act(far); err != nil {
				t.Fatal(err)
			}
			waitForState(t, near, c.want)
		})
	}
}

func TestPeekOfConnectionClosedHere(t *testing.T) {
	near, _ := connectPair(t)
	_ = near.Close()
	if got := Peek(near); got != Closed {
		t.Errorf("got state %d, want %d", got, Closed)
	}
}

// A connection whose keep-alive probes stay unanswered ends with ETIMEDOUT.
func TestTimedOutConnectionIsReset(t *testing.T) {
	for err, want := range map[error]State{
		syscall.ETIMEDOUT: Reset, syscall.ECONNRESET: Reset, syscall.ENOTCONN: Unknown,
	} {
		if got := stateOfError(err); got != want {
			t.Errorf("%v: got state %d, want %d", err, got, want)
		}
	}
}
