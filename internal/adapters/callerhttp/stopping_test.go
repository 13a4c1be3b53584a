package callerhttp

import (
	"context"
	"errors"
	"net/http"
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
	// lateness is how long after the cut the answer may come.
	lateness time.Duration
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
			if err := conn.conn.SetDeadline(cutAt.Add(tt.lateness)); err != nil {
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
// the stop's end. Calls that waited for a server were sent however little time was left. A call
// whose run took a while to end was counted at each look at the calls in progress.
func TestStopCutsNoCallThatItTook(t *testing.T) {
	answers, waits, runs := answerWith("answer"), untilRefused(outcome.NotRun, nil), untilRefused(outcome.Unknown, nil)
	endsSlowly := func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
		result := runs(ctx, call, sink)
		time.Sleep(3 * cutCheckInterval)
		return result
	}
	testCallsInStop(t, false, []callInStop{
		{"length unknown", answers, 0, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun, 0},
		{"ends by its deadline", answers, 0, 10 * time.Second, []string{headerDeadline, "5s"}, http.StatusOK, outcome.Ran, 0},
		{"short", answers, time.Second, 10 * time.Second, nil, http.StatusOK, outcome.Ran, 0},
		{"long", answers, 11 * time.Second, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun, 0},
		{"waits too long", waits, 300 * time.Millisecond, 500 * time.Millisecond, nil, http.StatusServiceUnavailable, outcome.NotRun, 0},
		{"longer than any before", runs, time.Millisecond, 300 * time.Millisecond, nil, http.StatusGatewayTimeout, outcome.Unknown, 0},
		{"ends slowly once it is cut", endsSlowly, time.Millisecond, 200 * time.Millisecond, nil, http.StatusGatewayTimeout, outcome.Unknown, time.Minute},
	})
}

// The peer took calls on relayed connections, and kept them waiting, that were cut at the end of
// the relay's stop.
func TestPeerTakesNoCallThatEndOfRelaysStopCuts(t *testing.T) {
	answers, waits := answerWith("answer"), untilRefused(outcome.NotRun, nil)
	testCallsInStop(t, true, []callInStop{
		{"short", answers, time.Second, 10 * time.Second, nil, http.StatusOK, outcome.Ran, 0},
		{"long", answers, 11 * time.Second, 10 * time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun, 0},
		{"waits too long", waits, 500 * time.Millisecond, time.Second, nil, http.StatusServiceUnavailable, outcome.NotRun, 0},
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

// The answer of a run with an idempotency key is recorded though its relay stops.
func TestRunWithKeyOutlivesTheStopOfItsRelay(t *testing.T) {
	called, ended := make(chan struct{}), make(chan error, 1)
	runs := executorFunc(func(ctx context.Context, call *ports.Call, _ ports.AnswerSink) outcome.Result {
		call.SendGate.Send(time.Now())
		close(called)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		ended <- context.Cause(ctx)
		return outcome.Result{End: outcome.Ran}
	})
	late, _ := startRelayed(t, runs)
	late.dial(t).send("body", headerIdempotencyKey, "k")
	<-called
	late.AnnounceStop(time.Now().Add(200 * time.Millisecond))
	if err := <-ended; err != nil {
		t.Errorf("the run ended: %v", err)
	}
}
