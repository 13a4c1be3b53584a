package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornstream/internal/ports"
)

// sender queues the messages to one peer and sends them over a session that it opens
// on demand. Its goroutine runs only while a session is open or messages are queued.
type sender struct {
	transport *Transport
	peer      ports.DaemonID
	// wake has capacity 1 and signals the goroutine that a message was queued.
	wake chan struct{}

	mu      sync.Mutex
	queue   queue
	running bool
}

func newSender(t *Transport, peer ports.DaemonID) *sender {
	return &sender{transport: t, peer: peer, wake: make(chan struct{}, 1)}
}

func (s *sender) enqueue(message envelope) {
	s.enqueueWith(func(q *queue) bool { return q.push(message) }, s.run)
}

func (s *sender) enqueueLocal(message ports.Message) {
	s.enqueueWith(func(q *queue) bool { return q.pushLocal(message) }, s.runLocalDelivery)
}

// enqueueWith adds a message with push and starts run in a goroutine, or wakes the
// running one. A message that doesn't fit into the queue is dropped and counted.
func (s *sender) enqueueWith(push func(*queue) bool, run func()) {
	s.mu.Lock()
	pushed := push(&s.queue)
	startWorker := pushed && !s.running
	if startWorker {
		s.running = true
	}
	s.mu.Unlock()
	if !pushed {
		s.transport.counters.countDropped(dropQueueFull)
		return
	}
	if startWorker && s.transport.goUnlessStopped(run) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runLocalDelivery passes messages of this daemon to itself to their handlers until the
// queue is empty.
func (s *sender) runLocalDelivery() {
	for {
		s.mu.Lock()
		messages := s.queue.popLocal()
		s.running = len(messages) > 0
		s.mu.Unlock()
		if len(messages) == 0 {
			return
		}
		s.transport.deliver(s.peer, s.transport.filterHandled(messages), func() {})
	}
}

// run sends queued messages and reopens a lost session after a backoff delay. It
// returns once the queue is empty and the session was idle, was lost or could not be
// opened, and when the transport stops.
func (s *sender) run() {
	retryBackoff := s.newBackoff()
	for {
		session, err := s.transport.openSession(s.peer)
		if err != nil {
			s.dropQueued(err)
			if !s.sleepUnlessStopped(retryBackoff.NextBackOff()) || s.finishIfEmpty() {
				return
			}
			continue
		}
		reason := s.sendOver(session)
		session.close(reason)
		if session.isConfirmed() {
			retryBackoff.Reset()
		}
		if reason != closeIdle && !s.sleepUnlessStopped(retryBackoff.NextBackOff()) || s.finishIfEmpty() {
			return
		}
	}
}

func (s *sender) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.transport.options.Timing.InitialBackoff
	b.MaxInterval = s.transport.options.Timing.MaxBackoff
	return b
}

// sendOver sends queued messages over a session until it ends, and returns the reason.
// A session that was never acknowledged is not idle: the acknowledgement timeout ends
// it.
func (s *sender) sendOver(session *session) closeReason {
	timing := s.transport.options.Timing
	idleTimer := time.NewTimer(timing.IdleTimeout)
	defer idleTimer.Stop()
	ackTicker := time.NewTicker(timing.AckInterval)
	defer ackTicker.Stop()
	for {
		if s.addressChanged(session) {
			return closeAddressChanged
		}
		batch := s.nextBatch()
		if len(batch) > 0 {
			if err := session.send(batch); err != nil {
				s.transport.counters.countDroppedMany(dropSessionLost, len(batch))
				return closeBroken
			}
			idleTimer.Reset(timing.IdleTimeout)
			continue
		}
		select {
		case <-s.wake:
		case <-session.ended:
			return closeBroken
		case <-ackTicker.C:
			if reason, ok := session.checkLiveness(time.Now()); !ok {
				return reason
			}
		case <-idleTimer.C:
			if session.isConfirmed() {
				return closeIdle
			}
			idleTimer.Reset(timing.IdleTimeout)
		case <-s.transport.ctx.Done():
			return closeStopped
		}
	}
}

// addressChanged reports whether the VM list now has another address of the peer than
// the one that the session was opened to.
func (s *sender) addressChanged(session *session) bool {
	vm, ok := s.transport.lookUpPeer(s.peer)
	return ok && vm.Address != session.vm.Address
}

func (s *sender) nextBatch() []envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.popBatch()
}

// finishIfEmpty marks the goroutine as not running if the queue is empty, and reports
// whether it did. The goroutine must then return; the next message starts another.
func (s *sender) finishIfEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = !s.queue.isEmpty()
	return !s.running
}

// dropQueued drops the queued messages after a failed attempt to open a session, since
// they would be outdated once a session is established.
func (s *sender) dropQueued(err error) {
	s.mu.Lock()
	count := s.queue.clear()
	s.mu.Unlock()
	reason := dropUnreachable
	if _, noAddress := err.(*NoPeerAddressError); noAddress {
		reason = dropNoAddress
	}
	s.transport.counters.countDroppedMany(reason, count)
}

// sleepUnlessStopped waits for the duration. It returns false if the transport is
// stopped before.
func (s *sender) sleepUnlessStopped(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.transport.ctx.Done():
		return false
	}
}
