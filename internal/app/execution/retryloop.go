package execution

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

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

// retryLoop runs one call, try after try. While the run of a try is silent, another try may
// run beside it.
type retryLoop struct {
	executor *Executor
	backend  ports.Backend
	sink     ports.AnswerSink
	trace    *callTrace
	backoff  *backoff.ExponentialBackOff
	// runCtx is the context of the runs.
	runCtx context.Context

	// mu guards the fields below while a try is in progress.
	mu sync.Mutex
	// call is the caller's call with what its tries have shown.
	call *ports.Call
	// begun is true once the caller may have received a byte.
	begun bool
	// end is the merged run state of all tries that have ended.
	end   outcome.RunState
	tries int
	// sentTries counts the tries in which the request may have left this daemon.
	sentTries int
	// relaying is the try whose answer is relayed; nil between tries. replacement is a
	// try beside it that takes its place once its server accepts the call; nil for none.
	relaying, replacement *try
}

// run tries the call until it has an answer or must not be retried.
func (r *retryLoop) run(ctx context.Context) outcome.Result {
	r.executor.budgets.recordFirstTry(r.call.Service, time.Now())
	var cancel context.CancelFunc
	r.runCtx, cancel = r.runContext(ctx)
	defer cancel()
	for {
		refusal := r.beginTry(ctx)
		if refusal != nil {
			return r.refuse(refusal)
		}
		last := r.endTry(ctx, r.relaying.run())
		for last.Reason != "" && r.relaying != nil {
			// A replacement has taken the place of the try.
			r.executor.reporter.callRetried(r.call, last, 0)
			last = r.endTry(ctx, <-r.relaying.result)
		}
		if last.Reason == "" {
			return outcome.Result{End: last.End}
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

// beginTry acquires a slot and makes its try the one that is relayed. It returns a refusal
// if the call can't be sent, because there was no slot or its caller or deadline is gone.
func (r *retryLoop) beginTry(ctx context.Context) *outcome.Refusal {
	call := *r.call
	call.SendGate.Wait()
	slot, err := r.executor.broker.Acquire(ctx, &call)
	if err != nil {
		return refusalFromError(err)
	}
	isSendable := call.SendGate.Send(time.Now())
	if !isSendable || ctx.Err() != nil || r.sink.CallerGone() {
		slot.Release(ports.RunReport{})
		if !isSendable {
			<-ctx.Done()
		}
		return notSentRefusal(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relaying = r.newTryLocked(slot)
	r.relaying.ctx, r.relaying.cancel = context.WithCancelCause(r.runCtx)
	r.reportPlaced(r.relaying)
	return nil
}

// reportPlaced reports the slot of a try that is about to be sent.
func (r *retryLoop) reportPlaced(t *try) {
	server, details := t.slot.Server(), t.slot.GrantDetails()
	r.trace.addEvent(time.Now(), "slot", slotDetail(server, details))
	r.executor.reporter.callPlaced(t.call, server, details)
}

// endTry records the result of the try that was relayed. If the try failed, its replacement
// takes its place, and is dropped otherwise.
func (r *retryLoop) endTry(ctx context.Context, result ports.RunResult) ports.RunResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordTryLocked(r.relaying, result)
	r.relaying = nil
	if r.replacement == nil {
		return result
	}
	if result.Reason == "" || ctx.Err() != nil {
		r.dropReplacementLocked(replacementUnneeded)
		return result
	}
	r.relaying, r.replacement = r.replacement, nil
	close(r.relaying.admitted)
	r.executor.reporter.replacementEnded(r.call, replacementAdmitted)
	return result
}

func slotDetail(server ports.VM, details ports.GrantDetails) string {
	return fmt.Sprintf("server=%s granter=%s waited=%s ahead=%d contenders=%d",
		server.Name, details.Granter, details.Waited, details.CallsAhead, details.ContendingWorkspaces)
}

// runContext returns the context of a run. It ends with the caller's request, or, if the run
// outlives the caller, when the call is refused.
func (r *retryLoop) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !r.call.OutlivesCaller() {
		return ctx, func() {}
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
	stop := context.AfterFunc(ctx, func() {
		if refusalOf(ctx) != nil {
			cancel()
		}
	})
	return runCtx, func() {
		stop()
		cancel()
	}
}

// callForTry returns the call as it is sent. Unless KeepRequestID is set, a retry has
// a request ID of its own, so that a late answer to an earlier try is not taken for
// its answer.
func (r *retryLoop) callForTry() *ports.Call {
	copied := *r.call
	if r.sentTries > 0 && !r.call.KeepRequestID {
		copied.ID = ports.RequestID(string(r.call.ID) + "." + strconv.Itoa(r.sentTries+1))
	}
	return &copied
}

// recordTryLocked adds the result of a try to the state of the call, its trace, the log and
// the metrics. The caller holds the mutex.
func (r *retryLoop) recordTryLocked(t *try, result ports.RunResult) {
	server := t.slot.Server()
	r.end = retry.MergeRunStates(r.end, result.End)
	r.executor.reporter.callRan(r.call, server, result)
	if !maybeSent(result) {
		r.sentTries--
	}
	r.call.LastEventID = max(r.call.LastEventID, result.LastEventID)
	if r.call.IsResumption() || r.begun {
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
