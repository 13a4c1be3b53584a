package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/settings"
)

// A caller may send its next request until the announced timeout has passed.
func TestIdleConnectionStaysOpenForAnnouncedTimeout(t *testing.T) {
	revision, err := configuration.NewRevision(1, "apply", "author", time.Time{}, testDocument())
	if err != nil {
		t.Fatal(err)
	}
	limits := settings.Limits{
		MaxHeaderSize: 4 << 10, MaxBodySize: 1 << 10, MaxConnections: 2,
		ReceiveTimeout: configuration.Duration(time.Second), IdleTimeout: configuration.Duration(time.Second),
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	server := New(&settings.Settings{Limits: limits}, fixedConfiguration{revision: revision}, executorFunc(echoPath),
		DefaultDialect(), nil, tally.NoopScope, logger)
	listener := httptest.NewUnstartedServer(nil)
	listener.Config = server.httpServer
	listener.Start()
	t.Cleanup(listener.Close)
	conn, err := net.Dial("tcp", listener.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		request := newRequest(t, http.MethodPost, listener.URL+"/services/registry/x", "")
		if err := request.Write(conn); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			t.Fatalf("the request has no answer: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		seconds, err := strconv.Atoi(strings.TrimPrefix(response.Header.Get("Keep-Alive"), "timeout="))
		if err != nil || seconds != 1 || response.Close {
			t.Fatalf("the answer announces %q, close=%v; want one second", response.Header.Get("Keep-Alive"), response.Close)
		}
		time.Sleep(time.Duration(seconds) * time.Second)
	}
}
