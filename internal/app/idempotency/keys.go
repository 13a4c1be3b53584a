package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	// beginWithin is how long a call waits for its record.
	beginWithin = 3 * time.Second
	// beginResend and beginMaxResend bound the time between two sendings of a
	// begin.
	beginResend    = 200 * time.Millisecond
	beginMaxResend = time.Second
	// ownAfter is how long an owner may leave a begin or an end unanswered
	// before the entry takes the owner's part itself: the conditional update
	// decides between two owners.
	ownAfter = time.Second
	// joinWithin is how long a call waits for the end of another attempt of
	// its key.
	joinWithin = 15 * time.Second
	// replyMargin is left of the deadline to answer the caller.
	replyMargin = 20 * time.Millisecond
	// finishResend is the time between two sendings of an end.
	finishResend = 500 * time.Millisecond
	// finishWithin is how long an end is sent.
	finishWithin = 15 * time.Minute
	// stopWithin is how long a stop waits for the confirmation of ends.
	stopWithin = 5 * time.Second
	nonceBytes = 8
)

// Began is what became of the attempt to begin.
type Began struct {
	Attempt idempotency.AttemptID
	Key     idempotency.Digest
	// Verdict is zero when no owner could keep the record.
	Verdict idempotency.Verdict
	// End, Reason and Answer are those of an earlier attempt that ended.
	End    outcome.End
	Reason outcome.Reason
	Answer *idempotency.Answer
}

// Keys begins and finishes the attempts of this daemon's calls.
type Keys struct {
	log       *log.Logger
	scope     tally.Scope
	directory ports.Directory
	transport ports.PeerTransport
	nonce     string
	counter   atomic.Uint64

	stop  chan struct{}
	tasks sync.WaitGroup

	mu      sync.Mutex
	waiting map[idempotency.AttemptID]chan *ports.IdempotencyReplyMessage
	// active are the granted attempts that have not ended.
	active map[idempotency.AttemptID]struct{}
	ending map[idempotency.AttemptID]*ending
	// ended wakes a stop when the last end was confirmed.
	ended chan struct{}
}

// ending is an end that its owner has not confirmed.
type ending struct {
	message *ports.IdempotencyFinishMessage
	since   time.Time
	sent    time.Time
}

// NewKeys returns the side of the entry and registers its handler.
func NewKeys(
	logger *log.Logger, scope tally.Scope, directory ports.Directory, transport ports.PeerTransport,
) *Keys {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	k := &Keys{
		log: logger, scope: scope.SubScope("idempotency"), directory: directory, transport: transport,
		nonce: hex.EncodeToString(nonce[:]), stop: make(chan struct{}), ended: make(chan struct{}, 1),
		waiting: make(map[idempotency.AttemptID]chan *ports.IdempotencyReplyMessage),
		active:  make(map[idempotency.AttemptID]struct{}),
		ending:  make(map[idempotency.AttemptID]*ending),
	}
	transport.Handle(ports.KindIdempotencyReply,
		func() ports.Message { return new(ports.IdempotencyReplyMessage) }, k.handleReply)
	return k
}

// Run sends unconfirmed ends again until Stop.
func (k *Keys) Run() {
	k.tasks.Go(k.resend)
}

// Stop waits a limited time for the confirmation of ends.
func (k *Keys) Stop() {
	timer := time.NewTimer(stopWithin)
	defer timer.Stop()
	for k.unconfirmed() > 0 {
		select {
		case <-k.ended:
			continue
		case <-timer.C:
			k.log.Warn().Str("event", "idempotency-ends-unconfirmed").Int("count", k.unconfirmed()).Msg("")
		}
		break
	}
	close(k.stop)
	k.tasks.Wait()
}

func (k *Keys) unconfirmed() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ending)
}

func (k *Keys) newAttempt() idempotency.AttemptID {
	return idempotency.AttemptID(k.nonce + "." + strconv.FormatUint(k.counter.Add(1), 36))
}

// Begin asks the key's owner to let the call run. When the verdict is
// idempotency.Granted, Finish must follow. In all other cases the call must not
// run.
func (k *Keys) Begin(ctx context.Context, call *ports.Call) Began {
	began := Began{Attempt: k.newAttempt(), Key: keyDigest(call)}
	replies := make(chan *ports.IdempotencyReplyMessage, 1)
	k.expect(began.Attempt, replies)
	b := &beginning{keys: k, call: call, began: &began, replies: replies, request: requestDigest(call)}
	b.toVerdict(ctx)
	k.close(&began)
	if began.Verdict != idempotency.Granted && began.Verdict != idempotency.AlreadyEnded {
		k.finish(&began, outcome.NotRun, "", nil)
	}
	return began
}

// Finish records how a granted attempt ended.
func (k *Keys) Finish(began *Began, end outcome.End, reason outcome.Reason, answer *idempotency.Answer) {
	k.finish(began, end, reason, answer)
}

func (k *Keys) expect(attempt idempotency.AttemptID, replies chan *ports.IdempotencyReplyMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting[attempt] = replies
}

// close ends the wait for the verdict.
func (k *Keys) close(began *Began) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, began.Attempt)
	if began.Verdict == idempotency.Granted {
		k.active[began.Attempt] = struct{}{}
	}
}

func (k *Keys) finish(began *Began, end outcome.End, reason outcome.Reason, answer *idempotency.Answer) {
	now := time.Now()
	message := &ports.IdempotencyFinishMessage{
		Key: began.Key, Attempt: string(began.Attempt), End: end, Reason: reason, Answer: answerMessage(answer),
	}
	k.mu.Lock()
	delete(k.active, began.Attempt)
	k.ending[began.Attempt] = &ending{message: message, since: now, sent: now}
	k.mu.Unlock()
	k.sendToOwner(began.Key, message, 0)
}

// sendToOwner sends to the owner of the key's range, or to this daemon when the
// owner has not answered for long.
func (k *Keys) sendToOwner(key idempotency.Digest, message ports.Message, unanswered time.Duration) {
	if unanswered >= ownAfter {
		k.scope.Counter("owners_replaced").Inc(1)
		k.transport.Send(k.directory.Self().Name, message)
		return
	}
	k.transport.Send(k.directory.KeyOwner(rangeOf(key).name()), message)
}

// handleReply passes a reply to the call that waits for it.
func (k *Keys) handleReply(from ports.DaemonID, message ports.Message) {
	reply := message.(*ports.IdempotencyReplyMessage)
	if finish := k.take(reply); finish != nil {
		k.scope.Counter("grants_given_back").Inc(1)
		k.transport.Send(from, finish)
	}
}

// take returns the end to send for a grant that nobody waits for: a begin that
// came late has kept a record of an attempt that will never run.
func (k *Keys) take(reply *ports.IdempotencyReplyMessage) *ports.IdempotencyFinishMessage {
	attempt := idempotency.AttemptID(reply.Attempt)
	k.mu.Lock()
	defer k.mu.Unlock()
	if idempotency.Verdict(reply.Verdict) == idempotency.FinishConfirmed {
		delete(k.ending, attempt)
		k.noteEnded()
		return nil
	}
	if replies, ok := k.waiting[attempt]; ok {
		offer(replies, reply)
		return nil
	}
	if idempotency.Verdict(reply.Verdict) != idempotency.Granted {
		return nil
	}
	return k.giveBack(attempt, reply)
}

// offer puts the newest reply in the place of one that was not taken.
func offer(replies chan *ports.IdempotencyReplyMessage, reply *ports.IdempotencyReplyMessage) {
	select {
	case <-replies:
	default:
	}
	replies <- reply
}

func (k *Keys) giveBack(
	attempt idempotency.AttemptID, reply *ports.IdempotencyReplyMessage,
) *ports.IdempotencyFinishMessage {
	if _, ok := k.active[attempt]; ok || !strings.HasPrefix(reply.Attempt, k.nonce) {
		return nil
	}
	if e, ok := k.ending[attempt]; ok {
		return e.message
	}
	now := time.Now()
	message := &ports.IdempotencyFinishMessage{Key: reply.Key, Attempt: reply.Attempt, End: outcome.NotRun}
	k.ending[attempt] = &ending{message: message, since: now, sent: now}
	return message
}

func (k *Keys) noteEnded() {
	if len(k.ending) > 0 {
		return
	}
	select {
	case k.ended <- struct{}{}:
	default:
	}
}

// resend sends unconfirmed ends again: owners change and messages are lost.
func (k *Keys) resend() {
	ticker := time.NewTicker(finishResend / 2)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, e := range k.due(now) {
				k.sendToOwner(e.message.Key, e.message, now.Sub(e.since))
			}
		case <-k.stop:
			return
		}
	}
}

func (k *Keys) due(now time.Time) []ending {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []ending
	for attempt, e := range k.ending {
		if now.Sub(e.since) > finishWithin {
			delete(k.ending, attempt)
			k.scope.Counter("ends_given_up").Inc(1)
			continue
		}
		if now.Sub(e.sent) >= finishResend {
			e.sent = now
			due = append(due, *e)
		}
	}
	return due
}
