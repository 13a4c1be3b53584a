package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"hawthornstream/internal/ports"
)

// session is the dialling side of one connection to a peer.
type session struct {
	transport *Transport
	vm        ports.VM
	distance  distance
	conn      *connection
	rpcConn   *drpcconn.Conn
	stream    drpc.Stream
	// ended is closed when no more replies can be received.
	ended chan struct{}
	// countedSentBytes is the number of sent bytes that the metrics contain.
	countedSentBytes int64
	// sentSinceAckRequest is true if messages were sent since the last request for
	// acknowledgement.
	sentSinceAckRequest bool

	mu sync.Mutex
	// lastAckRequest and lastAcknowledged are the numbers of the last request for
	// acknowledgement and of the last answered one.
	lastAckRequest   uint64
	lastAcknowledged uint64
	lastAckRequestAt time.Time
	// refusalCode is the error code with which the peer refused the session, or zero.
	refusalCode uint64
}

// openSession dials a peer and sends the hello. It fails with *NoPeerAddressError if
// the VM list has no address of the peer.
func (t *Transport) openSession(id ports.DaemonID) (*session, error) {
	vm, ok := t.lookUpPeer(id)
	if !ok {
		return nil, &NoPeerAddressError{Peer: id}
	}
	conn, err := t.dial(vm)
	if err != nil {
		t.counters.dialFailures.Inc(1)
		return nil, eris.Wrap(err, "dial a peer")
	}
	rpcConn := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcManagerOptions(maxReplyBytes)})
	stream, err := rpcConn.NewStream(t.ctx, exchangeMethod, t.codec)
	if err != nil {
		_ = rpcConn.Close()
		return nil, eris.Wrap(err, "open a stream to a peer")
	}
	s := &session{
		transport: t,
		vm:        vm,
		distance:  distanceBetween(t.options.Self, vm),
		conn:      conn,
		rpcConn:   rpcConn,
		stream:    stream,
		ended:     make(chan struct{}),
	}
	if !t.goUnlessStopped(s.receiveReplies) {
		_ = rpcConn.Close()
		return nil, eris.Wrap(t.ctx.Err(), "transport stopped")
	}
	t.counters.sessionsOpened.Inc(1)
	if err := s.sendHello(); err != nil {
		s.close(closeBroken)
		return nil, err
	}
	return s, nil
}

func (t *Transport) dial(vm ports.VM) (*connection, error) {
	timing := t.options.Timing
	dialer := net.Dialer{Timeout: timing.DialTimeout, KeepAliveConfig: timing.keepAliveConfig()}
	conn, err := dialer.DialContext(t.ctx, "tcp", vm.Address)
	if err != nil {
		return nil, err
	}
	timing.setUserTimeout(conn)
	return t.clientHandshake(newMeteredConn(conn, 0, timing.WriteTimeout), vm.Name)
}

// sendHello sends the first frame. Its acknowledgement confirms the session.
func (s *session) sendHello() error {
	return s.writeFrame(frame{Hello: &helloMessage{
		Version:     protocolVersion,
		From:        s.transport.options.Self.Name,
		To:          s.vm.Name,
		Incarnation: s.transport.options.Incarnation,
		Session:     s.transport.lastSessionNumber.Add(1),
	}, AckRequest: s.nextAckRequest(time.Now())})
}

// send sends messages in one frame, with a request for acknowledgement if one is due.
func (s *session) send(messages []envelope) error {
	s.sentSinceAckRequest = true
	f := frame{Messages: messages}
	now := time.Now()
	if s.isAckDue(now) {
		f.AckRequest = s.nextAckRequest(now)
	}
	return s.writeFrame(f)
}

// writeFrame sends a frame and counts its messages and bytes.
func (s *session) writeFrame(f frame) error {
	if err := s.stream.MsgSend(&f, s.transport.codec); err != nil {
		return eris.Wrap(err, "send to a peer")
	}
	sentBytes := s.conn.metered.sentBytes.Load()
	s.transport.counters.sent.record(s.distance, f.Messages, sentBytes-s.countedSentBytes)
	s.countedSentBytes = sentBytes
	return nil
}

// isAckDue reports whether a request for acknowledgement may be sent: the last one is
// answered and AckInterval has passed.
func (s *session) isAckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAcknowledged == s.lastAckRequest && now.Sub(s.lastAckRequestAt) >= s.transport.options.Timing.AckInterval
}

// nextAckRequest records a new request for acknowledgement and returns its number for
// the frame to be sent.
func (s *session) nextAckRequest(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentSinceAckRequest = false
	s.lastAckRequest++
	s.lastAckRequestAt = now
	return s.lastAckRequest
}

// checkLiveness requests acknowledgement of messages sent since the last request. It
// returns false and the reason if the session is silent or broken.
func (s *session) checkLiveness(now time.Time) (closeReason, bool) {
	if s.unacknowledgedFor(now) >= s.transport.options.Timing.AckTimeout {
		return closeSilent, false
	}
	if !s.sentSinceAckRequest || !s.isAckDue(now) {
		return "", true
	}
	if err := s.writeFrame(frame{AckRequest: s.nextAckRequest(now)}); err != nil {
		return closeBroken, false
	}
	return "", true
}

// unacknowledgedFor returns how long the last request for acknowledgement has been
// unanswered, or zero if it was answered.
func (s *session) unacknowledgedFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAcknowledged == s.lastAckRequest {
		return 0
	}
	return now.Sub(s.lastAckRequestAt)
}

// isConfirmed reports whether the peer has acknowledged any frame.
func (s *session) isConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAcknowledged > 0
}

// receiveReplies reads replies until the stream ends.
func (s *session) receiveReplies() {
	defer close(s.ended)
	for {
		var r reply
		if err := s.stream.MsgRecv(&r, s.transport.codec); err != nil {
			s.mu.Lock()
			s.refusalCode = drpcerr.Code(err)
			s.mu.Unlock()
			return
		}
		s.handleReply(r)
	}
}

// handleReply records an acknowledgement. The first one confirms the session, which is
// then reported as established.
func (s *session) handleReply(r reply) {
	s.mu.Lock()
	firstAck := s.lastAcknowledged == 0
	if r.Acknowledged > s.lastAcknowledged && r.Acknowledged <= s.lastAckRequest {
		s.lastAcknowledged = r.Acknowledged
	}
	firstAck = firstAck && s.lastAcknowledged > 0
	s.mu.Unlock()
	s.transport.counters.received.record(s.distance, nil, int64(r.encodedBytes))
	if firstAck {
		s.transport.notifySession(s.vm.Name, true)
	}
}

// brokenReason distinguishes a session that the peer refused from one whose connection
// broke.
func (s *session) brokenReason() closeReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusalCode != 0 {
		return closeRefused
	}
	return closeBroken
}

// close ends the session. A confirmed session is reported as lost unless this side
// closed it because it was idle or the transport stopped.
func (s *session) close(reason closeReason) {
	if reason == closeIdle {
		_ = s.stream.CloseSend()
	}
	_ = s.rpcConn.Close()
	<-s.ended
	if reason == closeBroken {
		reason = s.brokenReason()
	}
	s.transport.counters.countClosed("dialled", reason)
	if reason == closeIdle || reason == closeStopped {
		return
	}
	s.transport.options.Logger.Warn().Str("event", "peer-session-lost").Str("peer", string(s.vm.Name)).Str("reason", string(reason)).Msg("")
	if s.isConfirmed() {
		s.transport.notifySession(s.vm.Name, false)
	}
}
