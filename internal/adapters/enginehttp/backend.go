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
	streamsTarget     = "/v1/streams/"
	// maxWholeAnswer is the most bytes of an answer that is not streamed.
	maxWholeAnswer = 8 << 20
)

// Backend implements ports.Backend for model engines.
type Backend struct {
	client   *backendhttp.Client
	progress backendhttp.ProgressTimeout
}

// New returns a backend that sends over the client's connections.
func New(client *backendhttp.Client, progress backendhttp.ProgressTimeout) *Backend {
	return &Backend{client: client, progress: progress}
}

// Load implements ports.Backend.
func (b *Backend) Load(ctx context.Context, server ports.VM) (ports.LoadReport, error) {
	return b.client.Load(ctx, server)
}

// Run implements ports.Backend.
func (b *Backend) Run(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, progress func(ports.Cost),
) ports.RunResult {
	if call.Stream {
		return newStreamRun(b, call, server, sink, progress).run(ctx)
	}
	return b.runWhole(ctx, call, server, sink)
}

// cancel frees the engine of a run that nobody waits for.
func (b *Backend) cancel(call *ports.Call, server ports.VM) {
	b.client.CancelAsync(server.Address, streamsTarget+string(call.ID), call.ID)
}

func (b *Backend) request(call *ports.Call, server ports.VM) *backendhttp.Request {
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
		SilenceTimeout:     b.progress(call.Service),
	}
}

// runWhole runs a call whose answer comes in one piece.
func (b *Backend) runWhole(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink,
) ports.RunResult {
	sent := time.Now()
	request := b.request(call, server)
	request.ShouldCloseSilent = backendhttp.ProbeOnSilence(ctx, b.client, call, server, request.SilenceTimeout)
	exchange, err := b.client.Do(ctx, request)
	if err != nil {
		return b.giveUp(call, server, backendhttp.FailureResult(ctx, err))
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(call.ID) {
		return b.giveUp(call, server, backendhttp.MismatchResult())
	}
	if result, declined := backendhttp.DeclinedResult(exchange.Response); declined {
		return result
	}
	firstByteAfter := time.Since(sent)
	body, err := exchange.ReadAll(maxWholeAnswer)
	if err != nil {
		return b.giveUp(call, server, backendhttp.FailureResult(ctx, err))
	}
	cost, ok := wholeCost(exchange.Response.StatusCode, body)
	if !ok || !exchange.SelfDelimited() {
		return backendhttp.TruncatedResult(outcome.Ran)
	}
	exchange.Finish()
	return deliver(exchange.Response, body, sink, ports.RunReport{Cost: cost, FirstByteAfter: firstByteAfter})
}

// giveUp cancels a run that may be under way.
func (b *Backend) giveUp(call *ports.Call, server ports.VM, result ports.RunResult) ports.RunResult {
	if result.End != outcome.NotRun {
		b.cancel(call, server)
	}
	return result
}

// completion is the part of a whole answer that is read here.
type completion struct {
	Usage *struct {
		CompletionTokens ports.Cost `json:"completion_tokens"`
	} `json:"usage"`
}

// wholeCost reads the cost from an answer. It reports false for an answer that
// is not one whole JSON document with its usage.
func wholeCost(status int, body []byte) (ports.Cost, bool) {
	if status != http.StatusOK {
		return 0, true
	}
	var answer completion
	if json.Unmarshal(body, &answer) != nil || answer.Usage == nil {
		return 0, false
	}
	return max(answer.Usage.CompletionTokens, 0), true
}

// deliver hands a whole answer to the sink.
func deliver(response *http.Response, body []byte, sink ports.AnswerSink, report ports.RunReport) ports.RunResult {
	if sink.Begin(response.StatusCode, backendhttp.FilterAnswerHeader(response.Header)) != nil || sink.Write(body) != nil {
		result := backendhttp.CallerGoneResult()
		result.Report = report
		return result
	}
	return ports.RunResult{End: backendhttp.RunStateOfStatus(response.StatusCode), Report: report}
}
