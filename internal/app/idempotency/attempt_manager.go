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
	// beginReplyTimeout is how long a call waits for a reply to its begin.
	beginReplyTimeout = 3 * time.Second
	// beginResendInterval is the first interval between two sends of a begin. It
	// doubles with each send, up to beginMaxResendInterval.
	beginResendInterval    = 200 * time.Millisecond
	beginMaxResendInterval = time.Second
	// unresponsiveOwnerTimeout is how long an owner may leave a begin or finish
	// unanswered before the entry acts as owner itself. The conditional update
	// decides between two owners.
	unresponsiveOwnerTimeout = time.Second
	// runningAttemptMaxWait is how long a call waits for the end of another
	// attempt of its key.
	runningAttemptMaxWait = 15 * time.Second
	// callerReplyMargin is the time before the call's deadline that is reserved
	// for answering the caller.
	callerReplyMargin = 20 * time.Millisecond
	// finishResendInterval is the minimum time between two sends of a finish.
	finishResendInterval = 500 * time.Millisecond
	// finishConfirmTimeout is how long a finish is sent without a confirmation.
	finishConfirmTimeout = 15 * time.Minute
	// stopTimeout is how long Stop waits for the confirmation of finishes.
	stopTimeout = 5 * time.Second
	nonceBytes  = 8
)

// BeginResult is the result of AttemptManager.Begin.
type BeginResult struct {
	Attempt idempotency.AttemptID
	Key     idempotency.Digest
	// Verdict is zero if no owner replied in time, for example because it could
	// not store the record.
	Verdict idempotency.Verdict
	// End, Reason and Answer are those of the earlier attempt of the key if the
	// verdict is idempotency.AlreadyEnded.
	End    outcome.RunState
	Reason outcome.Reason
	Answer *idempotency.Answer
}

// AttemptManager begins and finishes the attempts of the calls that this daemon
// took.
type AttemptManager struct {
	log       *log.Logger
	scope     tally.Scope
	directory ports.Directory
	transport ports.PeerTransport
	// nonce is the random prefix of this process's attempt IDs.
	nonce        string
	attemptCount atomic.Uint64

	stopping chan struct{}
	tasks    sync.WaitGroup

	mu sync.Mutex
	// replyChannels has a channel for each attempt that waits for its verdict.
	replyChannels map[idempotency.AttemptID]chan *ports.IdempotencyReplyMessage
	// runningAttempts are the granted attempts that have not ended.
	runningAttempts     map[idempotency.AttemptID]struct{}
	unconfirmedFinishes map[idempotency.AttemptID]*unconfirmedFinish
	// allConfirmed wakes Stop when the last finish is confirmed.
	allConfirmed chan struct{}
}

// unconfirmedFinish is a finish that no owner has confirmed.
type unconfirmedFinish struct {
	message   *ports.IdempotencyFinishMessage
	firstSent time.Time
	lastSent  time.Time
}

// NewAttemptManager returns an AttemptManager and registers its message handler
// with the transport.
func NewAttemptManager(
	logger *log.Logger, scope tally.Scope, directory ports.Directory, transport ports.PeerTransport,
) *AttemptManager {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	m := &AttemptManager{
		log: logger, scope: scope.SubScope("idempotency"), directory: directory, transport: transport,
		nonce: hex.EncodeToString(nonce[:]), stopping: make(chan struct{}), allConfirmed: make(chan struct{}, 1),
		replyChannels:       make(map[idempotency.AttemptID]chan *ports.IdempotencyReplyMessage),
		runningAttempts:     make(map[idempotency.AttemptID]struct{}),
		unconfirmedFinishes: make(map[idempotency.AttemptID]*unconfirmedFinish),
	}
	transport.Handle(ports.KindIdempotencyReply,
		func() ports.Message { return new(ports.IdempotencyReplyMessage) }, m.handleReply)
	return m
}

// Run starts to resend unconfirmed finishes. It returns at once; Stop ends it.
func (m *AttemptManager) Run() {
	m.tasks.Go(m.resendFinishes)
}

// Stop waits up to stopTimeout until all finishes are confirmed, then ends the
// resending.
func (m *AttemptManager) Stop() {
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	for m.unconfirmedCount() > 0 {
		select {
		case <-m.allConfirmed:
			continue
		case <-timer.C:
			m.log.Warn().Str("event", "idempotency-ends-unconfirmed").Int("count", m.unconfirmedCount()).Msg("")
		}
		break
	}
	close(m.stopping)
	m.tasks.Wait()
}

func (m *AttemptManager) unconfirmedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unconfirmedFinishes)
}

func (m *AttemptManager) newAttempt() idempotency.AttemptID {
	return idempotency.AttemptID(m.nonce + "." + strconv.FormatUint(m.attemptCount.Add(1), 36))
}

// Begin asks the owner of the key's range to let the call run. If the verdict is
// idempotency.Granted, Finish must follow. In all other cases the call must not
// run.
func (m *AttemptManager) Begin(ctx context.Context, call *ports.Call) BeginResult {
	begin := BeginResult{Attempt: m.newAttempt(), Key: keyDigest(call)}
	replies := make(chan *ports.IdempotencyReplyMessage, 1)
	m.registerReplyChannel(begin.Attempt, replies)
	wait := &beginWait{manager: m, call: call, begin: &begin, replies: replies, requestDigest: requestDigest(call)}
	wait.waitForVerdict(ctx)
	m.endWait(&begin)
	if begin.Verdict != idempotency.Granted && begin.Verdict != idempotency.AlreadyEnded {
		m.sendFinish(&begin, outcome.NotRun, "", nil)
	}
	return begin
}

// Finish records the end of a granted attempt. reason says why there is no answer;
// answer is nil if none is to be stored. The finish is sent until it is confirmed.
func (m *AttemptManager) Finish(begin *BeginResult, end outcome.RunState, reason outcome.Reason, answer *idempotency.Answer) {
	m.sendFinish(begin, end, reason, answer)
}

func (m *AttemptManager) registerReplyChannel(attempt idempotency.AttemptID, replies chan *ports.IdempotencyReplyMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replyChannels[attempt] = replies
}

// endWait ends the wait for the verdict.
func (m *AttemptManager) endWait(begin *BeginResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.replyChannels, begin.Attempt)
	if begin.Verdict == idempotency.Granted {
		m.runningAttempts[begin.Attempt] = struct{}{}
	}
}

func (m *AttemptManager) sendFinish(begin *BeginResult, end outcome.RunState, reason outcome.Reason, answer *idempotency.Answer) {
	now := time.Now()
	message := &ports.IdempotencyFinishMessage{
		Key: begin.Key, Attempt: string(begin.Attempt), End: end, Reason: reason, Answer: newAnswerMessage(answer),
	}
	m.mu.Lock()
	delete(m.runningAttempts, begin.Attempt)
	m.unconfirmedFinishes[begin.Attempt] = &unconfirmedFinish{message: message, firstSent: now, lastSent: now}
	m.mu.Unlock()
	m.sendToOwner(begin.Key, message, 0)
}

// sendToOwner sends the message to the owner of the key's range, or to this daemon
// if the owner has not replied for unresponsiveOwnerTimeout.
func (m *AttemptManager) sendToOwner(key idempotency.Digest, message ports.Message, unansweredFor time.Duration) {
	if unansweredFor >= unresponsiveOwnerTimeout {
		m.scope.Counter("owners_replaced").Inc(1)
		m.transport.Send(m.directory.Self().Name, message)
		return
	}
	m.transport.Send(m.directory.KeyOwner(rangeOf(key).objectName()), message)
}

// handleReply handles an owner's reply to a begin or finish.
func (m *AttemptManager) handleReply(from ports.DaemonID, message ports.Message) {
	reply := message.(*ports.IdempotencyReplyMessage)
	if finish := m.processReply(reply); finish != nil {
		m.scope.Counter("grants_given_back").Inc(1)
		m.transport.Send(from, finish)
	}
}

// processReply passes a verdict to the call that waits for it, or removes a
// confirmed finish. For a grant that no call waits for it returns the finish to
// send: a delayed begin stored a record of an attempt that will never run.
func (m *AttemptManager) processReply(reply *ports.IdempotencyReplyMessage) *ports.IdempotencyFinishMessage {
	attempt := idempotency.AttemptID(reply.Attempt)
	m.mu.Lock()
	defer m.mu.Unlock()
	if idempotency.Verdict(reply.Verdict) == idempotency.FinishConfirmed {
		delete(m.unconfirmedFinishes, attempt)
		m.signalIfAllConfirmed()
		return nil
	}
	if replies, ok := m.replyChannels[attempt]; ok {
		replaceReply(replies, reply)
		return nil
	}
	if idempotency.Verdict(reply.Verdict) != idempotency.Granted {
		return nil
	}
	return m.releaseUnusedGrant(attempt, reply)
}

// replaceReply puts the reply into the channel, which has room for one, in place of
// an earlier reply that was not received.
func replaceReply(replies chan *ports.IdempotencyReplyMessage, reply *ports.IdempotencyReplyMessage) {
	select {
	case <-replies:
	default:
	}
	replies <- reply
}

// releaseUnusedGrant returns the finish that releases a grant, or nil if the attempt
// is running or belongs to an earlier process. The mutex must be held.
func (m *AttemptManager) releaseUnusedGrant(
	attempt idempotency.AttemptID, reply *ports.IdempotencyReplyMessage,
) *ports.IdempotencyFinishMessage {
	if _, ok := m.runningAttempts[attempt]; ok || !strings.HasPrefix(reply.Attempt, m.nonce) {
		return nil
	}
	if finish, ok := m.unconfirmedFinishes[attempt]; ok {
		return finish.message
	}
	now := time.Now()
	message := &ports.IdempotencyFinishMessage{Key: reply.Key, Attempt: reply.Attempt, End: outcome.NotRun}
	m.unconfirmedFinishes[attempt] = &unconfirmedFinish{message: message, firstSent: now, lastSent: now}
	return message
}

// signalIfAllConfirmed wakes Stop if no finish is unconfirmed. The mutex must be
// held.
func (m *AttemptManager) signalIfAllConfirmed() {
	if len(m.unconfirmedFinishes) > 0 {
		return
	}
	select {
	case m.allConfirmed <- struct{}{}:
	default:
	}
}

// resendFinishes resends unconfirmed finishes, since owners change and messages are
// lost.
func (m *AttemptManager) resendFinishes() {
	ticker := time.NewTicker(finishResendInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, finish := range m.takeDueFinishes(now) {
				m.sendToOwner(finish.message.Key, finish.message, now.Sub(finish.firstSent))
			}
		case <-m.stopping:
			return
		}
	}
}

// takeDueFinishes returns the finishes that are due to be resent and marks them as
// sent now. It removes those that have reached finishConfirmTimeout.
func (m *AttemptManager) takeDueFinishes(now time.Time) []unconfirmedFinish {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []unconfirmedFinish
	for attempt, finish := range m.unconfirmedFinishes {
		if now.Sub(finish.firstSent) > finishConfirmTimeout {
			delete(m.unconfirmedFinishes, attempt)
			m.scope.Counter("ends_given_up").Inc(1)
			continue
		}
		if now.Sub(finish.lastSent) >= finishResendInterval {
			finish.lastSent = now
			due = append(due, *finish)
		}
	}
	return due
}
