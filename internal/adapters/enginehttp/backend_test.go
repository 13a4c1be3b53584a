package enginehttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/adapters/sse"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// failsafe ends a test whose condition never holds.
const failsafe = 20 * time.Second

// engine is a model engine whose streams can break.
type engine struct {
	events int
	// breakAt are the events after which a connection breaks, one for each
	// connection in turn.
	breakAt []int
	// silent makes a break a silence.
	silent bool
	// forgets makes the engine not know streams.
	forgets bool
	// repeatOne makes a resumed stream begin one event too early.
	repeatOne bool
	// skipOne leaves out the event with this number on the first connection.
	skipOne int
	name    string

	mu        sync.Mutex
	runs      int
	resumes   int
	cancelled chan string
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backendhttp.HeaderRequestID)
	if e.name != "" && r.Method == http.MethodPost {
		id = e.name
	}
	w.Header().Set(backendhttp.HeaderRequestID, id)
	switch r.Method {
	case http.MethodDelete:
		e.cancelled <- strings.TrimPrefix(r.URL.Path, streamsTarget)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodPost:
		_, _ = io.Copy(io.Discard, r.Body)
		e.stream(w, r, 0, e.connection(&e.runs))
	default:
		if e.forgets {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		last, _ := strconv.Atoi(r.Header.Get(backendhttp.HeaderLastEventID))
		if e.repeatOne {
			last--
		}
		e.stream(w, r, last, e.connection(&e.resumes))
	}
}

// connection counts and returns after which event this connection breaks.
func (e *engine) connection(counter *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
	if len(e.breakAt) == 0 {
		return -1
	}
	at := e.breakAt[0]
	e.breakAt = e.breakAt[1:]
	return at
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, last, breakAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for id := last + 1; id <= e.events+1; id++ {
		if id-1 == breakAt {
			_ = http.NewResponseController(w).Flush()
			if e.silent {
				<-r.Context().Done()
				return
			}
			panic(http.ErrAbortHandler)
		}
		if id == e.skipOne && r.Method == http.MethodPost {
			continue
		}
		data := fmt.Sprintf("{\"n\":%d}", id)
		if id == e.events+1 {
			data = sse.DoneData
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	}
}

// sink collects an answer.
type sink struct {
	status int
	header ports.Header
	body   strings.Builder
}

func (s *sink) Begin(status int, header ports.Header) error {
	s.status = status
	s.header = header
	return nil
}

func (s *sink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

func (s *sink) Begun() bool {
	return s.status != 0
}

func (s *sink) CallerGone() bool { return false }

func runCall(t *testing.T, ctx context.Context, handler http.Handler, stream bool) (ports.RunResult, *sink) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := backendhttp.NewClient()
	t.Cleanup(client.Close)
	backend := New(client, func(ports.ServiceName) time.Duration { return 100 * time.Millisecond })
	call := &ports.Call{ID: "r1", Service: "s", Stream: stream, Repeatable: true, Body: []byte("{}")}
	vm := ports.VM{Name: "e1", Address: server.Listener.Addr().String()}
	out := new(sink)
	return backend.Run(ctx, call, vm, out, func(ports.Cost) {}), out
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), failsafe)
	t.Cleanup(cancel)
	return ctx
}

func wholeStream(events int) string {
	var all strings.Builder
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&all, "id: %d\ndata: {\"n\":%d}\n\n", id, id)
	}
	fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", events+1, sse.DoneData)
	return all.String()
}

func checkWhole(t *testing.T, result ports.RunResult, out *sink, events int) {
	t.Helper()
	if result.Reason != "" || result.End != outcome.Ran {
		t.Errorf("got %+v", result)
	}
	if result.Report.Cost != ports.Cost(events) {
		t.Errorf("cost %d, want %d", result.Report.Cost, events)
	}
	if got, want := out.body.String(), wholeStream(events); got != want {
		t.Errorf("answer:\n%s\nwant:\n%s", got, want)
	}
}

func TestStreamIsRelayedWhole(t *testing.T) {
	result, out := runCall(t, testContext(t), &engine{events: 5}, true)
	checkWhole(t, result, out, 5)
}

func TestBrokenStreamIsResumedWithoutLossOrRepeat(t *testing.T) {
	cases := map[string]*engine{
		"breaks":              {events: 9, breakAt: []int{3, 3, 7}},
		"before first event":  {events: 4, breakAt: []int{0}},
		"before done":         {events: 4, breakAt: []int{4}},
		"silent":              {events: 6, breakAt: []int{2}, silent: true},
		"silent before first": {events: 6, breakAt: []int{0}, silent: true},
		"resumes too early":   {events: 6, breakAt: []int{3}, repeatOne: true},
		"skips an event":      {events: 6, skipOne: 3},
		"names another call":  {events: 3, name: "r2"},
	}
	for name, e := range cases {
		t.Run(name, func(t *testing.T) {
			result, out := runCall(t, testContext(t), e, true)
			checkWhole(t, result, out, e.events)
			if e.runs != 1 {
				t.Errorf("%d runs, want 1", e.runs)
			}
		})
	}
}

func TestStreamThatCanNotBeResumedIsNotWhole(t *testing.T) {
	e := &engine{events: 5, breakAt: []int{2}, forgets: true, cancelled: make(chan string, 1)}
	result, out := runCall(t, testContext(t), e, true)
	if result.Reason == "" || result.End != outcome.Ran {
		t.Errorf("got %+v", result)
	}
	if strings.Contains(out.body.String(), sse.DoneData) {
		t.Error("the answer looks whole")
	}
	if id := <-e.cancelled; id != "r1" {
		t.Errorf("cancelled %q", id)
	}
}

// An engine that sends more than the end gives a length that the caller's
// answer does not have.
func TestOverlongStreamEndsWithItsEnd(t *testing.T) {
	handler := answerWith(http.StatusOK, map[string]string{"Content-Type": "text/event-stream"},
		wholeStream(2)+"id: 4\ndata: more\n\n")
	result, out := runCall(t, testContext(t), handler, true)
	checkWhole(t, result, out, 2)
	if length := out.header["Content-Length"]; length != nil {
		t.Errorf("the caller is told the length %v", length)
	}
}

func TestAnswerOfAnotherRequestIsNotDelivered(t *testing.T) {
	for _, stream := range []bool{true, false} {
		e := &engine{events: 3, name: "r2", forgets: true, cancelled: make(chan string, 1)}
		result, out := runCall(t, testContext(t), e, stream)
		if result.Reason != outcome.ReasonAnswerMismatch || result.End != outcome.Unknown || out.Begun() {
			t.Errorf("stream %t: got %+v, begun %t", stream, result, out.Begun())
		}
	}
}

func TestHangUpCancelsTheRun(t *testing.T) {
	e := &engine{events: 5, breakAt: []int{2}, silent: true, cancelled: make(chan string, 1)}
	ctx, cancel := context.WithCancel(testContext(t))
	time.AfterFunc(30*time.Millisecond, cancel)
	result, _ := runCall(t, ctx, e, true)
	if result.Reason != outcome.ReasonCallerGone {
		t.Errorf("got %+v", result)
	}
	if id := <-e.cancelled; id != "r1" {
		t.Errorf("cancelled %q", id)
	}
}

func answerWith(status int, header map[string]string, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backendhttp.HeaderRequestID, r.Header.Get(backendhttp.HeaderRequestID))
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

func TestWholeAnswers(t *testing.T) {
	cases := map[string]struct {
		body   string
		reason outcome.Reason
		cost   ports.Cost
	}{
		"whole":     {body: `{"usage":{"completion_tokens":7}}`, cost: 7},
		"cut":       {body: `{"usage":{"completion_tokens":7}`, reason: outcome.ReasonAnswerTruncated},
		"no usage":  {body: `{"choices":[]}`, reason: outcome.ReasonAnswerTruncated},
		"followed":  {body: `{"usage":{"completion_tokens":7}}{}`, reason: outcome.ReasonAnswerTruncated},
		"too large": {body: strings.Repeat(" ", maxWholeAnswer+1), reason: outcome.ReasonAnswerTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result, out := runCall(t, testContext(t), answerWith(http.StatusOK, nil, c.body), false)
			if result.Reason != c.reason || result.Report.Cost != c.cost || result.End != outcome.Ran {
				t.Errorf("got %+v", result)
			}
			if out.Begun() != (c.reason == "") {
				t.Errorf("begun: %t", out.Begun())
			}
		})
	}
}

func TestServersWordThatNothingRan(t *testing.T) {
	notRun := map[string]string{"X-Run-State": "not-run", "Retry-After": "3"}
	leaving := map[string]string{"X-Run-State": "not-run", "X-Leaving": "true"}
	for _, stream := range []bool{true, false} {
		result, out := runCall(t, testContext(t), answerWith(http.StatusTooManyRequests, notRun, ""), stream)
		if result.End != outcome.NotRun || result.RetryAfter != 3*time.Second || out.Begun() {
			t.Errorf("got %+v", result)
		}
		result, _ = runCall(t, testContext(t), answerWith(http.StatusServiceUnavailable, leaving, ""), stream)
		if result.Reason != outcome.ReasonServerLeaving {
			t.Errorf("got %+v", result)
		}
		result, out = runCall(t, testContext(t), answerWith(http.StatusServiceUnavailable, nil, "x"), stream)
		if result.End != outcome.Unknown || out.status != http.StatusServiceUnavailable {
			t.Errorf("got %+v", result)
		}
	}
}
