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
	// beginWriteInterval is the minimum time between two writes of a range while a
	// begin is pending.
	beginWriteInterval = 25 * time.Millisecond
	// finishWriteInterval is the same while only finishes are pending.
	finishWriteInterval = time.Second
	// platformInitialBackoff and platformMaxBackoff bound the backoff after a
	// failed platform call.
	platformInitialBackoff = 25 * time.Millisecond
	platformMaxBackoff     = time.Second
	// maxPendingOperations is the highest number of pending operations of a range.
	maxPendingOperations = 16384
)

// RangeManager handles the begins and finishes that daemons send to this daemon as
// the owner of key ranges, and stores the ranges' records on the platform.
type RangeManager struct {
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

// keyRange is one key range with the state of its driver, the goroutine that makes
// its platform calls. owner, driverRunning and lastWrite are guarded by the mutex of
// RangeManager; retryBackoff is used by the driver alone.
type keyRange struct {
	number        rangeNumber
	owner         *idempotency.RangeOwner
	driverRunning bool
	wake          chan struct{}
	lastWrite     time.Time
	retryBackoff  *backoff.ExponentialBackOff
}

// NewRangeManager returns a RangeManager and registers its message handlers with
// the transport.
func NewRangeManager(
	logger *log.Logger, scope tally.Scope, platform ports.ObjectAPI, transport ports.PeerTransport,
) *RangeManager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &RangeManager{
		log: logger, scope: scope.SubScope("idempotency"), platform: platform, transport: transport,
		ctx: ctx, cancel: cancel, ranges: make(map[rangeNumber]*keyRange),
	}
	transport.Handle(ports.KindIdempotencyBegin,
		func() ports.Message { return new(ports.IdempotencyBeginMessage) }, m.handleBegin)
	transport.Handle(ports.KindIdempotencyFinish,
		func() ports.Message { return new(ports.IdempotencyFinishMessage) }, m.handleFinish)
	return m
}

// Stop cancels the platform calls in progress and waits for the drivers to end.
func (m *RangeManager) Stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}

func (m *RangeManager) handleBegin(from ports.DaemonID, message ports.Message) {
	begin := message.(*ports.IdempotencyBeginMessage)
	now := time.Now()
	m.submit(idempotency.Operation{
		Entry: string(from), Key: begin.Key, Attempt: idempotency.AttemptID(begin.Attempt), IsBegin: true, Request: begin.RequestDigest,
		Deadline:      now.Add(time.Duration(begin.DeadlineMillis) * time.Millisecond),
		ReplyDeadline: now.Add(time.Duration(begin.WaitMillis) * time.Millisecond),
	})
}

func (m *RangeManager) handleFinish(from ports.DaemonID, message ports.Message) {
	finish := message.(*ports.IdempotencyFinishMessage)
	m.submit(idempotency.Operation{
		Entry: string(from), Key: finish.Key, Attempt: idempotency.AttemptID(finish.Attempt),
		End: finish.End, Reason: finish.Reason, Answer: answerFromMessage(finish.Answer),
	})
}

// submit adds an operation to those of its range and starts or wakes the driver. An
// operation above maxPendingOperations is dropped.
func (m *RangeManager) submit(op idempotency.Operation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	kr := m.rangeLocked(rangeOf(op.Key))
	if kr.owner.PendingCount() >= maxPendingOperations {
		m.scope.Counter("operations_dropped").Inc(1)
		return
	}
	kr.owner.Submit(op)
	if !kr.driverRunning {
		kr.driverRunning = true
		m.tasks.Go(func() { m.runDriver(kr) })
		return
	}
	kr.wakeDriver()
}

// rangeLocked returns the range, which it creates if needed. The mutex must be held.
func (m *RangeManager) rangeLocked(number rangeNumber) *keyRange {
	kr, ok := m.ranges[number]
	if !ok {
		retryBackoff := backoff.NewExponentialBackOff()
		retryBackoff.InitialInterval = platformInitialBackoff
		retryBackoff.MaxInterval = platformMaxBackoff
		retryBackoff.Reset()
		kr = &keyRange{
			number: number, owner: idempotency.NewRangeOwner(), retryBackoff: retryBackoff, wake: make(chan struct{}, 1),
		}
		m.ranges[number] = kr
	}
	return kr
}

func (kr *keyRange) wakeDriver() {
	select {
	case kr.wake <- struct{}{}:
	default:
	}
}

// runDriver makes the platform calls that the range needs until no operation is
// pending. A range has at most one driver.
func (m *RangeManager) runDriver(kr *keyRange) {
	for m.waitForWriteInterval(kr) {
		action, replies := m.nextAction(kr)
		m.sendReplies(replies)
		ok := true
		switch action.Kind {
		case idempotency.LoadRecords:
			ok = m.load(kr)
		case idempotency.WriteRecords:
			ok = m.write(kr, action)
		}
		if ok {
			kr.retryBackoff.Reset()
		} else if !m.sleep(kr.retryBackoff.NextBackOff(), nil) {
			return
		}
		if m.stopDriverIfIdle(kr) {
			return
		}
	}
}

// waitForWriteInterval waits until the range may be written again, so that several
// operations share a write. It returns false once RangeManager stops.
func (m *RangeManager) waitForWriteInterval(kr *keyRange) bool {
	for {
		m.mu.Lock()
		interval := finishWriteInterval
		if kr.owner.HasPendingBegin() {
			interval = beginWriteInterval
		}
		remaining := interval - time.Since(kr.lastWrite)
		m.mu.Unlock()
		if remaining <= 0 {
			return m.ctx.Err() == nil
		}
		if !m.sleep(remaining, kr.wake) {
			return false
		}
	}
}

// sleep waits for the duration or for wake. It returns false if RangeManager stops
// first.
func (m *RangeManager) sleep(wait time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// addressedReply is a reply with the daemon to send it to.
type addressedReply struct {
	to      ports.DaemonID
	message *ports.IdempotencyReplyMessage
}

func (m *RangeManager) nextAction(kr *keyRange) (idempotency.Action, []addressedReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	action := kr.owner.NextAction(time.Now())
	return action, kr.takeReplies()
}

// takeReplies returns and removes the replies that are due. The mutex of
// RangeManager must be held.
func (kr *keyRange) takeReplies() []addressedReply {
	var replies []addressedReply
	for _, reply := range kr.owner.TakeReplies() {
		if to := ports.DaemonID(reply.Operation.Entry); to != "" {
			replies = append(replies, addressedReply{to: to, message: newReplyMessage(&reply)})
		}
	}
	return replies
}

func (m *RangeManager) sendReplies(replies []addressedReply) {
	for _, reply := range replies {
		m.scope.Tagged(map[string]string{"verdict": verdictName(reply.message.Verdict)}).Counter("replies").Inc(1)
		m.transport.Send(reply.to, reply.message)
	}
}

// stopDriverIfIdle returns true if no operation is pending and the driver must end.
func (m *RangeManager) stopDriverIfIdle(kr *keyRange) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kr.owner.PendingCount() > 0 {
		return false
	}
	kr.driverRunning = false
	return true
}

// load reads the records of the range from the platform. It returns false after a
// failure that calls for a backoff.
func (m *RangeManager) load(kr *keyRange) bool {
	m.scope.Counter("loads").Inc(1)
	object, err := m.platform.Get(m.ctx, kr.number.objectName())
	var notFound *ports.ObjectNotFoundError
	if errors.As(err, &notFound) {
		object, err = ports.Object{}, nil
	}
	records := make(idempotency.Records)
	if err == nil && len(object.Value) > 0 {
		records, err = idempotency.Decode(object.Value)
	}
	if err != nil {
		m.handleFailure(kr, "load", err)
		return false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	kr.owner.HandleLoaded(records, idempotency.Version(object.Version), now)
	return true
}

// write executes a conditional update of the range's object. It returns false after
// a failure that calls for a backoff; after a conflict the records can be loaded
// again at once.
func (m *RangeManager) write(kr *keyRange, action idempotency.Action) bool {
	value, err := idempotency.Encode(action.Records)
	if err != nil {
		m.handleFailure(kr, "encode", err)
		return false
	}
	m.scope.Counter("writes").Inc(1)
	m.setLastWrite(kr, time.Now())
	version, err := m.platform.Put(m.ctx, kr.number.objectName(), value, ports.ObjectVersion(action.ExpectedVersion))
	if err != nil {
		m.handleFailure(kr, "write", err)
		var conflict *ports.ObjectConflictError
		return errors.As(err, &conflict)
	}
	m.sendReplies(m.handleWritten(kr, version))
	return true
}

func (m *RangeManager) setLastWrite(kr *keyRange, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kr.lastWrite = now
}

func (m *RangeManager) handleWritten(kr *keyRange, version ports.ObjectVersion) []addressedReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	kr.owner.HandleWritten(idempotency.Version(version), time.Now())
	m.scope.Tagged(map[string]string{"range": kr.number.objectName()}).Gauge("bytes").Update(float64(kr.owner.SizeBytes()))
	return kr.takeReplies()
}

// handleFailure counts, logs and reports to the range owner that a step failed.
func (m *RangeManager) handleFailure(kr *keyRange, step string, err error) {
	m.scope.Tagged(map[string]string{"step": step}).Counter("failures").Inc(1)
	m.log.Warn().Str("event", "idempotency-step-failed").Str("step", step).
		Str("range", kr.number.objectName()).Err(err).Msg("")
	m.mu.Lock()
	defer m.mu.Unlock()
	kr.owner.HandleFailed()
}

func newReplyMessage(reply *idempotency.Reply) *ports.IdempotencyReplyMessage {
	message := &ports.IdempotencyReplyMessage{
		Attempt: string(reply.Operation.Attempt), Verdict: ports.IdempotencyVerdict(reply.Verdict),
		Key: reply.Operation.Key,
	}
	if reply.Verdict == idempotency.AlreadyEnded {
		message.End = reply.Record.End
		message.Reason = reply.Record.Reason
		message.Answer = newAnswerMessage(reply.Record.Answer)
	}
	return message
}

func answerFromMessage(answer *ports.IdempotencyAnswer) *idempotency.Answer {
	if answer == nil {
		return nil
	}
	return &idempotency.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

func newAnswerMessage(answer *idempotency.Answer) *ports.IdempotencyAnswer {
	if answer == nil {
		return nil
	}
	return &ports.IdempotencyAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

var verdictNames = map[idempotency.Verdict]string{
	idempotency.Granted: "granted", idempotency.InProgress: "in-progress", idempotency.KeyReused: "key-reused",
	idempotency.AlreadyEnded: "ended", idempotency.RangeFull: "full", idempotency.FinishConfirmed: "finished",
}

func verdictName(verdict ports.IdempotencyVerdict) string {
	return verdictNames[idempotency.Verdict(verdict)]
}

// earlierEnd returns the end of the earlier attempt of the key, or outcome.Unknown
// if the reply holds none.
func earlierEnd(message *ports.IdempotencyReplyMessage) outcome.RunState {
	if message.End == "" {
		return outcome.Unknown
	}
	return message.End
}
