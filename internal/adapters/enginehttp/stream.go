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
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// maxResumesWithoutEvent limits the consecutive resumptions that bring no event.
	maxResumesWithoutEvent = 4
	// resumeInitialBackoff and resumeMaxBackoff bound the exponential backoff
	// before each resumption.
	resumeInitialBackoff = 20 * time.Millisecond
	resumeMaxBackoff     = 500 * time.Millisecond
)

// streamRun is one streamed run. It may take several connections, one after
// another.
type streamRun struct {
	backend    *Backend
	call       *ports.Call
	server     ports.VM
	sink       ports.AnswerSink
	reportCost func(ports.Cost)

	sentAt time.Time
	// lastEventID is the ID of the last event that was relayed, zero before the
	// first. The engine numbers the events of a stream from 1 without gaps.
	lastEventID int
	report      ports.RunReport
}

func newStreamRun(
	b *Backend, call *ports.Call, server ports.VM, sink ports.AnswerSink, reportCost func(ports.Cost),
) *streamRun {
	return &streamRun{backend: b, call: call, server: server, sink: sink, reportCost: reportCost, sentAt: time.Now()}
}

// connectionEnd describes how a run ended on one of its connections.
type connectionEnd struct {
	// result is that of the run if it is not resumed.
	result ports.RunResult
	// resumable is true if the engine may still have the stream.
	resumable bool
	// isSlow is true if the engine answered with the stream of the run and was silent
	// then.
	isSlow bool
}

// canMove reports whether another engine may run the call.
func (r *streamRun) canMove() bool {
	return r.call.Repeatable && r.lastEventID == 0
}

// run starts the run and resumes it until it is complete or can't go on. A
// connection that brings an event resets the backoff and the count of resumptions; so
// does, for a run that can't move, an engine that still has it but is slow.
func (r *streamRun) run(ctx context.Context) ports.RunResult {
	end := r.start(ctx)
	resumeBackoff := newResumeBackoff()
	for resumes := 0; end.resumable && resumes < maxResumesWithoutEvent && ctx.Err() == nil; resumes++ {
		if !pause.For(ctx, resumeBackoff.NextBackOff()) {
			break
		}
		lastBefore := r.lastEventID
		end.isSlow = false
		end = r.resume(ctx, end)
		if r.lastEventID > lastBefore {
			resumes = 0
			resumeBackoff.Reset()
		}
		if end.isSlow && !r.canMove() {
			resumes = 0
		}
	}
	return r.completeResult(ctx, end)
}

// completeResult adds the report of all connections to the result and cancels a
// failed run on the engine. If the call's context has ended, that is the reason of
// the failure, and the server is not at fault.
func (r *streamRun) completeResult(ctx context.Context, end connectionEnd) ports.RunResult {
	result := end.result
	if result.Reason != "" && ctx.Err() != nil && result.End != outcome.NotRun {
		result.Reason, result.Detail = backendhttp.ContextEndReason(ctx)
		result.Report.Fault = ports.ServerFaultNone
	}
	if r.lastEventID > 0 {
		result.End = outcome.Ran
	}
	result.Report.Cost = r.report.Cost
	result.Report.FirstByteAfter = r.report.FirstByteAfter
	if result.Reason != "" {
		return r.backend.cancelIfMaybeRunning(r.call, r.server, result)
	}
	return result
}

// start sends the call and relays the answer on the first connection.
func (r *streamRun) start(ctx context.Context) connectionEnd {
	exchange, err := r.backend.client.Do(ctx, r.backend.newRequest(r.call, r.server, r.sink))
	if err != nil {
		result := backendhttp.FailureResult(ctx, err)
		return connectionEnd{result: result, resumable: result.End != outcome.NotRun}
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(r.call.ID) {
		return connectionEnd{result: backendhttp.MismatchResult(), resumable: true}
	}
	if result, declined := backendhttp.DeclinedResult(exchange); declined {
		return connectionEnd{result: result}
	}
	if !isEventStream(exchange.Response) {
		return r.relayNonStream(ctx, exchange)
	}
	return r.relayEvents(ctx, exchange)
}

// resume requests the events after lastEventID over a new connection. If the engine
// does not continue the stream, it returns the end of the previous connection,
// which is the cause of the failure.
func (r *streamRun) resume(ctx context.Context, previous connectionEnd) connectionEnd {
	header := make(http.Header)
	header.Set(backendhttp.HeaderRequestID, string(r.call.ID))
	header.Set(backendhttp.HeaderLastEventID, strconv.Itoa(r.lastEventID))
	exchange, err := r.backend.client.Do(ctx, &backendhttp.Request{
		Address:            r.server.Address,
		Method:             http.MethodGet,
		Target:             streamsTarget + string(r.call.ID),
		Header:             header,
		ForceNewConnection: true,
		CallerGone:         r.sink.CallerGone,
		SilenceTimeout:     r.backend.progressTimeout(r.call.Service),
	})
	if err != nil {
		return previous
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(r.call.ID) {
		return previous
	}
	if exchange.Response.StatusCode == http.StatusNotFound {
		previous.resumable = false
		return previous
	}
	if exchange.Response.StatusCode != http.StatusOK || !isEventStream(exchange.Response) {
		return previous
	}
	end := r.relayEvents(ctx, exchange)
	end.isSlow = end.result.Reason == outcome.ReasonConnectionSilent
	return end
}

// relayEvents relays events until the stream is complete or breaks. It skips events
// that were relayed before.
func (r *streamRun) relayEvents(ctx context.Context, exchange *backendhttp.Exchange) connectionEnd {
	events := sse.NewReader(exchange, exchange.NewMessage(memory.KindEvent, 0))
	defer events.Close()
	for {
		next, err := events.Next()
		if err != nil {
			return r.readFailure(ctx, err)
		}
		if next.ID != 0 && next.ID <= r.lastEventID {
			continue
		}
		if !r.followsLastEvent(next) {
			return connectionEnd{result: backendhttp.TruncatedResult(outcome.Unknown), resumable: true}
		}
		if !r.relayEvent(next, exchange.Response) {
			return connectionEnd{result: backendhttp.CallerGoneResult()}
		}
		if next.Done {
			finishIfAtEOF(exchange)
			return connectionEnd{result: ports.RunResult{End: outcome.Ran}}
		}
	}
}

// followsLastEvent reports whether the event is the next one after lastEventID. An
// event without an ID must be the end of a stream that has begun.
func (r *streamRun) followsLastEvent(next sse.Event) bool {
	if next.ID == 0 {
		return next.Done && r.lastEventID > 0
	}
	return next.ID == r.lastEventID+1
}

// relayEvent writes an event to the caller, after the header if it is the first
// one, and adds to the cost, which is 1 for each event before the end. It reports
// false if the caller has hung up.
func (r *streamRun) relayEvent(next sse.Event, response *http.Response) bool {
	if r.report.FirstByteAfter == 0 {
		r.report.FirstByteAfter = time.Since(r.sentAt)
	}
	if next.ID != 0 {
		r.lastEventID = next.ID
	}
	if !next.Done {
		r.report.Cost++
		r.reportCost(r.report.Cost)
	}
	if !r.sink.Begun() {
		header := backendhttp.FilterAnswerHeader(response.Header)
		// The length covers what is sent on this connection, not the whole answer.
		delete(header, "Content-Length")
		if r.sink.Begin(http.StatusOK, header) != nil {
			return false
		}
	}
	return r.sink.Write(next.Raw) == nil
}

// readFailure returns the end of a connection on which reading an event failed with
// err.
func (r *streamRun) readFailure(ctx context.Context, err error) connectionEnd {
	var invalid *sse.InvalidEventError
	var truncated *sse.TruncatedEventError
	var noMemory *sse.NoMemoryError
	if errors.As(err, &noMemory) {
		return connectionEnd{result: backendhttp.NoEventMemoryResult(noMemory), resumable: !noMemory.IsUnusual()}
	}
	if errors.Is(err, io.EOF) || errors.As(err, &invalid) || errors.As(err, &truncated) {
		return connectionEnd{result: backendhttp.TruncatedResult(outcome.Unknown), resumable: true}
	}
	return connectionEnd{result: backendhttp.FailureResult(ctx, err), resumable: true}
}

// relayNonStream relays an answer that is not an event stream, such as an error
// answer. With status 200 it counts as truncated, since the call asked for a
// stream.
func (r *streamRun) relayNonStream(ctx context.Context, exchange *backendhttp.Exchange) connectionEnd {
	body, failure := readBuffered(ctx, exchange, r.sink)
	if failure != nil {
		return connectionEnd{result: *failure}
	}
	defer r.sink.Unreserve(int64(cap(body)))
	if exchange.Response.StatusCode == http.StatusOK || !exchange.SelfDelimited() {
		return connectionEnd{result: backendhttp.TruncatedResult(outcome.Unknown)}
	}
	exchange.Finish()
	return connectionEnd{result: deliverBuffered(exchange.Response, body, r.sink, ports.RunReport{})}
}

// finishIfAtEOF returns the connection to the client's pool if nothing follows the
// last event.
func finishIfAtEOF(exchange *backendhttp.Exchange) {
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
	resumeBackoff := backoff.NewExponentialBackOff()
	resumeBackoff.InitialInterval = resumeInitialBackoff
	resumeBackoff.MaxInterval = resumeMaxBackoff
	resumeBackoff.Reset()
	return resumeBackoff
}
