package callerhttp

import (
	"net"
	"testing"
	"time"
)

// A caller's close or reset is detected before anything reads its connection.
func TestHangUpIsDetectedWithoutReading(t *testing.T) {
	listener := listen(t)
	for name, disconnect := range map[string]func(*net.TCPConn) error{
		"close": func(conn *net.TCPConn) error { return conn.Close() },
		"reset": func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		},
	} {
		caller := dialKept(t, listener.Addr().String()).conn
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if hungUp(conn) {
			t.Errorf("%s: an idle caller is reported as gone", name)
		}
		if err := disconnect(caller.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(2 * time.Second); !hungUp(conn); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the caller is not reported as gone", name)
			}
		}
		conn.Close()
		if !hungUp(conn) {
			t.Errorf("%s: a connection that this side closed is not reported as closed", name)
		}
	}
}

// A caller may send its next request before it has the answer. The pending bytes
// are not taken for a hang-up.
func TestPipelinedRequestIsNotAHangUp(t *testing.T) {
	listener := listen(t)
	caller := dialKept(t, listener.Addr().String()).conn
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if hungUp(conn) {
		t.Error("a caller that sent another request is reported as gone")
	}
	first := make([]byte, 3)
	if _, err := conn.Read(first); err != nil || string(first) != "GET" {
		t.Errorf("read %q, %v after hungUp, want the unconsumed bytes", first, err)
	}
}
