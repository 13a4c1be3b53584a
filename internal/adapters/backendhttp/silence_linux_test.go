package backendhttp

import (
	"net"
	"testing"
	"time"

	"hawthornstream/internal/adapters/tcpstate"
)

// On a process that gets little processor time, bytes that arrived in time may still be
// unread when the watchdog's timer fires. The connection is not silent then.
func TestWatchdogKeepsConnectionWithUnreadBytes(t *testing.T) {
	address := startRawServer(t, func(_ int64, conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n")) })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	tracked := newTrackedConn(conn)
	waitUntil(t, func() bool { return tcpstate.Peek(conn) == tcpstate.Readable })
	const timeout = time.Second
	now := time.Now()
	tracked.beginRequest(now.Add(-timeout), ProgressByte)
	watchdog := &silenceWatchdog{conn: tracked, timeout: timeout, dueAt: now, timer: time.AfterFunc(time.Hour, func() {})}
	defer watchdog.stop()
	watchdog.check()
	if tracked.closedAsSilent.Load() {
		t.Error("a connection with received bytes was closed as silent")
	}
}
