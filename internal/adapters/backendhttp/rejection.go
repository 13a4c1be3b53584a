package backendhttp

import (
	"context"
	"errors"
	"net"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/core/outcome"
)

// reject counts an answer that doesn't follow the protocol, and returns its failure.
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
	// An exchange that was closed here fails like one whose answer can't be parsed.
	closedHere := errors.Is(e.Cause, net.ErrClosed)
	if !closedHere && exchangeFailureResult(ctx, e).Reason == outcome.ReasonAnswerMalformed {
		return httpanswer.ReasonMalformed
	}
	return ""
}

// detail returns the detail of the result of a run whose answer is malformed or broke off.
func (e *ExchangeError) detail() string {
	var invalid *httpanswer.InvalidError
	switch {
	case errors.As(e.Cause, &invalid):
		return "what the backend server sent is no answer: " + invalid.Error()
	case e.Malformed:
		return "what the backend server sent is no answer"
	default:
		return "the connection to the backend server broke"
	}
}
