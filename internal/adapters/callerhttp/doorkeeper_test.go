package callerhttp

import (
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// guarded is a server behind its doorkeeper, with a limit of connections.
func guarded(t *testing.T, limit int64) (*Server, string, tally.TestScope) {
	t.Helper()
	_, server, scope := newTestServer(t, executorFunc(answer))
	server.connections.limit = limit
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close() })
	guard := newDoorkeeper(inner, server, scope)
	go func() { _ = server.http.Serve(guard) }()
	return server, inner.Addr().String(), scope
}

// sendOn sends a request on a connection of its own and returns the status, or
// zero when the connection was closed without an answer.
func sendOn(t *testing.T, address string) int {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(newRequest(t, http.MethodPost, "http://"+address+"/services/registry/x", ""))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func closedUnread(scope tally.TestScope, reason string) int64 {
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "connections_closed_unread" && counter.Tags()["reason"] == reason {
			return counter.Value()
		}
	}
	return 0
}

// Load pattern: the callers of one workspace open several hundred connections a
// second to one daemon, which has no time to read what they send.
func TestOverloadedDaemonClosesNewConnectionsUnread(t *testing.T) {
	// Connections that were closed just now may still count.
	server, address, scope := guarded(t, 64)
	if status := sendOn(t, address); status != http.StatusOK {
		t.Fatalf("got %d in calm", status)
	}
	server.pressure.part.Store(math.Float64bits(1))
	if status := sendOn(t, address); status != 0 {
		t.Errorf("got %d under overload", status)
	}
	if closedUnread(scope, closedOverload) == 0 {
		t.Error("the closed connection was not counted")
	}
	server.pressure.part.Store(math.Float64bits(resetFrom / 2))
	for range 20 {
		if status := sendOn(t, address); status == 0 {
			t.Fatalf("a connection was closed under little load; closed unread for overload %d, for the limit %d",
				closedUnread(scope, closedOverload), closedUnread(scope, closedConnectionLimit))
		}
	}
}

// Load pattern: callers hang up and come back faster than a late daemon notices,
// until it has no descriptors left.
func TestConnectionsFarAboveTheLimitAreClosedUnread(t *testing.T) {
	server, address, scope := guarded(t, 2)
	limit := int(math.Ceil((1 + aboveLimit) * float64(server.connections.limit)))
	for range limit + 3 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			// It was closed before the dial returned.
			continue
		}
		defer conn.Close()
	}
	for end := time.Now().Add(2 * time.Second); closedUnread(scope, closedConnectionLimit) < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were closed, %d are open", closedUnread(scope, closedConnectionLimit),
				server.connections.open.Load())
		}
	}
	if open := server.connections.open.Load(); open > int64(limit) {
		t.Errorf("%d connections are open, the limit is %d", open, server.connections.limit)
	}
}

func TestConnectionsWhoseCallersLeftAreNotServed(t *testing.T) {
	_, server, scope := newTestServer(t, executorFunc(answer))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := newDoorkeeper(inner, server, scope)
	for range 3 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	time.Sleep(20 * time.Millisecond)
	if err := inner.(*net.TCPListener).SetDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if conn, err := guard.Accept(); err == nil {
		conn.Close()
		t.Error("a connection was served whose caller had left")
	}
	inner.Close()
	if got := closedUnread(scope, closedCallerGone); got != 3 {
		t.Errorf("%d connections were counted", got)
	}
}

func TestDaemonOutOfRotationIsNotReady(t *testing.T) {
	_, server, _ := newTestServer(t, executorFunc(answer))
	if reason := server.NotReady(); reason != "" {
		t.Errorf("not ready in calm: %s", reason)
	}
	server.pressure.setOut(true, 0.9, time.Second)
	if server.NotReady() == "" {
		t.Error("ready while out of rotation")
	}
	server.pressure.setOut(false, 0, 0)
	if reason := server.NotReady(); reason != "" {
		t.Errorf("not ready after it: %s", reason)
	}
}
