package sharing

import (
	"sync"

	"hawthornstream/internal/ports"
)

// outbox sends messages in the order in which they were added, from one goroutine,
// so that no caller waits for the transport while it holds a lock.
type outbox struct {
	transport ports.PeerTransport
	mu        sync.Mutex
	pending   []envelope
	wake      chan struct{}
}

type envelope struct {
	to      ports.DaemonID
	message ports.Message
}

func newOutbox(transport ports.PeerTransport) *outbox {
	return &outbox{transport: transport, wake: make(chan struct{}, 1)}
}

// add queues a message. It does not wait for the transport.
func (o *outbox) add(to ports.DaemonID, message ports.Message) {
	o.mu.Lock()
	o.pending = append(o.pending, envelope{to: to, message: message})
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends queued messages until stop is closed, then those that are left.
func (o *outbox) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			o.flush()
			return
		case <-o.wake:
			o.flush()
		}
	}
}

func (o *outbox) flush() {
	o.mu.Lock()
	pending := o.pending
	o.pending = nil
	o.mu.Unlock()
	for _, e := range pending {
		o.transport.Send(e.to, e.message)
	}
}
