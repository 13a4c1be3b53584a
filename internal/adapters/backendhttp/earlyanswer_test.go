package backendhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// A server answers before it has read the request. Whether it resets the connection or keeps it
// open, the rest of the request belongs to no other one.
func TestConnectionOfEarlyAnswerIsNotUsedAgain(t *testing.T) {
	const tries = 20
	for name, isReset := range map[string]bool{"reset": true, "kept open": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startRawServer(t, func(_ int64, conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				if isReset {
					reset(conn.(*net.TCPConn))
				}
			})
			client := newTestClient(t)
			request := newPostRequest(address)
			request.Body = make([]byte, 4<<20)
			for range tries {
				exchange, err := client.Do(testContext(t), request)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := exchange.ReadAll(1 << 10); err != nil || string(body) != "ok" {
					t.Fatalf("got %q, %v", body, err)
				}
				exchange.Finish()
				client.mu.Lock()
				idle := len(client.idle[address])
				client.mu.Unlock()
				if idle > 0 {
					t.Fatal("the connection is kept for other requests")
				}
			}
		})
	}
}
