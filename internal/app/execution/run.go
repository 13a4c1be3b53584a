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
	// retryFirstWait and retryMaxWait bound the backoff between tries.
	retryFirstWait = 25 * time.Millisecond
	retryMaxWait   = time.Second
)

// run is one call on its way, try after try. It is used by one goroutine.
type run struct {
	manager *Manager
	backend ports.Backend
	call    *ports.Call
	sink    ports.AnswerSink
	life    *trace

	// end joins the ends of all tries.
	end   outcome.End
	tries int
	sent  int
	wait  *backoff.ExponentialBackOff
}

// toEnd tries the call until it has its answer or no try can follow.
func (r *run) toEnd(ctx context.Context) outcome.Result {
	r.manager.budgets.first(r.call.Service, time.Now())
	for {
		last, refusal := r.try(ctx)
		if refusal != nil {
			return r.refuse(refusal)
		}
		if last.Reason == "" {
			return outcome.Result{End: last.End}
		}
		if !r.again(ctx, last) {
			return r.giveUp(last)
		}
	}
}

// giveUp ends the call with the server's own answer of failure, if it has one
// that the caller can still get, and else with a refusal.
func (r *run) giveUp(last ports.RunResult) outcome.Result {
	if last.Failure == nil || r.sink.Begun() {
		return r.refuse(r.refusalOf(last))
	}
	if r.sink.Begin(last.Failure.Status, last.Failure.Header) != nil || r.sink.Write(last.Failure.Body) != nil {
		return r.refuse(&outcome.Refusal{
			Reason: outcome.ReasonCallerGone, End: last.End, Detail: "the caller hung up",
		})
	}
	return outcome.Result{End: retry.Merge(r.end, last.End)}
}

// try takes a slot and runs the call once. It returns a refusal when there was
// no slot.
func (r *run) try(ctx context.Context) (ports.RunResult, *outcome.Refusal) {
	slot, err := r.manager.broker.Acquire(ctx, r.call)
	if err != nil {
		return ports.RunResult{}, asRefusal(err)
	}
	r.tries++
	server := slot.Server()
	r.life.add(time.Now(), "slot", slotDetail(server, slot.GrantDetails()))
	r.manager.tell.placed(r.call, server, slot.GrantDetails())
	if ctx.Err() != nil || r.sink.CallerGone() {
		slot.Release(ports.RunReport{})
		return ports.RunResult{}, gaveUp(ctx)
	}
	runCtx, cancel := r.runContext(ctx)
	defer cancel()
	attempt := r.attempt()
	attempt.CacheHolder = slot.GrantDetails().CacheHolder
	result := r.backend.Run(runCtx, attempt, server, r.sink, slot.Progress)
	slot.Release(result.Report)
	r.note(server, result)
	return result, nil
}

func slotDetail(server ports.VM, origin ports.GrantDetails) string {
	return fmt.Sprintf("server=%s granter=%s waited=%s ahead=%d contenders=%d",
		server.Name, origin.Granter, origin.Waited, origin.CallsAhead, origin.ContendingWorkspaces)
}

// runContext returns the context of a run. A keyed call of a plain service goes
// on when its caller hangs up: its record gets the answer, for the retry.
func (r *run) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.call.IdempotencyKey == "" || r.call.Kind != configuration.ServiceKindPlain {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
}

// attempt returns the call as it is sent: a retry has a request id of its own,
// so that no answer to an earlier try is taken for its answer, unless the
// caller's id is fixed.
func (r *run) attempt() *ports.Call {
	if r.sent == 0 || r.call.KeepRequestID {
		return r.call
	}
	copied := *r.call
	copied.ID = ports.RequestID(string(r.call.ID) + "." + strconv.Itoa(r.sent+1))
	return &copied
}

func (r *run) note(server ports.VM, result ports.RunResult) {
	r.end = retry.Merge(r.end, result.End)
	r.manager.tell.ran(r.call, server, result)
	if handed(result) {
		r.sent++
	}
	r.call.LastEventID = max(r.call.LastEventID, result.LastEventID)
	if result.Reason != "" {
		r.call.FailedServers = append(r.call.FailedServers, server.Name)
	}
	r.life.add(time.Now(), "run", fmt.Sprintf("server=%s run=%s reason=%s cost=%d first-byte-after=%s",
		server.Name, result.End, result.Reason, result.Report.Cost, result.Report.FirstByteAfter))
}

// handed says whether a byte of the request may have left: a server that says
// itself that nothing ran has had the request.
func handed(result ports.RunResult) bool {
	if result.End != outcome.NotRun {
		return true
	}
	return result.Reason == outcome.ReasonServerOverloaded || result.Reason == outcome.ReasonServerLeaving
}

// again decides whether another try follows, and waits for its time.
func (r *run) again(ctx context.Context, last ports.RunResult) bool {
	now := time.Now()
	verdict := retry.Decide(retry.Try{
		End: last.End, Reason: last.Reason, Handed: handed(last), Begun: r.sink.Begun(),
		Repeatable: r.call.Repeatable, Resumable: r.call.Resumable, MaxSent: r.call.MaxServers,
		Tries: r.tries, Sent: r.sent, Left: r.call.Deadline.Sub(now),
	})
	if verdict == retry.Stop {
		return false
	}
	if verdict == retry.Again && !r.manager.budgets.spend(r.call.Service, now) {
		r.manager.tell.overBudget(r.call, last)
		return false
	}
	wait := r.nextWait()
	if wait >= r.call.Deadline.Sub(now) {
		return false
	}
	r.manager.tell.retried(r.call, last, wait)
	r.life.add(now, "retry", fmt.Sprintf("reason=%s wait=%s", last.Reason, wait))
	return pause.For(ctx, wait)
}

func (r *run) nextWait() time.Duration {
	if r.wait == nil {
		r.wait = backoff.NewExponentialBackOff()
		r.wait.InitialInterval = retryFirstWait
		r.wait.MaxInterval = retryMaxWait
		r.wait.Reset()
	}
	return r.wait.NextBackOff()
}

// refuse ends the call with a refusal that owns up to every try.
func (r *run) refuse(refusal *outcome.Refusal) outcome.Result {
	refusal.End = retry.Merge(r.end, refusal.End)
	return refused(refusal)
}

func (r *run) refusalOf(last ports.RunResult) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Reason: last.Reason, End: last.End, Detail: last.Detail, RetryAfter: last.RetryAfter,
	}
	if refusal.RetryAfter == 0 && (r.call.Repeatable || last.End == outcome.NotRun) {
		refusal.RetryAfter = comeBackAfter
	}
	return refusal
}

// gaveUp is the refusal of a call whose time or caller went away before it was
// sent.
func gaveUp(ctx context.Context) *outcome.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &outcome.Refusal{
			Reason: outcome.ReasonDeadlineExceeded, End: outcome.NotRun,
			Detail: "the deadline passed before the call was sent", RetryAfter: comeBackAfter,
		}
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonCallerGone, End: outcome.NotRun, Detail: "the caller hung up before the call was sent",
	}
}
