package enginehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"hawthornstream/internal/adapters/backendhttp"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	completionsTarget = "/v1/chat/completions"
	// streamsTarget is followed by a call ID: GET resumes the stream of the call,
	// DELETE cancels its run.
	streamsTarget = "/v1/streams/"
	// maxBufferedAnswerBytes limits the body of an answer that is not streamed.
	maxBufferedAnswerBytes = 8 << 20
)

// Backend implements ports.Backend for model engines.
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

// Run implements ports.Backend. reportCost is called for streamed calls only.
func (b *Backend) Run(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, reportCost func(ports.Cost),
) ports.RunResult {
	if call.Stream {
		return newStreamRun(b, call, server, sink, reportCost).run(ctx)
	}
	return b.runBuffered(ctx, call, server, sink)
}

// cancelRun makes the engine stop a run whose answer is no longer wanted. It does
// not wait for the engine.
func (b *Backend) cancelRun(call *ports.Call, server ports.VM) {
	b.client.CancelAsync(server.Address, streamsTarget+string(call.ID), call.ID)
}

// newRequest returns the request that starts a run. An idle connection may have
// broken unnoticed, so only a repeatable call uses one.
func (b *Backend) newRequest(call *ports.Call, server ports.VM, sink ports.AnswerSink) *backendhttp.Request {
	header := backendhttp.FilterRequestHeader(call.Header)
	header.Set("Content-Type", "application/json")
	header.Set(backendhttp.HeaderRequestID, string(call.ID))
	if call.IdempotencyKey != "" {
		header.Set(backendhttp.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return &backendhttp.Request{
		Address:            server.Address,
		Method:             http.MethodPost,
		Target:             completionsTarget,
		Header:             header,
		Body:               call.Body,
		ForceNewConnection: !call.Repeatable,
		CallerGone:         sink.CallerGone,
		SilenceTimeout:     b.progressTimeout(call.Service),
	}
}

// runBuffered runs a call whose answer is not streamed. It relays the answer once
// it is complete.
func (b *Backend) runBuffered(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink,
) ports.RunResult {
	sentAt := time.Now()
	request := b.newRequest(call, server, sink)
	request.ShouldCloseSilent = backendhttp.ProbeOnSilence(ctx, b.client, call, server, request.SilenceTimeout)
	exchange, err := b.client.Do(ctx, request)
	if err != nil {
		return b.cancelIfMaybeRunning(call, server, backendhttp.FailureResult(ctx, err))
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(call.ID) {
		return b.cancelIfMaybeRunning(call, server, backendhttp.MismatchResult())
	}
	if result, declined := backendhttp.DeclinedResult(exchange); declined {
		return result
	}
	firstByteAfter := time.Since(sentAt)
	body, failure := readBuffered(ctx, exchange, sink)
	if failure != nil {
		return b.cancelIfMaybeRunning(call, server, *failure)
	}
	defer sink.Unreserve(int64(cap(body)))
	cost, ok := completionCost(exchange.Response.StatusCode, body)
	if !ok || !exchange.SelfDelimited() {
		return backendhttp.TruncatedResult(outcome.Ran)
	}
	exchange.Finish()
	return deliverBuffered(exchange.Response, body, sink, ports.RunReport{Cost: cost, FirstByteAfter: firstByteAfter})
}

// readBuffered reads a complete answer, whose buffer the sink has reserved. If it can't, it
// returns the result of the run.
func readBuffered(ctx context.Context, exchange *backendhttp.Exchange, sink ports.AnswerSink) ([]byte, *ports.RunResult) {
	body, whole, err := exchange.ReadReserved(maxBufferedAnswerBytes, sink.Reserve, sink.Unreserve)
	if whole {
		return body, nil
	}
	sink.Unreserve(int64(cap(body)))
	result := backendhttp.NoAnswerMemoryResult()
	if err != nil {
		result = backendhttp.FailureResult(ctx, err)
	}
	return nil, &result
}

// cancelIfMaybeRunning cancels the run unless the result says that it did not run,
// and returns the result.
func (b *Backend) cancelIfMaybeRunning(call *ports.Call, server ports.VM, result ports.RunResult) ports.RunResult {
	if result.End != outcome.NotRun {
		b.cancelRun(call, server)
	}
	return result
}

// completion is the part of a buffered answer's JSON document that is decoded.
type completion struct {
	Usage *struct {
		CompletionTokens ports.Cost `json:"completion_tokens"`
	} `json:"usage"`
}

// completionCost returns the cost of an answer in completion tokens, which is zero
// for a status other than 200. It reports false if the body is not exactly one JSON
// document with a field usage.
func completionCost(status int, body []byte) (ports.Cost, bool) {
	if status != http.StatusOK {
		return 0, true
	}
	var decoded completion
	if json.Unmarshal(body, &decoded) != nil || decoded.Usage == nil {
		return 0, false
	}
	return max(decoded.Usage.CompletionTokens, 0), true
}

// deliverBuffered writes a complete answer to the sink and returns the result of
// the run, with the given report.
func deliverBuffered(response *http.Response, body []byte, sink ports.AnswerSink, report ports.RunReport) ports.RunResult {
	if sink.Begin(response.StatusCode, backendhttp.FilterAnswerHeader(response.Header)) != nil || sink.Write(body) != nil {
		result := backendhttp.CallerGoneResult()
		result.Report = report
		return result
	}
	return ports.RunResult{End: backendhttp.RunStateOfStatus(response.StatusCode), Report: report}
}
