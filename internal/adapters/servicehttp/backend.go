// Package servicehttp runs calls on plain services. It is imported by the
// wiring of the daemon.
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
	// heldWhole is the largest answer that is read whole before its first byte
	// is passed on.
	heldWhole = 64 << 10
	// relayPart is the most bytes that are passed on at once.
	relayPart = 32 << 10
	// progressEvery is the time between two reports of the cost so far.
	progressEvery = 100 * time.Millisecond
)

// Backend implements ports.Backend for plain services.
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

// Run implements ports.Backend. The exchange has a goroutine of its own, so
// that the cost is reported while the server works.
func (b *Backend) Run(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, progress func(ports.Cost),
) ports.RunResult {
	sent := time.Now()
	ended := make(chan ports.RunResult, 1)
	go func() { ended <- b.exchange(ctx, call, server, sink, sent) }()
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			progress(costSince(sent))
		case result := <-ended:
			if result.End != outcome.NotRun {
				result.Report.Cost = costSince(sent)
			}
			return result
		}
	}
}

func costSince(sent time.Time) ports.Cost {
	return ports.Cost(time.Since(sent).Milliseconds())
}

func (b *Backend) request(ctx context.Context, call *ports.Call, server ports.VM) *backendhttp.Request {
	header := backendhttp.FilterRequestHeader(call.Header)
	header.Set(backendhttp.HeaderRequestID, string(call.ID))
	if call.IdempotencyKey != "" {
		header.Set(backendhttp.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	target := call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	silentFor := b.progress(call.Service)
	return &backendhttp.Request{
		Address:            server.Address,
		Method:             call.Method,
		Target:             target,
		Header:             header,
		Body:               call.Body,
		ForceNewConnection: !call.Repeatable,
		SilenceTimeout:     silentFor,
		ShouldCloseSilent:  backendhttp.ProbeOnSilence(ctx, b.client, call, server, silentFor),
	}
}

func (b *Backend) exchange(
	ctx context.Context, call *ports.Call, server ports.VM, sink ports.AnswerSink, sent time.Time,
) ports.RunResult {
	exchange, err := b.client.Do(ctx, b.request(ctx, call, server))
	if err != nil {
		return backendhttp.FailureResult(ctx, err)
	}
	defer exchange.Abort()
	if !exchange.AnswersRequest(call.ID) {
		return backendhttp.MismatchResult()
	}
	if result, declined := backendhttp.DeclinedResult(exchange.Response); declined {
		return result
	}
	if !exchange.SelfDelimited() {
		return backendhttp.TruncatedResult(outcome.Ran)
	}
	firstByteAfter := time.Since(sent)
	result := relay(ctx, exchange, sink)
	result.Report.FirstByteAfter = firstByteAfter
	return result
}

// relay passes the answer on: a small one once it is whole, a large one and an
// event stream as they come.
func relay(ctx context.Context, exchange *backendhttp.Exchange, sink ports.AnswerSink) ports.RunResult {
	var held []byte
	if !isEventStream(exchange.Response) {
		var err error
		held, err = io.ReadAll(io.LimitReader(exchange, heldWhole))
		if err != nil {
			return broken(ctx, exchange.Response, err)
		}
	}
	// An empty part still sends the header, which a caller of an event stream
	// waits for.
	if begin(exchange.Response, sink) != nil || sink.Write(held) != nil {
		return backendhttp.CallerGoneResult()
	}
	return relayRest(ctx, exchange, sink)
}

func relayRest(ctx context.Context, exchange *backendhttp.Exchange, sink ports.AnswerSink) ports.RunResult {
	part := make([]byte, relayPart)
	for {
		n, err := exchange.Read(part)
		if n > 0 && sink.Write(part[:n]) != nil {
			return backendhttp.CallerGoneResult()
		}
		if errors.Is(err, io.EOF) {
			exchange.Finish()
			return ports.RunResult{End: backendhttp.RunStateOfStatus(exchange.Response.StatusCode)}
		}
		if err != nil {
			return broken(ctx, exchange.Response, err)
		}
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func begin(response *http.Response, sink ports.AnswerSink) error {
	return sink.Begin(response.StatusCode, backendhttp.FilterAnswerHeader(response.Header))
}

// broken is the end of a run whose answer broke after its header: the server
// had carried it out.
func broken(ctx context.Context, response *http.Response, err error) ports.RunResult {
	result := backendhttp.FailureResult(ctx, err)
	result.End = backendhttp.RunStateOfStatus(response.StatusCode)
	return result
}
