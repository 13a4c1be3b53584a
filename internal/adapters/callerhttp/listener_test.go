package callerhttp

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// startSheddingServer starts a server behind its sheddingListener, with the given
// connection limit, and returns it with its address and metrics.
func startSheddingServer(t *testing.T, limit int64) (*Server, string, tally.TestScope) {
	t.Helper()
	_, server, scope := newTestServer(t, executorFunc(echoPath))
	server.connections.limit = limit
	inner := listen(t)
	listener := newSheddingListener(inner, server, scope)
	go func() { _ = server.httpServer.Serve(listener) }()
	return server, inner.Addr().String(), scope
}

// sendOnNewConnection sends a request on a new connection and returns the status,
// or zero if the connection was closed without an answer.
func sendOnNewConnection(t *testing.T, address string) int {
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

// countClosedUnread returns the number of connections that were closed unread for
// the reason.
func countClosedUnread(scope tally.TestScope, reason string) int64 {
	return counted(scope, "connections_closed_unread", "reason", reason)
}

// The callers of one workspace open several hundred connections a second to one
// daemon, which has no processor time to read their requests.
func TestOverloadedDaemonClosesNewConnectionsUnread(t *testing.T) {
	// The limit is higher than the number of connections that this test needs,
	// since one that was just closed may still be counted.
	server, address, scope := startSheddingServer(t, 64)
	if status := sendOnNewConnection(t, address); status != http.StatusOK {
		t.Fatalf("status %d without load, want 200", status)
	}
	server.shedder.shedFractionBits.Store(math.Float64bits(1))
	if status := sendOnNewConnection(t, address); status != 0 {
		t.Errorf("status %d under overload, want a connection closed unread", status)
	}
	if countClosedUnread(scope, closeReasonOverload) == 0 {
		t.Error("the closed connection was not counted")
	}
	server.shedder.shedFractionBits.Store(math.Float64bits(closeUnreadThreshold / 2))
	for range 20 {
		if status := sendOnNewConnection(t, address); status == 0 {
			t.Fatalf("a connection was closed unread under light load; closed for overload %d, for the limit %d",
				countClosedUnread(scope, closeReasonOverload), countClosedUnread(scope, closeReasonConnectionLimit))
		}
	}
}

// Callers hang up and connect again faster than an overloaded daemon notices, until
// it has no file descriptors left.
func TestConnectionsFarAboveTheLimitAreClosedUnread(t *testing.T) {
	server, address, scope := startSheddingServer(t, 2)
	limit := int(math.Ceil((1 + overLimitFraction) * float64(server.connections.limit)))
	for range limit + 3 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			// It was closed before the dial returned.
			continue
		}
		defer conn.Close()
	}
	for end := time.Now().Add(2 * time.Second); countClosedUnread(scope, closeReasonConnectionLimit) < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were closed for the limit, %d are open", countClosedUnread(scope, closeReasonConnectionLimit),
				server.connections.open.Load())
		}
	}
	if open := server.connections.open.Load(); open > int64(limit) {
		t.Errorf("%d connections are open, far above the limit of %d", open, server.connections.limit)
	}
}

func TestConnectionsWhoseCallersHungUpAreNotServed(t *testing.T) {
	_, server, scope := newTestServer(t, executorFunc(echoPath))
	inner := listen(t)
	listener := newSheddingListener(inner, server, scope)
	for range 3 {
		dialKept(t, inner.Addr().String()).conn.Close()
	}
	time.Sleep(20 * time.Millisecond)
	if err := inner.(*net.TCPListener).SetDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if conn, err := listener.Accept(); err == nil {
		conn.Close()
		t.Error("a connection was accepted whose caller had hung up")
	}
	inner.Close()
	if got := countClosedUnread(scope, closeReasonCallerGone); got != 3 {
		t.Errorf("%d connections were counted as closed unread, want 3", got)
	}
}

func TestDaemonOutOfRotationIsNotReady(t *testing.T) {
	_, server, _ := newTestServer(t, executorFunc(echoPath))
	if reason := server.NotReadyReason(); reason != "" {
		t.Errorf("not ready without load: %s", reason)
	}
	server.shedder.setOutOfRotation(true, 0.9, time.Second)
	if server.NotReadyReason() == "" {
		t.Error("ready while out of rotation")
	}
	server.shedder.setOutOfRotation(false, 0, 0)
	if reason := server.NotReadyReason(); reason != "" {
		t.Errorf("not ready after joining the rotation again: %s", reason)
	}
}

// Under overload, waiting connections are closed without being accepted as Go's.
func TestWaitingConnectionsAreReset(t *testing.T) {
	listener := listen(t)
	if resetNextConnection(listener) {
		t.Fatal("a connection was closed where none was waiting")
	}
	conn := dialKept(t, listener.Addr().String()).conn
	if !resetNextConnection(listener) {
		t.Skip("not on this system")
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v, want a reset", err)
	}
}
