package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/ports"
)

const (
	// maxInboundConns limits the accepted connections. It has room for a session
	// from each daemon of a large fleet and for the session that replaces it.
	maxInboundConns = 2048
	// inboundConnBytes is the memory of an accepted connection: its goroutines and buffers. All
	// of them hold inboundConnsFraction of the memory held for others at most.
	inboundConnBytes     = 24 << 10
	inboundConnsFraction = 0.5
	// uncountedDecodedBytes is what the decoded messages of a frame may need without being
	// counted.
	uncountedDecodedBytes = 128 << 10
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// connContextKey is the context key of the *connection that an RPC arrived on.
type connContextKey struct{}

// acceptLoop accepts connections until the listener is closed.
func (t *Transport) acceptLoop() {
	defer t.goroutines.Done()
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Logger.Warn().Str("event", "peer-accept-failed").Err(err).Msg("")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !t.admit(conn) {
			_ = conn.Close()
			t.counters.connectionsRejected.Inc(1)
		}
	}
}

// admit starts serving a connection. It returns false if the transport is stopped or
// the limit of connections is reached.
func (t *Transport) admit(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || len(t.inboundConns) >= maxConnsFor(t.options.Account.Limit()) {
		return false
	}
	t.inboundConns[conn] = struct{}{}
	t.options.Account.HoldConnection(inboundConnBytes)
	t.goroutines.Go(func() { t.serveConn(conn) })
	return true
}

func (t *Transport) serveConn(conn net.Conn) {
	timing := t.options.Timing
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(timing.keepAliveConfig())
	}
	timing.setUserTimeout(conn)
	metered := newMeteredConn(conn, timing.HelloTimeout, timing.WriteTimeout)
	metered.helloDeadline = time.Now().Add(2 * timing.HelloTimeout)
	reason := t.serveRPC(metered)
	if reason != "" {
		t.counters.countClosed("accepted", reason)
	}
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inboundConns, conn)
	t.options.Account.HoldConnection(-inboundConnBytes)
}

// maxConnsFor returns how many connections may be accepted by a daemon that may hold heldBytes,
// zero for no limit.
func maxConnsFor(heldBytes int64) int {
	if heldBytes == 0 {
		return maxInboundConns
	}
	return min(maxInboundConns, int(inboundConnsFraction*float64(heldBytes)/inboundConnBytes))
}

// serveRPC performs the TLS handshake, if any, and serves the session of a connection.
// It returns why no session was established, or "".
func (t *Transport) serveRPC(metered *meteredConn) closeReason {
	conn, err := t.serverHandshake(metered)
	if err != nil {
		return closeTLSFailed
	}
	held := t.options.Account.NewMessage(memory.KindFrame, sourceOf(metered), 0, func() { _ = metered.Close() })
	defer held.Release()
	conn.wire = newWireMeter(held)
	_ = t.rpcServer.ServeOne(context.WithValue(t.ctx, connContextKey{}, conn), conn)
	if !metered.helloReceived.Load() {
		return closeNoHello
	}
	return ""
}

// sourceOf returns the IP address of the other side.
func sourceOf(conn net.Conn) memory.Source {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return memory.Source(host)
}

// acceptedSession is the accepting side of one connection.
type acceptedSession struct {
	transport     *Transport
	stream        drpc.Stream
	conn          *connection
	from          ports.DaemonID
	distance      distance
	sessionNumber uint64
	// countedSentBytes is the number of sent bytes that the metrics contain.
	countedSentBytes int64
}

// Exchange serves one accepted session until it ends. Its error carries the code of
// the refusal if the session was refused.
func (t *Transport) Exchange(stream drpc.Stream) error {
	s := &acceptedSession{transport: t, stream: stream}
	s.conn, _ = stream.Context().Value(connContextKey{}).(*connection)
	err := s.serve()
	t.markEnded(s)
	reason := closeReasonOf(err)
	t.counters.countClosed("accepted", reason)
	if code := refusalCodeOf(err); code != 0 {
		err = drpcerr.WithCode(err, code)
		t.options.Logger.Warn().Str("event", "peer-session-refused").Str("peer", string(s.from)).Err(err).Msg("")
	}
	if s.conn != nil {
		s.conn.metered.readTimeout.Store(int64(t.options.Timing.HelloTimeout))
	}
	return err
}

// refusalCodeOf returns the error code that tells the dialling side why its session
// was refused, or zero.
func refusalCodeOf(err error) uint64 {
	var versionMismatch *ProtocolVersionError
	var wrongDaemon *WrongDaemonError
	var certificateMismatch *CertificateMismatchError
	switch {
	case errors.As(err, &versionMismatch):
		return codeProtocolVersion
	case errors.As(err, &certificateMismatch):
		return codeCertificateMismatch
	case errors.As(err, &wrongDaemon):
		return codeWrongDaemon
	case closeReasonOf(err) == closeMalformed:
		return codeMalformed
	case closeReasonOf(err) == closeSuperseded:
		return codeSuperseded
	default:
		return 0
	}
}

// closeReasonOf returns the reason for which an accepted session ended with an error.
func closeReasonOf(err error) closeReason {
	var malformed *MalformedFrameError
	var tooLarge *FrameTooLargeError
	var missingHello *MissingHelloError
	var versionMismatch *ProtocolVersionError
	var wrongDaemon *WrongDaemonError
	var superseded *SupersededSessionError
	var certificateMismatch *CertificateMismatchError
	var refused *heldmemory.MessageRefusedError
	switch {
	case errors.As(err, &superseded):
		return closeSuperseded
	case errors.As(err, &refused):
		return closeNoMemory
	case errors.As(err, &malformed), errors.As(err, &tooLarge), errors.As(err, &missingHello):
		return closeMalformed
	case errors.As(err, &versionMismatch), errors.As(err, &wrongDaemon), errors.As(err, &certificateMismatch):
		return closeRefused
	default:
		return closeBroken
	}
}

func (s *acceptedSession) serve() error {
	var first frame
	if err := s.stream.MsgRecv(&first, s.transport.codec); err != nil {
		return err
	}
	if err := s.acceptHello(first.Hello); err != nil {
		return err
	}
	s.transport.counters.sessionsAccepted.Inc(1)
	for f := first; ; {
		if err := s.handleFrame(f); err != nil {
			return err
		}
		f = frame{}
		if err := s.stream.MsgRecv(&f, s.transport.codec); err != nil {
			return err
		}
	}
}

// acceptHello validates the hello and registers the session as the latest of its
// sender. A hello that is refused fails with *MissingHelloError,
// *ProtocolVersionError, *WrongDaemonError, *CertificateMismatchError or
// *SupersededSessionError.
func (s *acceptedSession) acceptHello(hello *helloMessage) error {
	if hello == nil || hello.From == "" {
		return &MissingHelloError{}
	}
	s.from = hello.From
	if hello.Version != protocolVersion {
		return &ProtocolVersionError{Version: hello.Version}
	}
	if hello.To != s.transport.options.Self.Name || hello.From == hello.To {
		return &WrongDaemonError{To: hello.To}
	}
	if !s.conn.hasCertificateFor(hello.From) {
		return &CertificateMismatchError{From: hello.From}
	}
	s.sessionNumber = hello.Session
	if !s.transport.registerSession(s, hello) {
		return &SupersededSessionError{From: s.from, Session: hello.Session}
	}
	vm, known := s.transport.lookUpPeer(hello.From)
	s.distance = distanceBetween(s.transport.options.Self, vm)
	if s.conn != nil {
		if known {
			s.conn.wire.allowance.Store(sessionAllowanceBytes)
		}
		s.conn.metered.helloReceived.Store(true)
		s.conn.metered.allowReading(s.transport.options.Timing.ReceiveTimeout)
	}
	return nil
}

// handleFrame delivers the messages of a frame, then acknowledges it if requested.
// It fails with *SupersededSessionError if a later session was accepted.
func (s *acceptedSession) handleFrame(f frame) error {
	held, err := s.reserveDecoded(f.Messages)
	if err != nil {
		return err
	}
	messages, err := s.transport.decodeMessages(f.Messages)
	if err != nil {
		held.Release()
		return err
	}
	s.transport.counters.received.record(s.distance, f.Messages, int64(f.encodedBytes))
	if !s.transport.isLatest(s) {
		held.Release()
		return &SupersededSessionError{From: s.from, Session: s.sessionNumber}
	}
	s.transport.deliver(s.from, messages, held.Release)
	if f.AckRequest == 0 {
		return nil
	}
	if err := s.stream.MsgSend(&reply{Acknowledged: f.AckRequest}, s.transport.codec); err != nil {
		return err
	}
	s.countSentBytes()
	return nil
}

// reserveDecoded reserves what decoded messages need until they are handled, beyond what the
// usual ones do. It fails with *heldmemory.MessageRefusedError.
func (s *acceptedSession) reserveDecoded(envelopes []envelope) (*heldmemory.Message, error) {
	var source memory.Source
	if s.conn != nil {
		source = sourceOf(s.conn.metered)
	}
	held := s.transport.options.Account.NewMessage(memory.KindFrame, source, uncountedDecodedBytes, func() {})
	needed := int64(0)
	for _, e := range envelopes {
		needed += decodedBytes(e.Payload)
	}
	err := held.Grow(needed)
	if err == nil {
		err = held.Received()
	}
	if err != nil {
		held.Release()
	}
	return held, err
}

// countSentBytes adds the bytes sent since the last call to the metrics.
func (s *acceptedSession) countSentBytes() {
	if s.conn == nil {
		return
	}
	sentBytes := s.conn.metered.sentBytes.Load()
	s.transport.counters.sent.record(s.distance, nil, sentBytes-s.countedSentBytes)
	s.countedSentBytes = sentBytes
}

// decodeMessages decodes the messages in envelopes. It counts and skips kinds without
// a handler.
func (t *Transport) decodeMessages(envelopes []envelope) ([]ports.Message, error) {
	messages := make([]ports.Message, 0, len(envelopes))
	for _, e := range envelopes {
		handler, ok := t.handlers[e.Kind]
		if !ok {
			t.counters.unknownKinds.Inc(1)
			continue
		}
		message := handler.newMessage()
		if err := t.codec.Unmarshal(e.Payload, message); err != nil {
			return nil, err
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// filterHandled returns the messages whose kind has a handler and counts the others
// as unknown kinds.
func (t *Transport) filterHandled(messages []ports.Message) []ports.Message {
	var handled []ports.Message
	for _, message := range messages {
		if _, ok := t.handlers[message.Kind()]; ok {
			handled = append(handled, message)
		} else {
			t.counters.unknownKinds.Inc(1)
		}
	}
	return handled
}
