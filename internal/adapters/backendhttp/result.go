package backendhttp

import (
	"context"
	"errors"
	"net/http"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/sse"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// FailureResult returns the result of a run whose exchange failed with err. ctx is
// the context of the call.
func FailureResult(ctx context.Context, err error) ports.RunResult {
	var exchange *ExchangeError
	var tooLarge *AnswerTooLargeError
	var refused *heldmemory.MessageRefusedError
	switch {
	case errors.As(err, &tooLarge):
		return ports.RunResult{End: outcome.Ran, Reason: outcome.ReasonAnswerTooLarge, Detail: err.Error()}
	case errors.As(err, &exchange):
		return exchangeFailureResult(ctx, exchange)
	case errors.As(err, &refused):
		return messageRefusedResult(refused)
	default:
		return connectFailureResult(ctx, err)
	}
}

func exchangeFailureResult(ctx context.Context, err *ExchangeError) ports.RunResult {
	result := ports.RunResult{End: outcome.Unknown, Detail: err.detail()}
	var refused *heldmemory.MessageRefusedError
	var headTooLarge *HeadTooLargeError
	switch {
	case ctx.Err() != nil:
		result.Reason, result.Detail = ContextEndReason(ctx)
		if err.OversizedHead {
			result.Report.Fault = ports.ServerFaultBroken
		}
	case errors.As(err, &refused):
		result = messageRefusedResult(refused)
	case errors.As(err, &headTooLarge):
		result = oversizedMessageResult(headTooLarge)
	case err.Unwanted:
		result.Reason, result.Detail = outcome.ReasonCallerGone, "the caller hung up before the request was written"
	case err.Silent:
		result.Reason = outcome.ReasonConnectionSilent
		result.Report.Fault = ports.ServerFaultSilent
		result.Detail = "the connection to the backend server made no progress"
	case err.Malformed:
		result.Reason = outcome.ReasonAnswerMalformed
		result.Report.Fault = ports.ServerFaultBroken
	default:
		result.Reason = outcome.ReasonConnectionBroken
		result.Report.Fault = ports.ServerFaultBroken
	}
	if !err.MaybeSent {
		result.End = outcome.NotRun
	}
	return result
}

// messageRefusedResult returns the result of a run whose answer had a part for which there was
// no memory.
func messageRefusedResult(err *heldmemory.MessageRefusedError) ports.RunResult {
	if memory.IsOversized(err.Kind, err.Bytes) {
		return oversizedMessageResult(err)
	}
	return ports.RunResult{End: outcome.Unknown, Reason: outcome.ReasonAnswerNotHeld, Detail: err.Error()}
}

// oversizedMessageResult returns the result of a run whose answer had a part that is larger than
// those of sound servers, and may have no end.
func oversizedMessageResult(err error) ports.RunResult {
	return ports.RunResult{
		End: outcome.Unknown, Reason: outcome.ReasonAnswerWithoutEnd, Detail: err.Error(),
		Report: ports.RunReport{Fault: ports.ServerFaultBroken},
	}
}

func connectFailureResult(ctx context.Context, err error) ports.RunResult {
	if ctx.Err() != nil {
		reason, detail := ContextEndReason(ctx)
		return ports.RunResult{End: outcome.NotRun, Reason: reason, Detail: detail}
	}
	result := ports.RunResult{
		End:    outcome.NotRun,
		Reason: outcome.ReasonServerUnreachable,
		Detail: err.Error(),
		Report: ports.RunReport{Fault: ports.ServerFaultUnreachable},
	}
	var limit *ConnectionLimitError
	if errors.As(err, &limit) {
		result.Reason = outcome.ReasonServerOverloaded
		result.Report.Fault = ports.ServerFaultOverloaded
	}
	return result
}

// ContextEndReason returns the reason and detail of a run whose context has ended:
// the deadline passed, or else the caller hung up.
func ContextEndReason(ctx context.Context) (outcome.Reason, string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadlineExceeded, "the deadline passed during the run"
	}
	return outcome.ReasonCallerGone, "the caller hung up during the run"
}

// MismatchResult returns the result of a run whose answer carries the ID of another
// request.
func MismatchResult() ports.RunResult {
	return ports.RunResult{
		End:    outcome.Unknown,
		Reason: outcome.ReasonAnswerMismatch,
		Detail: "the answer named another request",
		Report: ports.RunReport{Fault: ports.ServerFaultBroken},
	}
}

// TruncatedResult returns the result of a run whose answer is incomplete, or can't
// be shown to be complete. state is what is known about the run.
func TruncatedResult(state outcome.RunState) ports.RunResult {
	return ports.RunResult{
		End:    state,
		Reason: outcome.ReasonAnswerTruncated,
		Detail: "the answer ended before it was whole",
		Report: ports.RunReport{Fault: ports.ServerFaultBroken},
	}
}

// NoEventMemoryResult returns the result of a run whose stream ended for want of memory for an
// event. That is the server's fault if the event is unusually large.
func NoEventMemoryResult(err *sse.NoMemoryError) ports.RunResult {
	if err.IsUnusual() {
		return oversizedMessageResult(err)
	}
	return ports.RunResult{End: outcome.Unknown, Reason: outcome.ReasonAnswerNotHeld, Detail: err.Error()}
}

// NoAnswerMemoryResult returns the result of a run whose answer can be neither held nor relayed as
// it arrives.
func NoAnswerMemoryResult() ports.RunResult {
	return ports.RunResult{
		End: outcome.Ran, Reason: outcome.ReasonAnswerNotHeld, Detail: "this daemon has no memory free for the answer",
	}
}

// CallerGoneResult returns the result of a run whose caller hung up while the
// answer was being relayed.
func CallerGoneResult() ports.RunResult {
	return ports.RunResult{
		End:    outcome.Ran,
		Reason: outcome.ReasonCallerGone,
		Detail: "the caller hung up during the answer",
	}
}

// DeclinedResult returns the result of a call that the server declined to run. It
// reports false unless the answer has an overload status and declares that no part
// of the call ran. The detail names an invalid Retry-After.
func DeclinedResult(exchange *Exchange) (ports.RunResult, bool) {
	response := exchange.Response
	if !isOverloadStatus(response.StatusCode) || response.Header.Get(HeaderRunState) != runStateNotRun {
		return ports.RunResult{}, false
	}
	retryAfter, err := exchange.RetryAfter()
	result := ports.RunResult{
		End:        outcome.NotRun,
		Reason:     outcome.ReasonServerOverloaded,
		Detail:     "the backend server is full",
		RetryAfter: retryAfter,
		Report:     ports.RunReport{Fault: ports.ServerFaultOverloaded},
	}
	if response.Header.Get(HeaderLeaving) == "true" {
		result.Reason = outcome.ReasonServerLeaving
		result.Detail = "the backend server is leaving"
		result.Report.Fault = ports.ServerFaultLeaving
	}
	if err != nil {
		result.Detail += ": " + err.Error()
	}
	return result, true
}

func isOverloadStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// RunStateOfStatus returns the state of a run that ended with a complete answer of
// the given status. After a server error or status 429 it is unknown what the
// server carried out.
func RunStateOfStatus(status int) outcome.RunState {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return outcome.Unknown
	}
	return outcome.Ran
}
