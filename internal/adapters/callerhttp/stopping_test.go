package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/gracefulstop"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// recordLengths makes calls of the test's service known as taking so long.
func (s *Server) recordLengths(length time.Duration) {
	for range 5 {
		s.openCalls.lengths.Record(time.Now(), callKind{service: "registry", class: "draft"}, gracefulstop.Length{FirstByte: length})
	}
}

// refusedBy returns the result of a call that was refused for the cause of its context's end.
func refusedBy(ctx context.Context, end outcome.RunState) outcome.Result {
	var refusal *outcome.Refusal
	if !errors.As(context.Cause(ctx), &refusal) {
		return outcome.Result{End: outcome.Unknown}
	}
	copied := *refusal
	copied.End = end
	return outcome.Result{End: end, Refusal: &copied}
}

// waitUntilRefused executes a call that gets no server.
func waitUntilRefused(ctx context.Context, _ *ports.Call, _ ports.AnswerSink) outcome.Result {
	<-ctx.Done()
	return refusedBy(ctx, outcome.NotRun)
}

// Until the announcement of a stop had ended, every call was taken, and cut if it lasted until
// the stop's end. Calls that waited for a server were sent however little time was left.
func TestStopCutsNoCallThatItTook(t *testing.T) {
	runs := func(ctx context.Context, call *ports.Call, _ ports.AnswerSink) outcome.Result {
		call.SendGate.Send(time.Now())
		<-ctx.Done()
		return refusedBy(ctx, outcome.Unknown)
	}
	answers := answerWith("answer")
	for _, tt := range []struct {
		name    string
		execute executorFunc
		// length is how long earlier calls took; zero for unknown. The stop ends after cutAfter,
		// and callers wait for a minute or their deadline.
		length, cutAfter time.Duration
		deadline         string
		wantStatus       int
		wantRun          outcome.RunState
	}{
		{"length unknown", answers, 0, 10 * time.Second, "", http.StatusServiceUnavailable, outcome.NotRun},
		{"ends by its deadline", answers, 0, 10 * time.Second, "5s", http.StatusOK, outcome.Ran},
		{"short", answers, time.Second, 10 * time.Second, "", http.StatusOK, outcome.Ran},
		{"long", answers, 11 * time.Second, 10 * time.Second, "", http.StatusServiceUnavailable, outcome.NotRun},
		{"waits too long", waitUntilRefused, 300 * time.Millisecond, 500 * time.Millisecond, "", http.StatusServiceUnavailable, outcome.NotRun},
		{"longer than any before", runs, time.Millisecond, 300 * time.Millisecond, "", http.StatusGatewayTimeout, outcome.Unknown},
	} {
		listener, server, _ := newTestServer(t, tt.execute)
		if tt.length > 0 {
			server.recordLengths(tt.length)
		}
		cutAt := time.Now().Add(tt.cutAfter)
		server.AnnounceStop(cutAt)
		request := newRequest(t, http.MethodPost, listener.URL+"/services/registry/x", "")
		if tt.deadline != "" {
			request.Header.Set(headerDeadline, tt.deadline)
		}
		response, _ := send(t, request)
		if run := response.Header.Get(headerRun); response.StatusCode != tt.wantStatus || run != string(tt.wantRun) {
			t.Errorf("%s: status %d, run %q", tt.name, response.StatusCode, run)
		}
		if time.Now().After(cutAt) {
			t.Errorf("%s: answered after the cut", tt.name)
		}
		close(server.stopped)
	}
}

// slowRefusals is a dialect that takes its time to write a refusal.
type slowRefusals struct{ Dialect }

func (d slowRefusals) WriteRefusal(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal) {
	time.Sleep(3 * drainCheckInterval)
	d.Dialect.WriteRefusal(w, id, refusal)
}

// A stop that was ended early closed the connections of calls whose answer had not begun, those
// that other daemons relay at first, or while their refusals were written. Calls that had not
// been sent were refused without a time to retry after.
func TestCallsThatAStopCutsShortAreAnswered(t *testing.T) {
	for _, tt := range []struct {
		name                string
		isRelayed, isUnsent bool
		wantRun             outcome.RunState
		wantsRetry, isSlow  bool
	}{
		{name: "direct", wantRun: outcome.Unknown},
		{name: "relayed", isRelayed: true, wantRun: outcome.Unknown},
		{name: "slow refusal", isSlow: true, wantRun: outcome.Unknown},
		{name: "unsent", isUnsent: true, wantRun: outcome.NotRun, wantsRetry: true},
	} {
		called := make(chan struct{})
		execute := executorFunc(func(ctx context.Context, call *ports.Call, _ ports.AnswerSink) outcome.Result {
			if !tt.isUnsent {
				call.SendGate.Send(time.Now())
			}
			close(called)
			<-ctx.Done()
			return refusedBy(ctx, tt.wantRun)
		})
		late, serving := startHandoverDaemon(t, execute), startHandoverDaemon(t, execute)
		if tt.isRelayed {
			serving.offerTo(late)
			late.makeLate()
		} else {
			serving = late
		}
		if tt.isSlow {
			serving.dialect = slowRefusals{serving.dialect}
		}
		stopped := make(chan error, 1)
		go func() {
			<-called
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			stopped <- serving.Stop(ctx)
		}()
		response := late.dial(t).exchange()
		run, retryAfter := response.Header.Get(headerRun), response.Header.Get(headerRetryAfter)
		if response.StatusCode != http.StatusGatewayTimeout || run != string(tt.wantRun) || tt.wantsRetry && retryAfter == "" {
			t.Errorf("%s: status %d, run %q, retry after %q", tt.name, response.StatusCode, run, retryAfter)
		}
		if err := <-stopped; err == nil {
			t.Errorf("%s: a stop that cut a call off reports no error", tt.name)
		}
	}
}

// The answer of a run with an idempotency key is recorded though its relay stops. Its caller got
// no answer before the relay was cut.
func TestRunWithKeyOutlivesTheStopOfItsRelay(t *testing.T) {
	called, ended := make(chan struct{}), make(chan error, 1)
	runs := executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
		call.SendGate.Send(time.Now())
		close(called)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		ended <- context.Cause(ctx)
		return answerWith("recorded")(ctx, call, sink)
	})
	late, serving := startHandoverDaemon(t, runs), startHandoverDaemon(t, runs)
	serving.offerTo(late)
	late.makeLate()
	conn := late.dial(t)
	request := newRequest(t, http.MethodPost, "http://callers/services/registry/x", "body")
	request.Header.Set(headerIdempotencyKey, "k")
	if err := request.Write(conn.conn); err != nil {
		t.Fatal(err)
	}
	<-called
	cutAt := time.Now().Add(200 * time.Millisecond)
	late.AnnounceStop(cutAt)
	if err := conn.conn.SetReadDeadline(cutAt); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil || response.StatusCode != http.StatusGatewayTimeout || response.Header.Get(headerRun) != string(outcome.Unknown) || !response.Close {
		t.Errorf("the answer before the cut is %+v (%v)", response, err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the run ended: %v", err)
	}
	if err := conn.conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(conn.reader); err != nil || strings.Contains(string(rest), "recorded") {
		t.Errorf("after the answer came %q (%v)", rest, err)
	}
}

// A call whose run took a while to end was counted at each look at the calls in progress, one
// that was cut with its relay in the middle of its answer never.
func TestCallThatIsCutIsCountedOnce(t *testing.T) {
	for _, state := range []string{"unanswered", "answering"} {
		isRelayed := state == "answering"
		ended := make(chan struct{})
		serving := startHandoverDaemon(t, executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
			defer close(ended)
			call.SendGate.Send(time.Now())
			if isRelayed && (sink.Begin(http.StatusOK, nil) != nil || sink.Write([]byte("part")) != nil) {
				t.Error("the answer can't be written")
			}
			<-ctx.Done()
			time.Sleep(3 * cutCheckInterval)
			if isRelayed {
				return outcome.Result{End: outcome.Unknown, Refusal: &outcome.Refusal{Reason: outcome.ReasonCallerGone, End: outcome.Unknown}}
			}
			return refusedBy(ctx, outcome.Unknown)
		}))
		late := serving
		if isRelayed {
			late = startHandoverDaemon(t, answerWith("late"))
			serving.offerTo(late)
			late.makeLate()
		}
		serving.recordLengths(time.Millisecond)
		conn := late.dial(t)
		if isRelayed {
			waitUntil(t, "a connection is relayed", func() bool { return len(late.handover.relaysByPeer.addresses()) > 0 })
		}
		late.AnnounceStop(time.Now().Add(200 * time.Millisecond))
		if err := newRequest(t, http.MethodPost, "http://callers/services/registry/x", "body").Write(conn.conn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		_ = conn.conn.Close()
		waitFor(t, ended, "the end of the call")
		time.Sleep(cutCheckInterval)
		var counted []string
		for _, counter := range serving.scope.Snapshot().Counters() {
			if counter.Name() == "callers.calls_cut" && counter.Value() > 0 {
				counted = append(counted, fmt.Sprint(counter.Value(), " ", counter.Tags()["state"]))
			}
		}
		if len(counted) != 1 || counted[0] != "1 "+state {
			t.Errorf("%s: counted %v", state, counted)
		}
	}
}
