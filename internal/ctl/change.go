package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

// retryInterval is the time between two rounds over all servers while the outcome
// of a change is unknown.
const retryInterval = 500 * time.Millisecond

// unknownOutcomeError reports that it is not known whether a change was accepted.
type unknownOutcomeError struct {
	ApplyID string
	Cause   error
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("not known whether the change was accepted (apply ID %s): %v", e.ApplyID, e.Cause)
}

// Unwrap returns the cause.
func (e *unknownOutcomeError) Unwrap() error {
	return e.Cause
}

// change sends a request that changes the configuration. While it is not known
// whether the change was accepted, it repeats the request with the same apply ID,
// by which the servers recognize a change that was already accepted.
func (c *client) change(ctx context.Context, r request) (configuration.RevisionSummary, error) {
	applyID := rand.Text()
	r = r.withHeader(ports.HeaderApplyID, applyID)
	outcomeUnknown := false
	for {
		summary, unknown, err := c.tryChange(ctx, r, outcomeUnknown)
		outcomeUnknown = outcomeUnknown || unknown
		if err == nil || !shouldTryNextServer(err) {
			return summary, resolveOutcome(applyID, outcomeUnknown, err)
		}
		if !outcomeUnknown || !pause.For(ctx, retryInterval) {
			return summary, resolveOutcome(applyID, outcomeUnknown, err)
		}
	}
}

// tryChange sends the change to the servers in turn until one gives a definite
// answer. The second result reports whether a server, in this or an earlier
// round, may have accepted the change without answering so.
func (c *client) tryChange(ctx context.Context, r request, outcomeUnknown bool) (configuration.RevisionSummary, bool, error) {
	var summary configuration.RevisionSummary
	var lastErr error
	for _, server := range c.servers {
		lastErr = c.send(ctx, server, r, &summary)
		if lastErr == nil || !shouldTryNextServer(lastErr) {
			return summary, outcomeUnknown, lastErr
		}
		outcomeUnknown = outcomeUnknown || isOutcomeUnknown(lastErr)
	}
	return summary, outcomeUnknown, lastErr
}

// isOutcomeUnknown reports whether the change may have been accepted although the
// request failed.
func isOutcomeUnknown(err error) bool {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return unreachable.MayHaveBeenSent
	}
	var problem *problemError
	if errors.As(err, &problem) {
		return problem.Problem.Reason == ports.OperatorReasonUnknownOutcome
	}
	return true
}

// resolveOutcome turns the last error into the outcome of the change. A conflict
// after an attempt of unknown outcome shows that the attempt was not accepted,
// provided that the revision chain reaches back to the one after the base.
func resolveOutcome(applyID string, outcomeUnknown bool, err error) error {
	if err == nil || !outcomeUnknown {
		return err
	}
	var problem *problemError
	if errors.As(err, &problem) && problem.Problem.Conflict != nil {
		conflict := problem.Problem.Conflict
		if conflict.Oldest <= conflict.Base+1 {
			return err
		}
	}
	return &unknownOutcomeError{ApplyID: applyID, Cause: err}
}
