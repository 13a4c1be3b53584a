package enginehttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/adapters/sse"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// maxResumes is the most resumptions in a row that bring no event.
	maxResumes = 4
	// resumeFirstWait and resumeMaxWait bound the backoff between them.
	resumeFirstWait = 20 * time.Millisecond
	resumeMaxWait   = 500 * time.Millisecond
)

// streamRun is one streamed run, over one connection after another.
type streamRun struct {
	backend  *Backend
	call     *ports.Call
	server   ports.VM
	sink     ports.AnswerSink
	progress func(ports.Cost)

	sent   time.Time
	last   int
	report ports.RunReport
}

func newStreamRun(
	b *Backend, call *ports.Call, server ports.VM, sink ports.AnswerSink, progress func(ports.Cost),
) *streamRun {
	return &streamRun{backend: b, call: call, server: server, sink: sink, progress: progress, sent: time.Now()}
}

// step is the end of one connection's part of a run.
type step struct {
	result ports.RunResult
	// resumable says that the engine may still have the stream.
	resumable bool
}

func (r *streamRun) run(ctx context.Context) ports.RunResult {
	end := r.start(ctx)
	wait := newResumeBackoff()
	for tries := 0; end.resumable && tries < maxResumes && ctx.Err() == nil; tries++ {
		if !pause.For(ctx, wait.NextBackOff()) {
			break
		}
		before := r.last
		end = r.resume(ctx, end)
		if r.last > before {
			tries = 0
			wait.Reset()
		}
	}
	return r.finish(ctx, end)
}

// finish completes the result and frees the engine of a run given up on.
func (r *streamRun) finish(ctx context.Context, end step) ports.RunResult {
	result := end.result
	if result.Reason != "" && ctx.Err() != nil && result.End != outcome.NotRun {
		result.Reason, result.Detail = backendhttp.ContextEndReason(ctx)
		result.Report.Fault = ports.ServerFaultNone
	}
	if r.last > 0 {
		result.End = outcome.Ran
	}
	result.Report.Cost = r.report.Cost
	result.Report.FirstByteAfter = r.report.FirstByteAfter
	if result.Reason != "" {
		return r.backend.giveUp(r.call, r.server, result)
	}
	return result
}

func (r *streamRun) start(ctx context.Context) step {
	exchange, err := r.backend.client.Do(ctx, r.backend.request(r.call, r.server))
	if err != nil {
		result := backendhttp.FailureResult(ctx, err)
		return step{result: result, resumable: result.End != outcome.NotRun}
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(r.call.ID) {
		return step{result: backendhttp.MismatchResult(), resumable: true}
	}
	if result, declined := backendhttp.DeclinedResult(exchange.Response); declined {
		return step{result: result}
	}
	if !isEventStream(exchange.Response) {
		return r.relayWhole(ctx, exchange)
	}
	return r.relay(ctx, exchange)
}

// resume asks the engine for the events after the last one. The end of the
// part before stays the cause when the engine can't go on.
func (r *streamRun) resume(ctx context.Context, before step) step {
	header := make(http.Header)
	header.Set(backendhttp.HeaderRequestID, string(r.call.ID))
	header.Set(backendhttp.HeaderLastEventID, strconv.Itoa(r.last))
	exchange, err := r.backend.client.Do(ctx, &backendhttp.Request{
		Address:            r.server.Address,
		Method:             http.MethodGet,
		Target:             streamsTarget + string(r.call.ID),
		Header:             header,
		ForceNewConnection: true,
		SilenceTimeout:     r.backend.progress(r.call.Service),
	})
	if err != nil {
		return before
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(r.call.ID) {
		return before
	}
	if exchange.Response.StatusCode == http.StatusNotFound {
		before.resumable = false
		return before
	}
	if exchange.Response.StatusCode != http.StatusOK || !isEventStream(exchange.Response) {
		return before
	}
	return r.relay(ctx, exchange)
}

// relay passes events on until the stream is whole or breaks.
func (r *streamRun) relay(ctx context.Context, exchange *backendhttp.Exchange) step {
	events := sse.NewReader(exchange)
	for {
		next, err := events.Next()
		if err != nil {
			return r.broken(ctx, err)
		}
		if next.ID != 0 && next.ID <= r.last {
			continue
		}
		if !r.continues(next) {
			return step{result: backendhttp.TruncatedResult(outcome.Unknown), resumable: true}
		}
		if !r.pass(next, exchange.Response) {
			return step{result: backendhttp.CallerGoneResult()}
		}
		if next.Done {
			finishIfEnded(exchange)
			return step{result: ports.RunResult{End: outcome.Ran}}
		}
	}
}

// continues says whether the event follows the last one without a gap.
func (r *streamRun) continues(next sse.Event) bool {
	if next.ID == 0 {
		return next.Done && r.last > 0
	}
	return next.ID == r.last+1
}

// pass hands an event to the caller and counts its cost.
func (r *streamRun) pass(next sse.Event, response *http.Response) bool {
	if r.report.FirstByteAfter == 0 {
		r.report.FirstByteAfter = time.Since(r.sent)
	}
	if next.ID != 0 {
		r.last = next.ID
	}
	if !next.Done {
		r.report.Cost++
		r.progress(r.report.Cost)
	}
	if !r.sink.Begun() {
		header := backendhttp.FilterAnswerHeader(response.Header)
		// The length is that of one connection's part.
		delete(header, "Content-Length")
		if r.sink.Begin(http.StatusOK, header) != nil {
			return false
		}
	}
	return r.sink.Write(next.Raw) == nil
}

func (r *streamRun) broken(ctx context.Context, err error) step {
	var invalid *sse.InvalidEventError
	var cut *sse.TruncatedEventError
	if errors.Is(err, io.EOF) || errors.As(err, &invalid) || errors.As(err, &cut) {
		return step{result: backendhttp.TruncatedResult(outcome.Unknown), resumable: true}
	}
	return step{result: backendhttp.FailureResult(ctx, err), resumable: true}
}

// relayWhole passes on an answer that is no stream, such as an error.
func (r *streamRun) relayWhole(ctx context.Context, exchange *backendhttp.Exchange) step {
	body, err := exchange.ReadAll(maxWholeAnswer)
	if err != nil {
		return step{result: backendhttp.FailureResult(ctx, err)}
	}
	if exchange.Response.StatusCode == http.StatusOK || !exchange.SelfDelimited() {
		return step{result: backendhttp.TruncatedResult(outcome.Unknown)}
	}
	exchange.Finish()
	return step{result: deliver(exchange.Response, body, r.sink, ports.RunReport{})}
}

// finishIfEnded keeps the connection when nothing follows the last event.
func finishIfEnded(exchange *backendhttp.Exchange) {
	var rest [1]byte
	n, err := exchange.Read(rest[:])
	if n == 0 && errors.Is(err, io.EOF) {
		exchange.Finish()
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func newResumeBackoff() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = resumeFirstWait
	wait.MaxInterval = resumeMaxWait
	wait.Reset()
	return wait
}
