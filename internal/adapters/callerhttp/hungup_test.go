package callerhttp

import (
	"net"
	"testing"
	"time"
)

// A caller's close is seen before anything reads its connection.
func TestHangUpIsSeenWithoutReading(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": func(conn *net.TCPConn) error { return conn.Close() },
		"reset": func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		},
	} {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if hungUp(conn) {
			t.Errorf("%s: a quiet caller counts as gone", name)
		}
		if err := leave(caller.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(2 * time.Second); !hungUp(conn); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the caller does not count as gone", name)
			}
		}
		conn.Close()
		if !hungUp(conn) {
			t.Errorf("%s: a connection that was closed here counts as open", name)
		}
	}
}

// The next request of a caller that does not wait is no hang-up.
func TestNextRequestIsNoHangUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
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
		t.Error("a caller that sent more counts as gone")
	}
	first := make([]byte, 3)
	if _, err := conn.Read(first); err != nil || string(first) != "GET" {
		t.Errorf("read %q %v after the look", first, err)
	}
}
