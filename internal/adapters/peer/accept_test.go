package peer

import (
	"net"
	"testing"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"hawthornstream/internal/ports"
)

// rawSession is the dialling side of a session whose frames the test sends itself.
type rawSession struct {
	t      *testing.T
	codec  *codec
	conn   *drpcconn.Conn
	stream drpc.Stream
}

// openRawSession opens a session to a node without TLS and sends a first frame with the
// hello, which may be nil.
func openRawSession(t *testing.T, to *node, hello *helloMessage) *rawSession {
	t.Helper()
	conn, err := net.Dial("tcp", to.Address())
	if err != nil {
		t.Fatal(err)
	}
	s := &rawSession{t: t, codec: to.codec, conn: drpcconn.New(conn)}
	t.Cleanup(func() { _ = s.conn.Close() })
	if s.stream, err = s.conn.NewStream(t.Context(), exchangeMethod, s.codec); err != nil {
		t.Fatal(err)
	}
	s.sendFrame(frame{Hello: hello})
	return s
}

func (s *rawSession) sendFrame(f frame) {
	s.t.Helper()
	if err := s.stream.MsgSend(&f, s.codec); err != nil {
		s.t.Log("send:", err)
	}
}

// sendProbe sends a probe and requests its acknowledgement.
func (s *rawSession) sendProbe(sequence uint64) {
	s.t.Helper()
	encoded, err := s.codec.encodeMessage(&ports.Probe{Sequence: sequence})
	if err != nil {
		s.t.Fatal(err)
	}
	s.sendFrame(frame{Messages: []envelope{encoded}, AckRequest: sequence})
}

// receiveReply waits for a reply. It returns the error if the session ends instead.
func (s *rawSession) receiveReply() error {
	var r reply
	return s.stream.MsgRecv(&r, s.codec)
}

// newHello returns a valid hello from daemon "x" to daemon "a".
func newHello(incarnation ports.Incarnation, session uint64) *helloMessage {
	return &helloMessage{Version: protocolVersion, From: "x", To: "a", Incarnation: incarnation, Session: session}
}

// An interrupted connection may deliver its frames after a later session has replaced
// its session. Then neither these frames nor its hello may be accepted.
func TestSupersededSessionIsNotHandled(t *testing.T) {
	a := startNode(t, "a", testTiming())
	first := openRawSession(t, a, newHello(1, 1))
	first.sendProbe(1)
	if err := first.receiveReply(); err != nil {
		t.Fatal(err)
	}
	second := openRawSession(t, a, newHello(1, 2))
	second.sendProbe(2)
	if err := second.receiveReply(); err != nil {
		t.Fatal(err)
	}
	first.sendProbe(3)
	if err := first.receiveReply(); err == nil {
		t.Error("the earlier session is still served after a later one")
	}
	late := openRawSession(t, a, newHello(1, 1))
	late.sendProbe(4)
	if err := late.receiveReply(); drpcerr.Code(err) != codeSuperseded {
		t.Errorf("an earlier session that is opened late ended with %v", err)
	}
	eventually(t, "the two messages are handled", func() bool { return a.receivedCount() >= 2 })
	if got := a.receivedCount(); got != 2 {
		t.Errorf("%d messages handled, want 2", got)
	}
}

// A restarted daemon has another incarnation and counts its sessions from the start.
func TestSessionNumbersAreComparedWithinOneIncarnationOnly(t *testing.T) {
	a := startNode(t, "a", testTiming())
	for i, hello := range []*helloMessage{newHello(5, 9), newHello(6, 1), newHello(4, 1)} {
		s := openRawSession(t, a, hello)
		s.sendProbe(uint64(i + 1))
		if err := s.receiveReply(); err != nil {
			t.Errorf("session %d of incarnation %d: %v", hello.Session, hello.Incarnation, err)
		}
		if known := a.PeerIncarnation("x"); known != hello.Incarnation {
			t.Errorf("the sender is known as incarnation %d, want %d", known, hello.Incarnation)
		}
	}
}

func TestInvalidHelloIsRefused(t *testing.T) {
	a := startNode(t, "a", testTiming())
	cases := []struct {
		name     string
		hello    *helloMessage
		wantCode uint64
	}{
		{"none", nil, codeMalformed},
		{"without sender", &helloMessage{Version: protocolVersion, To: "a"}, codeMalformed},
		{"other version", &helloMessage{Version: protocolVersion + 1, From: "x", To: "a"}, codeProtocolVersion},
		{"other daemon", &helloMessage{Version: protocolVersion, From: "x", To: "b"}, codeWrongDaemon},
		{"from itself", &helloMessage{Version: protocolVersion, From: "a", To: "a"}, codeWrongDaemon},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := openRawSession(t, a, c.hello)
			if err := s.receiveReply(); drpcerr.Code(err) != c.wantCode {
				t.Errorf("ended with %v, want code %d", err, c.wantCode)
			}
		})
	}
}

func TestMessageOfUnknownKindIsCountedAndSkipped(t *testing.T) {
	a := startNode(t, "a", testTiming())
	s := openRawSession(t, a, newHello(1, 1))
	s.sendFrame(frame{Messages: []envelope{{Kind: 250, Payload: []byte{0xa0}}}})
	s.sendProbe(1)
	if err := s.receiveReply(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the known message is handled", func() bool { return a.receivedCount() == 1 })
	if got := a.counterSum("peer_unknown_kinds", ""); got != 1 {
		t.Errorf("%d unknown kinds counted, want 1", got)
	}
}
