package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Kept connections were closed without a byte after their call had run, or without the end of
// an answer that was whole.
func TestKeptConnectionGetsWholeAnswerOrRefusal(t *testing.T) {
	const limit = writeDeadlineInterval + 100*time.Millisecond
	broken := outcome.Result{End: outcome.Ran, Refusal: &outcome.Refusal{Reason: outcome.ReasonConnectionBroken, End: outcome.Ran}}
	ran := outcome.Result{End: outcome.Ran}
	for name, c := range map[string]struct {
		execute executorFunc
		status  int
		body    string
	}{
		"run that breaks after it began the answer": {func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) outcome.Result {
			_ = sink.Begin(http.StatusOK, ports.Header{"Content-Length": {"9"}, "X-Server": {"b1"}})
			return broken
		}, http.StatusBadGateway, `"run":"ran"`},
		"panic after the run": {func(context.Context, *ports.Call, ports.AnswerSink) outcome.Result {
			panic("test")
		}, http.StatusInternalServerError, `"run":"unknown"`},
		"pause before the end of a stream": {func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) outcome.Result {
			_ = sink.Begin(http.StatusOK, nil)
			_ = sink.Write([]byte("event"))
			time.Sleep(limit + 200*time.Millisecond)
			return ran
		}, http.StatusOK, "event"},
		"refusal after the write limit of the answer before": {func(context.Context, *ports.Call, ports.AnswerSink) outcome.Result {
			time.Sleep(limit + 200*time.Millisecond)
			return broken
		}, http.StatusBadGateway, `"run":"ran"`},
		"answer without a body": {func(_ context.Context, _ *ports.Call, sink ports.AnswerSink) outcome.Result {
			_ = sink.Begin(http.StatusNoContent, nil)
			return ran
		}, http.StatusNoContent, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, server, _ := newTestServer(t, executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
				if call.Path == "/first" {
					return echoPath(ctx, call, sink)
				}
				return c.execute(ctx, call, sink)
			}))
			server.writeTimeout = limit
			conn, err := net.Dial("tcp", listener.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			var response *http.Response
			var body []byte
			for _, path := range []string{"/first", "/second"} {
				request := newRequest(t, http.MethodPost, listener.URL+"/services/registry"+path, "")
				if err := request.Write(conn); err != nil {
					t.Fatal(err)
				}
				if response, err = http.ReadResponse(reader, request); err != nil {
					t.Fatalf("%s has no answer: %v", path, err)
				}
				if body, err = io.ReadAll(response.Body); err != nil {
					t.Fatalf("the answer to %s is cut after %q: %v", path, body, err)
				}
			}
			if response.StatusCode != c.status || !strings.Contains(string(body), c.body) || response.Header.Get("X-Server") != "" {
				t.Errorf("got %d %v %q, want %d %q", response.StatusCode, response.Header, body, c.status, c.body)
			}
		})
	}
}
