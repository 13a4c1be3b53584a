package execution

import (
	"context"

	"hawthornstream/internal/app/idempotency"
	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// headerReplayed marks an answer that an earlier attempt of the key got.
const headerReplayed = "Hawthornstream-Replayed"

// carryOutOnce runs a call, at most once for its idempotency key if it has one.
func (m *Manager) carryOutOnce(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, life *trace,
) outcome.Result {
	if call.IdempotencyKey == "" {
		return m.carryOut(ctx, call, sink, life)
	}
	began := m.keys.Begin(ctx, call)
	switch began.Verdict {
	case core.Granted:
		return m.carryOutKeyed(ctx, call, sink, life, &began)
	case core.AlreadyEnded:
		return replay(&began, sink)
	default:
		return refused(notGranted(ctx, began.Verdict))
	}
}

func (m *Manager) carryOutKeyed(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, life *trace, began *idempotency.BeginResult,
) outcome.Result {
	held := &heldSink{AnswerSink: sink, limit: m.maxAnswer, detached: call.Kind == configuration.ServiceKindPlain}
	result := m.carryOut(ctx, call, held, life)
	m.keys.Finish(began, result.End, held.reason(result), held.answer(result))
	return result
}

// notGranted is the refusal of a call that another attempt or the state of the
// platform keeps from running. Of a running attempt the end is unknown.
func notGranted(ctx context.Context, verdict core.Verdict) *outcome.Refusal {
	switch {
	case verdict == core.KeyReused:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyKeyReused, End: outcome.NotRun,
			Detail: "the idempotency key belongs to another request",
		}
	case verdict == core.InProgress:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyInProgress, End: outcome.Unknown,
			Detail: "another attempt with the idempotency key is running", RetryAfter: comeBackAfter,
		}
	case ctx.Err() != nil:
		return gaveUp(ctx)
	default:
		return &outcome.Refusal{
			Reason: outcome.ReasonIdempotencyUnavailable, End: outcome.NotRun,
			Detail: "the idempotency key can't be recorded now", RetryAfter: comeBackAfter,
		}
	}
}

// replay answers with what an earlier attempt of the key came to.
func replay(began *idempotency.BeginResult, sink ports.AnswerSink) outcome.Result {
	if began.Answer == nil {
		reason := began.Reason
		if reason == "" {
			reason = outcome.ReasonOutcomeUnknown
		}
		return refused(&outcome.Refusal{
			Reason: reason, End: began.End, Detail: "an earlier attempt with the idempotency key ended without a held answer",
		})
	}
	header := ports.Header{headerReplayed: {"true"}}
	for name, values := range began.Answer.Header {
		header[name] = values
	}
	if sink.Begin(began.Answer.Status, header) != nil || sink.Write(began.Answer.Body) != nil {
		return refused(&outcome.Refusal{Reason: outcome.ReasonCallerGone, End: began.End, Detail: "the caller hung up"})
	}
	return outcome.Result{End: began.End}
}
