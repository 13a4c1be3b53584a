package execution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/app/idempotency"
	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// defaultRetryAfter is the RetryAfter of a refusal for which no better value is known.
const defaultRetryAfter = time.Second

// Backends maps each kind of service to the client of its backend servers.
type Backends map[configuration.ServiceKind]ports.Backend

// Executor executes calls with retries. It implements ports.Executor and
// ports.CallHistory.
type Executor struct {
	reporter *callReporter
	broker   ports.SlotBroker
	backends Backends
	keys     IdempotencyKeys
	budgets  *budgets
	// maxAnswerBytes is the largest answer that is recorded for later attempts with
	// the same idempotency key.
	maxAnswerBytes int64
	*history
}

// IdempotencyKeys lets at most one attempt run for each idempotency key.
type IdempotencyKeys interface {
	// Begin requests permission to run the call. Only if the verdict is Granted may
	// the call run, and Finish must follow.
	Begin(ctx context.Context, call *ports.Call) idempotency.BeginResult
	// Finish records how a granted attempt ended. The answer is nil when none was
	// recorded; reason then says why.
	Finish(began *idempotency.BeginResult, end outcome.RunState, reason outcome.Reason, answer *core.Answer)
}

// Params are the dependencies and limits of an Executor.
type Params struct {
	Logger   *log.Logger
	Scope    tally.Scope
	Broker   ports.SlotBroker
	Backends Backends
	// Keys may be nil if no call has an idempotency key.
	Keys           IdempotencyKeys
	MaxAnswerBytes int64
	// RetryPolicy returns this daemon's retry policy; nil stands for
	// retry.DefaultPolicy.
	RetryPolicy func() retry.Policy
}

// NewExecutor returns an Executor.
func NewExecutor(p Params) *Executor {
	return &Executor{
		reporter:       newCallReporter(p.Logger, p.Scope.SubScope("execution")),
		broker:         p.Broker,
		backends:       p.Backends,
		keys:           p.Keys,
		maxAnswerBytes: p.MaxAnswerBytes,
		budgets:        newBudgets(p.RetryPolicy),
		history:        newHistory(),
	}
}

// Execute implements ports.Executor.
func (e *Executor) Execute(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	trace := e.startTrace(call)
	result := withCause(ctx, e.executeOnce(ctx, call, sink, trace))
	e.recordEnd(call, trace, result, sink.Begun())
	return result
}

// withCause returns the result with the reason of the refusal for which the context ended, if
// it did so for one.
func withCause(ctx context.Context, result outcome.Result) outcome.Result {
	cause := refusalOf(ctx)
	if result.Refusal == nil || cause == nil {
		return result
	}
	refusal := *cause
	refusal.End = result.End
	if refusal.End != outcome.NotRun {
		refusal.RetryAfter = result.Refusal.RetryAfter
	}
	result.Refusal = &refusal
	return result
}

// refusalOf returns the refusal for which the context ended; nil for none.
func refusalOf(ctx context.Context) *outcome.Refusal {
	var cause *outcome.Refusal
	errors.As(context.Cause(ctx), &cause)
	return cause
}

// executeWithRetries runs the call and retries it where that is safe.
func (e *Executor) executeWithRetries(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, trace *callTrace,
) outcome.Result {
	backend, ok := e.backends[call.Kind]
	if !ok {
		return refusedResult(&outcome.Refusal{
			Reason: outcome.ReasonInternal, End: outcome.NotRun, Detail: "no backend for the kind of service",
		})
	}
	r := &retryLoop{executor: e, backend: backend, call: call, sink: sink, trace: trace, end: outcome.NotRun}
	return r.run(ctx)
}

func refusedResult(refusal *outcome.Refusal) outcome.Result {
	return outcome.Result{End: refusal.End, Refusal: refusal}
}

// refusalFromError returns a copy of the refusal in the error of a slot broker, or a
// refusal for an internal error.
func refusalFromError(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		copied := *refusal
		return &copied
	}
	return &outcome.Refusal{Reason: outcome.ReasonInternal, End: outcome.NotRun, Detail: "no slot could be acquired"}
}

// recordEnd adds the end of a call to its trace, the log and the metrics. begun says
// that the caller may have received a part of the answer.
func (e *Executor) recordEnd(call *ports.Call, trace *callTrace, result outcome.Result, begun bool) {
	now := time.Now()
	reason := outcome.Reason("")
	if result.Refusal != nil {
		reason = result.Refusal.Reason
	}
	trace.addEvent(now, "ended", fmt.Sprintf("run=%s reason=%s", result.End, reason))
	e.reporter.callEnded(now, call, result, begun)
}
