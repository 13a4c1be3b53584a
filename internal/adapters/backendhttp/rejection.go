package backendhttp

import (
	"context"
	"errors"
	"net"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/adapters/tcpstate"
	"hawthornstream/internal/core/outcome"
)

// rejectHead counts an answer whose head doesn't follow the protocol, and returns its failure. A
// connection that breaks before the head is whole has brought no answer.
func (c *Client) rejectHead(ctx context.Context, failure *ExchangeError) *ExchangeError {
	if reason := failure.rejectReason(ctx); reason != "" && reason != httpanswer.ReasonCutOff {
		c.rejected.Inc(reason)
	}
	return failure
}

// rejectBody returns the failure of an answer whose body can't be read. It counts one that doesn't
// follow the protocol, or breaks off without showing it.
func (e *Exchange) rejectBody(cause error, malformed bool) *ExchangeError {
	failure := &ExchangeError{
		Address: e.conn.address, MaybeSent: true, Silent: e.conn.tracked.closedAsSilent.Load(),
		Malformed: malformed, Cause: cause,
	}
	if reason := failure.rejectReason(e.ctx); reason != "" {
		e.client.rejected.Inc(reason)
	}
	return failure
}

// rejectReason returns the label by which the answer is counted as rejected, "" if it isn't. ctx is
// the context of the call.
func (e *ExchangeError) rejectReason(ctx context.Context) string {
	if e.isCutOff() {
		return httpanswer.ReasonCutOff
	}
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
