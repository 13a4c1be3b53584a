package idempotency

import (
	"context"
	"time"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/ports"
)

// beginWait is the wait of one call for the verdict on its attempt. It is used
// by one goroutine.
type beginWait struct {
	manager       *AttemptManager
	call          *ports.Call
	begin         *BeginResult
	replies       chan *ports.IdempotencyReplyMessage
	requestDigest idempotency.Digest
}

// waitForVerdict sends the begin until there is a final verdict or the maximum wait
// is over. While another attempt of the key is running, it sends the begin again.
func (w *beginWait) waitForVerdict(ctx context.Context) {
	deadline := w.call.Deadline.Add(-callerReplyMargin)
	runningWaitDeadline := earlierOf(time.Now().Add(runningAttemptMaxWait), deadline)
	unansweredSince := time.Now()
	replyDeadline := earlierOf(unansweredSince.Add(beginReplyTimeout), deadline)
	for interval := beginResendInterval; time.Now().Before(replyDeadline); interval = min(2*interval, beginMaxResendInterval) {
		w.sendBegin(unansweredSince, replyDeadline)
		reply := w.awaitReply(ctx, earlierOf(time.Now().Add(interval), replyDeadline))
		if ctx.Err() != nil {
			return
		}
		if reply == nil {
			continue
		}
		w.applyReply(reply)
		if w.begin.Verdict != idempotency.InProgress {
			return
		}
		nextSend := earlierOf(time.Now().Add(interval), runningWaitDeadline)
		if !sleepUntil(ctx, nextSend) || !time.Now().Before(runningWaitDeadline) {
			return
		}
		unansweredSince = time.Now()
		replyDeadline = earlierOf(unansweredSince.Add(beginReplyTimeout), deadline)
	}
}

// sendBegin sends the begin to the owner of the key's range. No owner has replied
// since unansweredSince.
func (w *beginWait) sendBegin(unansweredSince, replyDeadline time.Time) {
	now := time.Now()
	w.manager.sendToOwner(w.begin.Key, &ports.IdempotencyBeginMessage{
		Key: w.begin.Key, Attempt: string(w.begin.Attempt), RequestDigest: w.requestDigest,
		DeadlineMillis: w.call.Deadline.Sub(now).Milliseconds(),
		WaitMillis:     replyDeadline.Sub(now).Milliseconds(),
	}, now.Sub(unansweredSince))
}

// awaitReply returns the next reply, or nil if none arrives before until or the
// context ends.
func (w *beginWait) awaitReply(ctx context.Context, until time.Time) *ports.IdempotencyReplyMessage {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case reply := <-w.replies:
		return reply
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return nil
	}
}

func (w *beginWait) applyReply(reply *ports.IdempotencyReplyMessage) {
	w.begin.Verdict = idempotency.Verdict(reply.Verdict)
	w.begin.End = earlierEnd(reply)
	w.begin.Reason = reply.Reason
	w.begin.Answer = answerFromMessage(reply.Answer)
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sleepUntil returns false if the context ends first.
func sleepUntil(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
