package idempotency

import (
	"context"
	"time"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/ports"
)

// beginning is the wait of one call for the verdict on its attempt. It is used
// by one goroutine.
type beginning struct {
	keys    *Keys
	call    *ports.Call
	began   *Began
	replies chan *ports.IdempotencyReplyMessage
	request idempotency.Digest
}

// toVerdict sends the begin until there is a verdict that stands or the time is
// over. While another attempt runs it asks again.
func (b *beginning) toVerdict(ctx context.Context) {
	deadline := b.call.Deadline.Add(-replyMargin)
	joinUntil := earlier(time.Now().Add(joinWithin), deadline)
	asked := time.Now()
	unanswered := earlier(asked.Add(beginWithin), deadline)
	for pause := beginResend; time.Now().Before(unanswered); pause = min(2*pause, beginMaxResend) {
		b.send(asked, unanswered)
		reply := b.await(ctx, earlier(time.Now().Add(pause), unanswered))
		if ctx.Err() != nil {
			return
		}
		if reply == nil {
			continue
		}
		b.take(reply)
		if b.began.Verdict != idempotency.InProgress {
			return
		}
		again := earlier(time.Now().Add(pause), joinUntil)
		if !sleepUntil(ctx, again) || !time.Now().Before(joinUntil) {
			return
		}
		asked = time.Now()
		unanswered = earlier(asked.Add(beginWithin), deadline)
	}
}

func (b *beginning) send(asked, waitUntil time.Time) {
	now := time.Now()
	b.keys.sendToOwner(b.began.Key, &ports.IdempotencyBeginMessage{
		Key: b.began.Key, Attempt: string(b.began.Attempt), RequestDigest: b.request,
		DeadlineMillis: b.call.Deadline.Sub(now).Milliseconds(),
		WaitMillis:     waitUntil.Sub(now).Milliseconds(),
	}, now.Sub(asked))
}

// await returns the next reply, or nil when none comes in time.
func (b *beginning) await(ctx context.Context, until time.Time) *ports.IdempotencyReplyMessage {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case reply := <-b.replies:
		return reply
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return nil
	}
}

func (b *beginning) take(reply *ports.IdempotencyReplyMessage) {
	b.began.Verdict = idempotency.Verdict(reply.Verdict)
	b.began.End = endOf(reply)
	b.began.Reason = reply.Reason
	b.began.Answer = answerOf(reply.Answer)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sleepUntil reports false when the context ends first.
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
