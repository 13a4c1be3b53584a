// Package servicehttp runs calls on plain services. It is imported by the code that
// wires the daemon.
package servicehttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	// maxBufferedAnswerBytes is how much of a body is read before its first byte is
	// relayed: an answer that breaks earlier does not reach the caller.
	maxBufferedAnswerBytes = 64 << 10
	// relayBufferBytes limits the bytes that are relayed at once.
	relayBufferBytes = 32 << 10
	// costReportInterval is the time between two reports of the current cost.
	costReportInterval = 100 * time.Millisecond
)

// Backend implements ports.Backend for plain services.
type Backend struct {
	client          *backendhttp.Client
	progressTimeout backendhttp.ProgressTimeout
}

// New returns a backend that sends requests over the client's connections.
// progressTimeout limits the silence of a connection.
func New(client *backendhttp.Client, progressTimeout backendhttp.ProgressTimeout) *Backend {
	return &Backend{client: client, progressTimeout: progressTimeout}
}

// Load implements ports.Backend.
func (b *Backend) Load(ctx context.Context, server ports.VM) (ports.LoadReport, error) {
	return b.client.Load(ctx, server)
}

// Run implements ports.Backend. The exchange runs on another goroutine, so that the
// cost can be reported while the server works.
func (b *Backend) Run(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, reportCost func(ports.Cost),
) ports.RunResult {
	sentAt := time.Now()
	results, panics := make(chan ports.RunResult, 1), make(chan any, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				panics <- cause
			}
		}()
		results <- b.runExchange(ctx, call, server, sink, sentAt)
	}()
	ticker := time.NewTicker(costReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			reportCost(costSince(sentAt))
		case cause := <-panics:
			// The caller of Run recovers panics; on the other goroutine nobody would.
			panic(cause)
		case result := <-results:
			if result.End != outcome.NotRun {
				result.Report.Cost = costSince(sentAt)
			}
			return result
		}
	}
}

// costSince returns the cost of a run in milliseconds since its request was sent.
func costSince(sentAt time.Time) ports.Cost {
	return ports.Cost(time.Since(sentAt).Milliseconds())
}

// newRequest returns the request that runs a call. An idle connection may have
// broken unnoticed, so only a repeatable call uses one.
func (b *Backend) newRequest(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink,
) *backendhttp.Request {
	header := backendhttp.FilterRequestHeader(call.Header)
	header.Set(backendhttp.HeaderRequestID, string(call.ID))
	if call.IdempotencyKey != "" {
		header.Set(backendhttp.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	target := call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	silenceTimeout := b.progressTimeout(call.Service)
	return &backendhttp.Request{
		Address:            server.Address,
		Method:             call.Method,
		Target:             target,
		Header:             header,
		Body:               call.Body,
		ForceNewConnection: !call.Repeatable,
		CallerGone:         sink.CallerGone,
		SilenceTimeout:     silenceTimeout,
		ShouldCloseSilent:  backendhttp.ProbeOnSilence(ctx, b.client, call, server, silenceTimeout),
	}
}

// runExchange sends the call and relays its answer. An answer that does not name the
// call or whose end can't be told from a break is not relayed.
func (b *Backend) runExchange(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, sentAt time.Time,
) ports.RunResult {
	exchange, err := b.client.Do(ctx, b.newRequest(ctx, call, server, sink))
	if err != nil {
		return backendhttp.FailureResult(ctx, err)
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(call.ID) {
		return backendhttp.MismatchResult()
	}
	if result, declined := backendhttp.DeclinedResult(exchange); declined {
		return result
	}
	if !exchange.SelfDelimited() {
		return backendhttp.TruncatedResult(outcome.Ran)
	}
	firstByteAfter := time.Since(sentAt)
	result := relayAnswer(ctx, exchange, sink)
	result.Report.FirstByteAfter = firstByteAfter
	return result
}

// relayAnswer relays a small answer once it is complete, and a large one, one for which there
// is no memory or an event stream as it arrives.
func relayAnswer(ctx context.Context, exchange *backendhttp.Exchange, sink ports.AnswerSink) ports.RunResult {
	var buffered []byte
	if !isEventStream(exchange.Response) {
		var err error
		buffered, _, err = exchange.ReadAhead(maxBufferedAnswerBytes, sink.Reserve, sink.Unreserve)
		if err != nil {
			sink.Unreserve(int64(cap(buffered)))
			return brokenAnswerResult(ctx, exchange.Response, err)
		}
	}
	// Writing an empty part still sends the header, for which the caller of an event
	// stream waits.
	if beginAnswer(exchange.Response, sink) != nil || sink.Write(buffered) != nil {
		return backendhttp.CallerGoneResult()
	}
	sink.Unreserve(int64(cap(buffered)))
	return relayRest(ctx, exchange, sink)
}

// relayRest relays the rest of the answer as it arrives.
func relayRest(ctx context.Context, exchange *backendhttp.Exchange, sink ports.AnswerSink) ports.RunResult {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := exchange.Read(buffer)
		if n > 0 && sink.Write(buffer[:n]) != nil {
			return backendhttp.CallerGoneResult()
		}
		if errors.Is(err, io.EOF) {
			exchange.Finish()
			return ports.RunResult{End: backendhttp.RunStateOfStatus(exchange.Response.StatusCode)}
		}
		if err != nil {
			return brokenAnswerResult(ctx, exchange.Response, err)
		}
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// beginAnswer sends the status and header of the answer to the caller.
func beginAnswer(response *http.Response, sink ports.AnswerSink) error {
	return sink.Begin(response.StatusCode, backendhttp.FilterAnswerHeader(response.Header))
}

// brokenAnswerResult returns the result of a run whose answer broke after its
// header. The status shows whether the server carried out the call.
func brokenAnswerResult(ctx context.Context, response *http.Response, err error) ports.RunResult {
	result := backendhttp.FailureResult(ctx, err)
	result.End = backendhttp.RunStateOfStatus(response.StatusCode)
	return result
}
