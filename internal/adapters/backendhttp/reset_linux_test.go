package backendhttp

import (
	"io"
	"net"
	"testing"

	"hawthornstream/internal/adapters/tcpstate"
)

// The kernel reports a reset once. If that is to the watchdog, which asks for unread bytes, an
// answer without length or chunks ended as if it were whole.
func TestResetFoundByWatchdogEndsNoAnswer(t *testing.T) {
	resetNow := make(chan struct{})
	address := startRawServer(t, func(_ int64, conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf")
		<-resetNow
		reset(conn.(*net.TCPConn))
	})
	exchange, err := newTestClient(t).Do(testContext(t), newPostRequest(address))
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Abort()
	var part [4]byte
	if _, err := io.ReadFull(exchange, part[:]); err != nil {
		t.Fatal(err)
	}
	close(resetNow)
	waitUntil(t, func() bool { return exchange.conn.tracked.peek() == tcpstate.Reset })
	if rest, err := io.ReadAll(exchange); err == nil {
		t.Errorf("the answer ended whole after %q%q", part, rest)
	}
}
