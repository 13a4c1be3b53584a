package execution

import (
	"context"

	"hawthornstream/internal/app/idempotency"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// headerReplayed marks an answer that was recorded for an earlier attempt with the
// same idempotency key.
const headerReplayed = "Hawthornstream-Replayed"

// executeOnce runs a call. If the call has an idempotency key, it runs at most once
// for the key; later attempts get the recorded answer.
func (e *Executor) executeOnce(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, trace *callTrace,
) outcome.Result {
	if call.IdempotencyKey == "" {
		return e.executeWithRetries(ctx, call, sink, trace)
	}
	began := e.keys.Begin(ctx, call)
	switch began.Verdict {
	case core.Granted:
		return e.executeWithKey(ctx, call, sink, trace, &began)
	case core.AlreadyEnded:
		return replay(&began, sink)
	default:
		return refusedResult(keyRefusal(ctx, began.Verdict))
	}
}

// executeWithKey runs a call whose idempotency key was granted, and records how it
// ended. A call of a plain service goes on when its caller hangs up.
func (e *Executor) executeWithKey(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, trace *callTrace, began *idempotency.BeginResult,
) outcome.Result {
	recorder := &recordingSink{AnswerSink: sink, maxBytes: e.maxAnswerBytes, ignoreCallerErrors: call.OutlivesCaller()}
	result := e.executeWithRetries(ctx, call, recorder, trace)
	e.keys.Finish(began, result.End, recorder.missingAnswerReason(result), recorder.recordedAnswer(result))
	return result
}

// keyRefusal returns the refusal of a call whose idempotency key was not granted.
// While another attempt with the key is running, the run state is unknown.
func keyRefusal(ctx context.Context, verdict core.Verdict) *outcome.Refusal {
	switch {
	case verdict == core.KeyReused:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyKeyReused, End: outcome.NotRun,
			Detail: "the idempotency key belongs to another request",
		}
	case verdict == core.InProgress:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyInProgress, End: outcome.Unknown,
			Detail: "another attempt with the idempotency key is running", RetryAfter: defaultRetryAfter,
		}
	case ctx.Err() != nil:
		return notSentRefusal(ctx)
	default:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyUnavailable, End: outcome.NotRun,
			Detail: "the idempotency key can't be recorded now", RetryAfter: defaultRetryAfter,
		}
	}
}

// replay answers a call with the recorded end of an earlier attempt: its answer, or a
// refusal if no answer was recorded.
func replay(began *idempotency.BeginResult, sink ports.AnswerSink) outcome.Result {
	if began.Answer == nil {
		reason := began.Reason
		if reason == "" {
			reason = outcome.ReasonOutcomeUnknown
		}
		return refusedResult(&outcome.Refusal{
			Reason: reason, End: began.End, Detail: "an earlier attempt with the idempotency key ended without a held answer",
		})
	}
	header := ports.Header{headerReplayed: {"true"}}
	for name, values := range began.Answer.Header {
		header[name] = values
	}
	if sink.Begin(began.Answer.Status, header) != nil || sink.Write(began.Answer.Body) != nil {
		return refusedResult(&outcome.Refusal{Reason: outcome.ReasonCallerGone, End: began.End, Detail: "the caller hung up"})
	}
	return outcome.Result{End: began.End}
}
