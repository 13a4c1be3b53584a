package backendhttp

import (
	"context"
	"errors"
	"net/http"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Failed returns the end of a run whose exchange failed with err. ctx is the
// call's.
func Failed(ctx context.Context, err error) ports.RunResult {
	var exchange *ExchangeError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return ports.RunResult{End: outcome.Ran, Reason: outcome.ReasonAnswerTooLarge, Detail: err.Error()}
	case errors.As(err, &exchange):
		return exchangeFailed(ctx, exchange)
	default:
		return connectFailed(ctx, err)
	}
}

func exchangeFailed(ctx context.Context, err *ExchangeError) ports.RunResult {
	result := ports.RunResult{End: outcome.Unknown, Detail: "the connection to the backend server broke"}
	if !err.Handed {
		result.End = outcome.NotRun
	}
	switch {
	case ctx.Err() != nil:
		result.Reason, result.Detail = GaveUp(ctx)
	case err.Silent:
		result.Reason = outcome.ReasonConnectionSilent
		result.Report.Fault = ports.ServerFaultSilent
		result.Detail = "the connection to the backend server made no progress"
	default:
		result.Reason = outcome.ReasonConnectionBroken
		result.Report.Fault = ports.ServerFaultBroken
	}
	return result
}

func connectFailed(ctx context.Context, err error) ports.RunResult {
	if ctx.Err() != nil {
		reason, detail := GaveUp(ctx)
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

// GaveUp tells an elapsed deadline from a caller that hung up.
func GaveUp(ctx context.Context) (outcome.Reason, string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadlineExceeded, "the deadline passed during the run"
	}
	return outcome.ReasonCallerGone, "the caller hung up during the run"
}

// Mismatched returns the end of a run whose answer named another request.
func Mismatched() ports.RunResult {
	return ports.RunResult{
		End:    outcome.Unknown,
		Reason: outcome.ReasonAnswerMismatch,
		Detail: "the answer named another request",
		Report: ports.RunReport{Fault: ports.ServerFaultBroken},
	}
}

// Truncated returns the end of a run whose answer can't be known to be whole.
func Truncated(end outcome.RunState) ports.RunResult {
	return ports.RunResult{
		End:    end,
		Reason: outcome.ReasonAnswerTruncated,
		Detail: "the answer ended before it was whole",
		Report: ports.RunReport{Fault: ports.ServerFaultBroken},
	}
}

// Gone returns the end of a run whose answer the caller no longer takes.
func Gone() ports.RunResult {
	return ports.RunResult{
		End:    outcome.Ran,
		Reason: outcome.ReasonCallerGone,
		Detail: "the caller hung up during the answer",
	}
}

// Declined returns the end of a run that the server's answer says did not
// happen, and false when the answer says nothing of the kind.
func Declined(response *http.Response) (ports.RunResult, bool) {
	if !overloadStatus(response.StatusCode) || response.Header.Get(HeaderRunState) != runStateNotRun {
		return ports.RunResult{}, false
	}
	result := ports.RunResult{
		End:        outcome.NotRun,
		Reason:     outcome.ReasonServerOverloaded,
		Detail:     "the backend server is full",
		RetryAfter: retryAfter(response.Header),
		Report:     ports.RunReport{Fault: ports.ServerFaultOverloaded},
	}
	if response.Header.Get(HeaderLeaving) == "true" {
		result.Reason = outcome.ReasonServerLeaving
		result.Detail = "the backend server is leaving"
		result.Report.Fault = ports.ServerFaultLeaving
	}
	return result, true
}

func overloadStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// EndOf returns what a whole answer's status says of the run: an error of the
// server leaves open what it carried out.
func EndOf(status int) outcome.RunState {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return outcome.Unknown
	}
	return outcome.Ran
}
