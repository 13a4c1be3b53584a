package execution

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// The backoff between tries grows exponentially, with jitter, between these bounds.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
)

// retryLoop runs one call, try after try. It is not safe for concurrent use.
type retryLoop struct {
	executor *Executor
	backend  ports.Backend
	call     *ports.Call
	sink     ports.AnswerSink
	trace    *callTrace

	// end is the merged run state of all tries so far.
	end   outcome.RunState
	tries int
	// sentTries counts the tries in which the request may have left this daemon.
	sentTries int
	// nextSlot is the slot of the next try if the last one was abandoned for it.
	nextSlot ports.Slot
	backoff  *backoff.ExponentialBackOff
}

// run tries the call until it has an answer or must not be retried.
func (r *retryLoop) run(ctx context.Context) outcome.Result {
	r.executor.budgets.recordFirstTry(r.call.Service, time.Now())
	for {
		last, refusal := r.tryOnce(ctx)
		if refusal != nil {
			return r.refuse(refusal)
		}
		if last.Reason == "" {
			return outcome.Result{End: last.End}
		}
		if r.nextSlot != nil {
			r.executor.reporter.callRetried(r.call, last, 0)
			continue
		}
		if !r.waitForRetry(ctx, last) {
			return r.giveUp(last)
		}
	}
}

// giveUp ends the call with the backend server's own error answer if there is one and
// the caller has received nothing yet, else with a refusal.
func (r *retryLoop) giveUp(last ports.RunResult) outcome.Result {
	if last.Failure == nil || r.sink.Begun() {
		return r.refuse(r.refusalFor(last))
	}
	if r.sink.Begin(last.Failure.Status, last.Failure.Header) != nil || r.sink.Write(last.Failure.Body) != nil {
		return r.refuse(&outcome.Refusal{
			Reason: outcome.ReasonCallerGone, End: last.End, Detail: "the caller hung up",
		})
	}
	return outcome.Result{End: retry.MergeRunStates(r.end, last.End)}
}

// tryOnce acquires a slot and runs the call once. It returns a refusal if the call was
// not sent, because there was no slot or its caller or deadline was gone.
func (r *retryLoop) tryOnce(ctx context.Context) (ports.RunResult, *outcome.Refusal) {
	slot, err := r.acquire(ctx)
	if err != nil {
		return ports.RunResult{}, refusalFromError(err)
	}
	r.tries++
	server := slot.Server()
	r.trace.addEvent(time.Now(), "slot", slotDetail(server, slot.GrantDetails()))
	r.executor.reporter.callPlaced(r.call, server, slot.GrantDetails())
	if ctx.Err() != nil || r.sink.CallerGone() {
		slot.Release(ports.RunReport{})
		return ports.RunResult{}, notSentRefusal(ctx)
	}
	runCtx, cancel := r.runContext(ctx)
	defer cancel()
	call := r.callForTry()
	call.CacheHolder = slot.GrantDetails().CacheHolder
	silent := r.newSilentTry(server)
	call.MayAbandonSilent = silent.mayAbandon
	result := r.backend.Run(runCtx, call, server, r.sink, slot.Progress)
	result.Report.Reason = result.Reason
	slot.Release(result.Report)
	r.recordTry(server, result)
	r.keepNextSlot(silent.end(), result)
	return result, nil
}

// acquire returns the slot that the last try was abandoned for, or a new one.
func (r *retryLoop) acquire(ctx context.Context) (ports.Slot, error) {
	if slot := r.nextSlot; slot != nil {
		r.nextSlot = nil
		return slot, nil
	}
	return r.executor.broker.Acquire(ctx, r.call)
}

// keepNextSlot keeps the slot of the next try if the run was abandoned for it, and else
// releases it: the run may have ended otherwise just before.
func (r *retryLoop) keepNextSlot(slot ports.Slot, result ports.RunResult) {
	if slot == nil {
		return
	}
	if result.Reason != outcome.ReasonConnectionSilent {
		r.executor.releaseUnused(r.call.Service, slot)
		return
	}
	r.nextSlot = slot
}

func slotDetail(server ports.VM, details ports.GrantDetails) string {
	return fmt.Sprintf("server=%s granter=%s waited=%s ahead=%d contenders=%d",
		server.Name, details.Granter, details.Waited, details.CallsAhead, details.ContendingWorkspaces)
}

// runContext returns the context of a run. A run for a plain service with an
// idempotency key goes on when the caller hangs up, so that its answer is recorded
// for the caller's next attempt.
func (r *retryLoop) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.call.IdempotencyKey == "" || r.call.Kind != configuration.ServiceKindPlain {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
}

// callForTry returns the call as it is sent. Unless KeepRequestID is set, a retry has
// a request ID of its own, so that a late answer to an earlier try is not taken for
// its answer.
func (r *retryLoop) callForTry() *ports.Call {
	if r.sentTries == 0 || r.call.KeepRequestID {
		return r.call
	}
	copied := *r.call
	copied.ID = ports.RequestID(string(r.call.ID) + "." + strconv.Itoa(r.sentTries+1))
	return &copied
}

// recordTry adds the result of a try to the state of the call, its trace, the log and
// the metrics.
func (r *retryLoop) recordTry(server ports.VM, result ports.RunResult) {
	r.end = retry.MergeRunStates(r.end, result.End)
	r.executor.reporter.callRan(r.call, server, result)
	if maybeSent(result) {
		r.sentTries++
	}
	r.call.LastEventID = max(r.call.LastEventID, result.LastEventID)
	if r.call.IsResumption() || r.sink.Begun() {
		// The broker gave a resumption a server of the version that began its stream.
		r.call.SoftwareVersion = server.SoftwareVersion
	}
	if result.Reason != "" {
		r.call.FailedServers = append(r.call.FailedServers, server.Name)
	}
	r.trace.addEvent(time.Now(), "run", fmt.Sprintf("server=%s run=%s reason=%s cost=%d first-byte-after=%s",
		server.Name, result.End, result.Reason, result.Report.Cost, result.Report.FirstByteAfter))
}

// maybeSent reports whether a byte of the request may have left this daemon. A backend
// server that declines a call has received it, although nothing ran.
func maybeSent(result ports.RunResult) bool {
	if result.End != outcome.NotRun {
		return true
	}
	return result.Reason == outcome.ReasonServerOverloaded || result.Reason == outcome.ReasonServerLeaving
}

// waitForRetry decides whether another try follows. If so, it waits for the backoff and
// returns true, or false when ctx is done first.
func (r *retryLoop) waitForRetry(ctx context.Context, last ports.RunResult) bool {
	now := time.Now()
	try := r.failedTry(last, r.sink.Begun())
	try.TimeLeft = r.call.Deadline.Sub(now)
	decision := retry.Decide(try)
	if decision == retry.GiveUp {
		r.executor.reporter.callGivenUp(r.call, last, giveUpNotAllowed)
		return false
	}
	if decision == retry.Budgeted && !r.executor.budgets.allowRetry(r.call.Service, now) {
		r.executor.reporter.callGivenUp(r.call, last, giveUpBudget)
		return false
	}
	wait := r.nextBackoff()
	if wait >= r.call.Deadline.Sub(now) {
		r.executor.reporter.callGivenUp(r.call, last, giveUpDeadline)
		return false
	}
	r.executor.reporter.callRetried(r.call, last, wait)
	r.trace.addEvent(now, "retry", fmt.Sprintf("reason=%s wait=%s", last.Reason, wait))
	return pause.For(ctx, wait)
}

// failedTry describes the last try for the retry decision, except for TimeLeft.
func (r *retryLoop) failedTry(last ports.RunResult, begun bool) retry.FailedTry {
	return retry.FailedTry{
		End: last.End, Reason: last.Reason, MaybeSent: maybeSent(last), AnswerBegun: begun,
		Repeatable: r.call.Repeatable, Resumable: r.call.Resumable, MaxSends: r.call.MaxServers,
		Tries: r.tries, SentTries: r.sentTries,
	}
}

func (r *retryLoop) nextBackoff() time.Duration {
	if r.backoff == nil {
		r.backoff = backoff.NewExponentialBackOff()
		r.backoff.InitialInterval = initialBackoff
		r.backoff.MaxInterval = maxBackoff
		r.backoff.Reset()
	}
	return r.backoff.NextBackOff()
}

// refuse ends the call with a refusal whose run state covers all tries.
func (r *retryLoop) refuse(refusal *outcome.Refusal) outcome.Result {
	refusal.End = retry.MergeRunStates(r.end, refusal.End)
	return refusedResult(refusal)
}

// refusalFor returns the refusal for a failed try. It has a RetryAfter only where the
// caller can safely retry, or where the server gave one.
func (r *retryLoop) refusalFor(last ports.RunResult) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Reason: last.Reason, End: last.End, Detail: last.Detail, RetryAfter: last.RetryAfter,
	}
	if refusal.RetryAfter == 0 && (r.call.Repeatable || last.End == outcome.NotRun) {
		refusal.RetryAfter = defaultRetryAfter
	}
	return refusal
}

// notSentRefusal returns the refusal of a call whose deadline passed or whose caller
// hung up before it was sent.
func notSentRefusal(ctx context.Context) *outcome.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &outcome.Refusal{
			Reason: outcome.ReasonDeadlineExceeded, End: outcome.NotRun,
			Detail: "the deadline passed before the call was sent", RetryAfter: defaultRetryAfter,
		}
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonCallerGone, End: outcome.NotRun, Detail: "the caller hung up before the call was sent",
	}
}
