package callerhttp

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// A caller may send its next request until the announced timeout has passed.
func TestIdleConnectionStaysOpenForAnnouncedTimeout(t *testing.T) {
	listener, _, _ := newTestServer(t, executorFunc(echoPath), func(limits *settings.Limits) {
		limits.ReceiveTimeout, limits.IdleTimeout = configuration.Duration(time.Second), configuration.Duration(time.Second)
	})
	conn := dialKept(t, listener.Listener.Addr().String())
	for range 2 {
		response := conn.exchange("")
		seconds, err := strconv.Atoi(strings.TrimPrefix(response.Header.Get("Keep-Alive"), "timeout="))
		if err != nil || seconds != 1 || response.Close {
			t.Fatalf("the answer announces %q, close=%v; want one second", response.Header.Get("Keep-Alive"), response.Close)
		}
		time.Sleep(time.Duration(seconds) * time.Second)
	}
}

// Kept connections were closed without a byte after their call had run, or without the end of
// an answer that was whole.
func TestKeptConnectionGetsWholeAnswerOrRefusal(t *testing.T) {
	const limit = writeDeadlineInterval + 100*time.Millisecond
	const pastLimit = limit + 200*time.Millisecond
	ran := outcome.Result{End: outcome.Ran}
	broken := outcome.Result{End: outcome.Ran, Refusal: &outcome.Refusal{Reason: outcome.ReasonConnectionBroken, End: outcome.Ran}}
	for name, c := range map[string]struct {
		// begins is the status with which the answer begins; zero if it doesn't.
		begins  int
		header  ports.Header
		written string
		panics  bool
		pause   time.Duration
		result  outcome.Result
		status  int
		body    string
	}{
		"run that breaks after it began the answer": {
			begins: http.StatusOK, header: ports.Header{"Content-Length": {"9"}, "X-Server": {"b1"}}, result: broken,
			status: http.StatusBadGateway, body: `"run":"ran"`,
		},
		"panic after the run":                                {panics: true, status: http.StatusInternalServerError, body: `"run":"unknown"`},
		"pause before the end of a stream":                   {begins: http.StatusOK, written: "event", pause: pastLimit, result: ran, status: http.StatusOK, body: "event"},
		"refusal after the write limit of the answer before": {pause: pastLimit, result: broken, status: http.StatusBadGateway, body: `"run":"ran"`},
		"answer without a body":                              {begins: http.StatusNoContent, result: ran, status: http.StatusNoContent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, server, _ := newTestServer(t, executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
				if string(call.Body) == "first" {
					return echoPath(ctx, call, sink)
				}
				if c.panics {
					panic("test")
				}
				if c.begins > 0 {
					_ = sink.Begin(c.begins, c.header)
				}
				if c.written != "" {
					_ = sink.Write([]byte(c.written))
				}
				time.Sleep(c.pause)
				return c.result
			}))
			server.writeTimeout = limit
			conn := dialKept(t, listener.Listener.Addr().String())
			conn.exchange("first")
			response := conn.exchange("second")
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != c.status || !strings.Contains(string(body), c.body) || response.Header.Get("X-Server") != "" {
				t.Errorf("got %d %v %q, want %d %q", response.StatusCode, response.Header, body, c.status, c.body)
			}
		})
	}
}
