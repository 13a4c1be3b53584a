package callerhttp

import (
	"context"
	"net"
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

// relayBreaks are the relayed connections that broke and of which the daemons that served them
// are asked. It is safe for concurrent use.
type relayBreaks struct {
	mu sync.Mutex
	// asked holds the channels that are closed once the other daemon says that it has not
	// answered the call on the connection.
	asked map[relayBreak]chan struct{}
}

// relayBreak is a connection that broke, by the daemon that served it and this daemon's end, which
// connections to several daemons may share.
type relayBreak struct {
	peer    ports.DaemonID
	address string
}

func newRelayBreaks() *relayBreaks {
	return &relayBreaks{asked: make(map[relayBreak]chan struct{})}
}

// add returns the channel of a connection that is asked for until forget is called.
func (b *relayBreaks) add(conn relayBreak) (unanswered <-chan struct{}, forget func()) {
	asked := make(chan struct{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[conn] = asked
	return asked, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.asked, conn)
	}
}

func (b *relayBreaks) recordUnanswered(conn relayBreak) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if asked, ok := b.asked[conn]; ok {
		close(asked)
		delete(b.asked, conn)
	}
}

// handleRelayBreak answers a daemon whose relayed connections to this one broke, or takes such
// an answer.
func (h *handover) handleRelayBreak(from ports.DaemonID, message *ports.RelayBreak) {
	for _, address := range message.Unanswered {
		h.breaks.recordUnanswered(relayBreak{peer: from, address: address})
	}
	if unanswered := h.takenOverConns.unanswered(message.Connections); len(unanswered) > 0 {
		h.table.transport.Send(from, &ports.RelayBreak{Unanswered: unanswered})
	}
}

// unanswered returns those of the addresses on whose connections a call was read of whose answer
// nothing was sent.
func (t *takenOverConns) unanswered(addresses []string) (unanswered []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		if conn, ok := t.conns[address]; ok && conn.isUnanswered() {
			unanswered = append(unanswered, address)
		}
	}
	return unanswered
}

// forgetLater removes the record of a connection that broke before its call was answered, after
// the time in which the daemon that relays it asks for it.
func (t *takenOverConns) forgetLater(address string, conn *takenOverConn) {
	time.AfterFunc(endNoticePeriod, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.conns[address] == conn {
			delete(t.conns, address)
		}
	})
}

// beginCall records the call that a connection carries, by the sink of its answer, and returns a
// function that records its end: a refusal was written unless the connection has ended.
func (c *takenOverConn) beginCall(sink *answerSink) (end func(context.Context)) {
	c.answer.Store(sink)
	return func(requestCtx context.Context) {
		c.endedUnanswered.Store(requestCtx.Err() != nil && !sink.headSent.Load())
		c.answer.Store(nil)
	}
}

// isUnanswered reports whether the connection carries a call, or did when it ended, of whose
// answer nothing was sent.
func (c *takenOverConn) isUnanswered() bool {
	answer := c.answer.Load()
	return answer != nil && !answer.headSent.Load() || c.endedUnanswered.Load()
}

// localAddress returns this daemon's end of a connection, as messages name it.
func localAddress(conn net.Conn) string { return conn.LocalAddr().String() }
