package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	// beginPace is the least time between two writes of a range.
	beginPace = 25 * time.Millisecond
	// finishPace is the same while only ends of attempts wait.
	finishPace = time.Second
	// platformFirstWait and platformMaxWait bound the backoff after a failure
	// of the platform.
	platformFirstWait = 25 * time.Millisecond
	platformMaxWait   = time.Second
	// maxPending bounds the operations of a range that wait.
	maxPending = 16384
)

// Ranges keeps the records of the key ranges that other daemons believe to be
// this daemon's.
type Ranges struct {
	log       *log.Logger
	scope     tally.Scope
	platform  ports.ObjectAPI
	transport ports.PeerTransport

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	ranges  map[rangeNumber]*keyRange
	stopped bool
}

// keyRange is one range with its driver. Its owner and waiters are guarded by
// the mutex of Ranges.
type keyRange struct {
	number  rangeNumber
	owner   *idempotency.Owner
	driven  bool
	wake    chan struct{}
	written time.Time
	wait    *backoff.ExponentialBackOff
}

// NewRanges returns the side of the owner and registers its handlers.
func NewRanges(
	logger *log.Logger, scope tally.Scope, platform ports.ObjectAPI, transport ports.PeerTransport,
) *Ranges {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Ranges{
		log: logger, scope: scope.SubScope("idempotency"), platform: platform, transport: transport,
		ctx: ctx, cancel: cancel, ranges: make(map[rangeNumber]*keyRange),
	}
	transport.Handle(ports.KindIdempotencyBegin,
		func() ports.Message { return new(ports.IdempotencyBeginMessage) }, r.handleBegin)
	transport.Handle(ports.KindIdempotencyFinish,
		func() ports.Message { return new(ports.IdempotencyFinishMessage) }, r.handleFinish)
	return r
}

// Stop gives up the platform calls under way and waits for the drivers.
func (r *Ranges) Stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
	r.tasks.Wait()
}

func (r *Ranges) handleBegin(from ports.DaemonID, message ports.Message) {
	begin := message.(*ports.IdempotencyBeginMessage)
	now := time.Now()
	r.submit(idempotency.Operation{
		From: string(from), Key: begin.Key, Attempt: idempotency.AttemptID(begin.Attempt), Begin: true, Request: begin.RequestDigest,
		Until:     now.Add(time.Duration(begin.DeadlineMillis) * time.Millisecond),
		WaitUntil: now.Add(time.Duration(begin.WaitMillis) * time.Millisecond),
	})
}

func (r *Ranges) handleFinish(from ports.DaemonID, message ports.Message) {
	finish := message.(*ports.IdempotencyFinishMessage)
	r.submit(idempotency.Operation{
		From: string(from), Key: finish.Key, Attempt: idempotency.AttemptID(finish.Attempt),
		End: finish.End, Reason: finish.Reason, Answer: answerOf(finish.Answer),
	})
}

func (r *Ranges) submit(op idempotency.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	k := r.rangeLocked(rangeOf(op.Key))
	if k.owner.Pending() >= maxPending {
		r.scope.Counter("operations_dropped").Inc(1)
		return
	}
	k.owner.Submit(op)
	if !k.driven {
		k.driven = true
		r.tasks.Go(func() { r.drive(k) })
		return
	}
	k.awake()
}

func (r *Ranges) rangeLocked(number rangeNumber) *keyRange {
	k, ok := r.ranges[number]
	if !ok {
		wait := backoff.NewExponentialBackOff()
		wait.InitialInterval = platformFirstWait
		wait.MaxInterval = platformMaxWait
		wait.Reset()
		k = &keyRange{
			number: number, owner: idempotency.NewOwner(), wait: wait, wake: make(chan struct{}, 1),
		}
		r.ranges[number] = k
	}
	return k
}

func (k *keyRange) awake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// drive carries out what the range needs from the platform until nothing is
// pending. A range has at most one driver.
func (r *Ranges) drive(k *keyRange) {
	for r.pace(k) {
		action, replies := r.next(k)
		r.send(replies)
		ok := true
		switch action.Kind {
		case idempotency.Load:
			ok = r.load(k)
		case idempotency.Write:
			ok = r.write(k, action)
		}
		if ok {
			k.wait.Reset()
		} else if !r.sleep(k.wait.NextBackOff(), nil) {
			return
		}
		if r.idle(k) {
			return
		}
	}
}

// pace waits until the range may be written again, so that operations gather.
func (r *Ranges) pace(k *keyRange) bool {
	for {
		r.mu.Lock()
		pace := finishPace
		if k.owner.Waiting() {
			pace = beginPace
		}
		left := pace - time.Since(k.written)
		r.mu.Unlock()
		if left <= 0 {
			return r.ctx.Err() == nil
		}
		if !r.sleep(left, k.wake) {
			return false
		}
	}
}

// sleep waits for the time or for wake, and reports false once Ranges stops.
func (r *Ranges) sleep(wait time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-r.ctx.Done():
		return false
	}
}

type addressed struct {
	to      ports.DaemonID
	message *ports.IdempotencyReplyMessage
}

func (r *Ranges) next(k *keyRange) (idempotency.Action, []addressed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := k.owner.Next(time.Now())
	return action, k.takeReplies()
}

// takeReplies returns the replies that are due, with their receivers.
func (k *keyRange) takeReplies() []addressed {
	var out []addressed
	for _, reply := range k.owner.TakeReplies() {
		if to := ports.DaemonID(reply.Operation.From); to != "" {
			out = append(out, addressed{to: to, message: replyMessage(&reply)})
		}
	}
	return out
}

func (r *Ranges) send(replies []addressed) {
	for _, reply := range replies {
		r.scope.Tagged(map[string]string{"verdict": verdictName(reply.message.Verdict)}).Counter("replies").Inc(1)
		r.transport.Send(reply.to, reply.message)
	}
}

// idle ends the driver when nothing is pending.
func (r *Ranges) idle(k *keyRange) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.owner.Pending() > 0 {
		return false
	}
	k.driven = false
	return true
}

func (r *Ranges) load(k *keyRange) bool {
	r.scope.Counter("loads").Inc(1)
	object, err := r.platform.Get(r.ctx, k.number.name())
	var missing *ports.ObjectNotFoundError
	if errors.As(err, &missing) {
		object, err = ports.Object{}, nil
	}
	records := make(idempotency.Records)
	if err == nil && len(object.Value) > 0 {
		records, err = idempotency.Decode(object.Value)
	}
	if err != nil {
		r.fail(k, "load", err)
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	k.owner.Loaded(records, idempotency.Version(object.Version), now)
	return true
}

func (r *Ranges) write(k *keyRange, action idempotency.Action) bool {
	value, err := idempotency.Encode(action.Records)
	if err != nil {
		r.fail(k, "encode", err)
		return false
	}
	r.scope.Counter("writes").Inc(1)
	r.noteWrite(k, time.Now())
	version, err := r.platform.Put(r.ctx, k.number.name(), value, ports.ObjectVersion(action.Expected))
	if err != nil {
		r.fail(k, "write", err)
		var conflict *ports.ObjectConflictError
		return errors.As(err, &conflict)
	}
	r.send(r.wrote(k, version))
	return true
}

func (r *Ranges) noteWrite(k *keyRange, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.written = now
}

func (r *Ranges) wrote(k *keyRange, version ports.ObjectVersion) []addressed {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.owner.Wrote(idempotency.Version(version), time.Now())
	r.scope.Tagged(map[string]string{"range": k.number.name()}).Gauge("bytes").Update(float64(k.owner.Size()))
	return k.takeReplies()
}

func (r *Ranges) fail(k *keyRange, step string, err error) {
	r.scope.Tagged(map[string]string{"step": step}).Counter("failures").Inc(1)
	r.log.Warn().Str("event", "idempotency-step-failed").Str("step", step).
		Str("range", k.number.name()).Err(err).Msg("")
	r.mu.Lock()
	defer r.mu.Unlock()
	k.owner.Failed()
}

func replyMessage(reply *idempotency.Reply) *ports.IdempotencyReplyMessage {
	message := &ports.IdempotencyReplyMessage{
		Attempt: string(reply.Operation.Attempt), Verdict: ports.IdempotencyVerdict(reply.Verdict),
		Key: reply.Operation.Key,
	}
	if reply.Verdict == idempotency.Ended {
		message.End = reply.Record.End
		message.Reason = reply.Record.Reason
		message.Answer = answerMessage(reply.Record.Answer)
	}
	return message
}

func answerOf(answer *ports.IdempotencyAnswer) *idempotency.Answer {
	if answer == nil {
		return nil
	}
	return &idempotency.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

func answerMessage(answer *idempotency.Answer) *ports.IdempotencyAnswer {
	if answer == nil {
		return nil
	}
	return &ports.IdempotencyAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

var verdictNames = map[idempotency.Verdict]string{
	idempotency.Granted: "granted", idempotency.InProgress: "in-progress", idempotency.KeyReused: "key-reused",
	idempotency.Ended: "ended", idempotency.Full: "full", idempotency.Finished: "finished",
}

func verdictName(verdict ports.IdempotencyVerdict) string {
	return verdictNames[idempotency.Verdict(verdict)]
}

// endOf is the end of a call by what is known of its key's earlier attempt.
func endOf(message *ports.IdempotencyReplyMessage) outcome.RunState {
	if message.End == "" {
		return outcome.Unknown
	}
	return message.End
}
