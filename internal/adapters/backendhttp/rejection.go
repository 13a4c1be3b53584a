package backendhttp

import (
	"context"
	"errors"
	"net"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/adapters/tcpstate"
	"hawthornstream/internal/core/outcome"
)

// reject counts an answer that breaks off without showing it, or that doesn't follow the protocol,
// and returns its failure.
func (c *Client) reject(ctx context.Context, failure *ExchangeError) *ExchangeError {
	if reason := failure.rejectReason(ctx); reason != "" {
		c.rejected.Inc(reason)
	}
	return failure
}

// rejectReason returns the label by which the answer is counted as rejected, "" if it isn't.
func (e *ExchangeError) rejectReason(ctx context.Context) string {
	if reason := httpanswer.RejectReason(e.Cause); reason != "" {
		return reason
	}
	if e.isCutOff() {
		return httpanswer.ReasonCutOff
	}
	// An exchange that was closed here fails like one whose answer can't be parsed.
	closedHere := errors.Is(e.Cause, net.ErrClosed)
	if !closedHere && exchangeFailureResult(ctx, e).Reason == outcome.ReasonAnswerMalformed {
		return httpanswer.ReasonMalformed
	}
	return ""
}

// isCutOff reports whether the connection ended as if in order, though the server is known to have
// reset it or not to have taken the whole request.
func (e *ExchangeError) isCutOff() bool {
	var writeFailed *tcpstate.WriteFailedError
	var unfinished *requestUnfinishedError
	var reset *connectionResetError
	return errors.As(e.Cause, &writeFailed) || errors.As(e.Cause, &unfinished) || errors.As(e.Cause, &reset)
}

// detail returns the detail of the result of a run whose answer is malformed or broke off.
func (e *ExchangeError) detail() string {
	var invalid *httpanswer.InvalidError
	switch {
	case errors.As(e.Cause, &invalid):
		return "what the backend server sent is no answer: " + invalid.Error()
	case e.Malformed:
		return "what the backend server sent is no answer"
	case e.isCutOff():
		return "the connection to the backend server was reset, or ended before it had taken the whole request"
	default:
		return "the connection to the backend server broke"
	}
}
