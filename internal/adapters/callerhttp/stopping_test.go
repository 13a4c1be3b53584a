package callerhttp

import (
	"context"
	"errors"
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

// untilRefused returns an executor of a call that runs, or waits for a server if it ends as not
// run, until it is refused. Once it does, began is closed unless it is nil.
func untilRefused(end outcome.RunState, began chan<- struct{}) executorFunc {
	return func(ctx context.Context, call *ports.Call, _ ports.AnswerSink) outcome.Result {
		if end != outcome.NotRun {
			call.SendGate.Send(time.Now())
		}
		if began != nil {
			close(began)
		}
		<-ctx.Done()
		var refusal *outcome.Refusal
		if !errors.As(context.Cause(ctx), &refusal) {
			return outcome.Result{End: outcome.Unknown}
		}
		copied := *refusal
		copied.End = end
		return outcome.Result{End: end, Refusal: &copied}
	}
}

// callInStop is a call that comes once a stop was announced that ends after cutAfter.
type callInStop struct {
	name    string
	execute executorFunc
	// length is how long earlier calls took; zero for unknown.
	length, cutAfter time.Duration
	fields           []string
	wantStatus       int
	wantRun          outcome.RunState
}

func testCallsInStop(t *testing.T, isRelayed bool, calls []callInStop) {
	t.Helper()
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			late, serving := startServing(t, tt.execute, isRelayed)
			if tt.length > 0 {
				serving.recordLengths(tt.length)
			}
			conn := late.dial(t)
			if isRelayed {
				waitUntil(t, "a connection is relayed", func() bool { return len(late.handover.relaysByPeer.addresses()) > 0 })
				// A signal in a planned stop moves its end.
				late.AnnounceStop(time.Now().Add(time.Hour))
				serving.waitForRelayStops(t, "closing", 1)
			}
			cutAt := time.Now().Add(tt.cutAfter)
			late.AnnounceStop(cutAt)
			waitUntil(t, "the cut is known", func() bool { return !isRelayed || serving.knowsCut(time.Minute) })
			if err := conn.conn.SetDeadline(cutAt); err != nil {
				t.Fatal(err)
			}
			wantEnd(t, "call", conn.exchange("body", tt.fields...), tt.wantStatus, tt.wantRun, true)
			wantCut := int64(0)
			if tt.wantRun == outcome.Unknown {
				wantCut = 1
			}
			if cut := counted(serving.scope, "callers.calls_cut", "", ""); cut != wantCut {
				t.Errorf("counted as cut %d times, want %d", cut, wantCut)
			}
		})
	}
}

// Until the announcement of a stop had ended, every call was taken, and cut if it lasted until
// the stop's end. Calls that waited for a server were sent however little time was left.
func TestStopCutsNoCallThatItTook(t *testing.T) {
	answers, waits, runs := answerWith("answer"), untilRefused(outcome.NotRun, nil), untilRefused(outcome.Unknown, nil)
	testCallsInStop(t, false, []callInStop{
		{"length unknown", answers, 0, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun},
		{"ends by its deadline", answers, 0, 10 * time.Second, []string{headerDeadline, "5s"}, http.StatusOK, outcome.Ran},
		{"short", answers, time.Second, 10 * time.Second, nil, http.StatusOK, outcome.Ran},
		{"long", answers, 11 * time.Second, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun},
		{"waits too long", waits, 300 * time.Millisecond, 500 * time.Millisecond, nil, http.StatusServiceUnavailable, outcome.NotRun},
		{"longer than any before", runs, time.Millisecond, 300 * time.Millisecond, nil, http.StatusGatewayTimeout, outcome.Unknown},
	})
}

// The peer took calls on relayed connections, and kept them waiting, that were cut at the end of
// the relay's stop.
func TestPeerTakesNoCallThatEndOfRelaysStopCuts(t *testing.T) {
	answers, waits := answerWith("answer"), untilRefused(outcome.NotRun, nil)
	testCallsInStop(t, true, []callInStop{
		{"short", answers, time.Second, 10 * time.Second, nil, http.StatusOK, outcome.Ran},
		{"long", answers, 11 * time.Second, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun},
		{"waits too long", waits, 500 * time.Millisecond, time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun},
	})
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
	for name, tt := range map[string]struct{ isRelayed, isSlow, isUnsent bool }{
		"direct": {}, "relayed": {isRelayed: true}, "slow refusal": {isSlow: true}, "unsent": {isUnsent: true},
	} {
		began, wantRun := make(chan struct{}), outcome.Unknown
		if tt.isUnsent {
			wantRun = outcome.NotRun
		}
		late, serving := startServing(t, untilRefused(wantRun, began), tt.isRelayed)
		if tt.isSlow {
			serving.dialect = slowRefusals{serving.dialect}
		}
		stopped := make(chan error, 1)
		go func() {
			<-began
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			stopped <- serving.Stop(ctx)
		}()
		response := late.dial(t).exchange("body")
		wantEnd(t, name, response, http.StatusGatewayTimeout, wantRun, true)
		if tt.isUnsent && response.Header.Get(headerRetryAfter) == "" {
			t.Errorf("%s: no time to retry after", name)
		}
		if err := <-stopped; err == nil {
			t.Errorf("%s: a stop that cut a call off reports no error", name)
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
	late, _ := startRelayed(t, runs)
	conn := late.dial(t)
	conn.send("body", headerIdempotencyKey, "k")
	<-called
	cutAt := time.Now().Add(200 * time.Millisecond)
	late.AnnounceStop(cutAt)
	if err := conn.conn.SetReadDeadline(cutAt); err != nil {
		t.Fatal(err)
	}
	wantEnd(t, "before the cut", conn.receive(), http.StatusGatewayTimeout, outcome.Unknown, true)
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
		late, serving := startServing(t, executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
			defer close(ended)
			call.SendGate.Send(time.Now())
			if isRelayed && (sink.Begin(http.StatusOK, nil) != nil || sink.Write([]byte("part")) != nil) {
				t.Error("the answer can't be written")
			}
			result := untilRefused(outcome.Unknown, nil)(ctx, call, sink)
			time.Sleep(3 * cutCheckInterval)
			if isRelayed {
				return outcome.Result{End: outcome.Unknown, Refusal: &outcome.Refusal{Reason: outcome.ReasonCallerGone, End: outcome.Unknown}}
			}
			return result
		}), isRelayed)
		serving.recordLengths(time.Millisecond)
		conn := late.dial(t)
		if isRelayed {
			waitUntil(t, "a connection is relayed", func() bool { return len(late.handover.relaysByPeer.addresses()) > 0 })
		}
		late.AnnounceStop(time.Now().Add(200 * time.Millisecond))
		conn.send("body")
		time.Sleep(200 * time.Millisecond)
		_ = conn.conn.Close()
		waitFor(t, ended, "the end of the call")
		time.Sleep(cutCheckInterval)
		inState, inAll := counted(serving.scope, "callers.calls_cut", "state", state), counted(serving.scope, "callers.calls_cut", "", "")
		if inState != 1 || inAll != 1 {
			t.Errorf("counted %d times as %s, %d times in all", inState, state, inAll)
		}
	}
}
