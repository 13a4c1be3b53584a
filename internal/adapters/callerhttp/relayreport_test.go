package callerhttp

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
	"hawthornstream/internal/ports"
)

// linkedTransport is a fake of the transport between daemons, which delivers at once.
type linkedTransport struct {
	ports.PeerTransport

	mu       sync.Mutex
	peers    map[ports.DaemonID]*linkedTransport
	handlers map[ports.MessageKind]func(ports.DaemonID, ports.Message)
	// lost is the number of further messages that are lost.
	lost int
	// incarnation is that of each peer.
	incarnation ports.Incarnation
}

func (l *linkedTransport) PeerIncarnation(ports.DaemonID) ports.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

func (l *linkedTransport) setIncarnation(incarnation ports.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation = incarnation
}

func (l *linkedTransport) Handle(
	kind ports.MessageKind, _ func() ports.Message, handler func(ports.DaemonID, ports.Message),
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers = map[ports.MessageKind]func(ports.DaemonID, ports.Message){kind: handler}
}

func (l *linkedTransport) Send(to ports.DaemonID, message ports.Message) {
	l.mu.Lock()
	peer := l.peers[to]
	isLost := l.lost > 0
	l.lost--
	l.mu.Unlock()
	if peer != nil && !isLost {
		peer.handlers[message.Kind()]("sender", message)
	}
}

// lose makes the transport lose so many further messages.
func (l *linkedTransport) lose(messages int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = messages
}

func (l *linkedTransport) link(name ports.DaemonID, peer *linkedTransport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = map[ports.DaemonID]*linkedTransport{name: peer}
}

// keptConnection is a caller's connection that stays open for several requests.
type keptConnection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (d *handoverDaemon) dial(t *testing.T) *keptConnection {
	t.Helper()
	conn, err := net.Dial("tcp", d.callersAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConnection{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// exchange sends a request and returns its answer with the body read.
func (c *keptConnection) exchange() *http.Response {
	c.t.Helper()
	return c.exchangeBody("body")
}

func (c *keptConnection) exchangeBody(body string) *http.Response {
	c.t.Helper()
	request := newRequest(c.t, http.MethodPost, "http://callers/services/registry/x", body)
	if err := request.Write(c.conn); err != nil {
		c.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	return response
}

// A stopping daemon asks its callers to close their connections, and then refuses calls,
// also on connections that it relays to a peer, which doesn't stop. Messages to the peer
// may be lost.
func TestPeerDoesNotTakeCallsThatRelayWouldCut(t *testing.T) {
	for _, lost := range []int{0, 1} {
		late, idle := startHandoverDaemon(t, answerWith("late")), startHandoverDaemon(t, answerWith("idle"))
		idle.offerTo(late)
		late.makeLate()
		closing, refusing := late.dial(t), late.dial(t)
		for _, conn := range []*keptConnection{closing, refusing} {
			if response := conn.exchange(); response.StatusCode != http.StatusOK || response.Close {
				t.Fatalf("status %d, closes %v before the stop", response.StatusCode, response.Close)
			}
		}
		late.transport.lose(lost)
		late.AnnounceStop(time.Time{})
		idle.waitForRelayStops(t, "closing", 2)
		if response := closing.exchange(); response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("status %d, closes %v after the announcement", response.StatusCode, response.Close)
		}
		late.transport.lose(lost)
		late.RefuseCalls()
		idle.waitForRelayStops(t, "refusing", 1)
		if response := refusing.exchange(); response.StatusCode != http.StatusServiceUnavailable || !response.Close {
			t.Errorf("status %d, closes %v once calls are refused", response.StatusCode, response.Close)
		}
	}
}

// The peer took calls on relayed connections, and kept them waiting, that were cut at the end of
// the relay's stop.
func TestPeerTakesNoCallThatEndOfRelaysStopCuts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		execute executorFunc
		// length is how long earlier calls took. The stop ends after cutAfter.
		length, cutAfter time.Duration
		wantStatus       int
		wantRun          outcome.RunState
	}{
		{"short", answerWith("answer"), time.Second, 10 * time.Second, http.StatusOK, outcome.Ran},
		{"long", answerWith("answer"), 11 * time.Second, 10 * time.Second, http.StatusServiceUnavailable, outcome.NotRun},
		{"waits too long", waitUntilRefused, 500 * time.Millisecond, time.Second, http.StatusServiceUnavailable, outcome.NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			late, idle := startHandoverDaemon(t, answerWith("late")), startHandoverDaemon(t, tt.execute)
			idle.recordLengths(tt.length)
			idle.offerTo(late)
			late.makeLate()
			conn := late.dial(t)
			waitUntil(t, "a connection is relayed", func() bool { return len(late.handover.relaysByPeer.addresses()) > 0 })
			// A signal in a planned stop moves its end.
			late.AnnounceStop(time.Now().Add(time.Hour))
			idle.waitForRelayStops(t, "closing", 1)
			cutAt := time.Now().Add(tt.cutAfter)
			late.AnnounceStop(cutAt)
			waitUntil(t, "the cut is known", func() bool { return idle.knowsCut(time.Minute) })
			if err := conn.conn.SetDeadline(cutAt); err != nil {
				t.Fatal(err)
			}
			response := conn.exchange()
			if run := response.Header.Get(headerRun); response.StatusCode != tt.wantStatus || run != string(tt.wantRun) || !response.Close {
				t.Errorf("status %d, run %q, closes %v", response.StatusCode, run, response.Close)
			}
		})
	}
}

// None of a stopping daemon's messages reached the peer, which took calls until they were cut
// with the relay.
func TestPeerTakesNoCallsFromRelayThatIsSilentForAnAnnouncement(t *testing.T) {
	const announcement = 2 * time.Second
	for _, tt := range []struct {
		name       string
		lost       int
		wantStatus int
		wantRun    outcome.RunState
	}{
		{"stops, all messages lost", math.MaxInt, http.StatusServiceUnavailable, outcome.NotRun},
		{"doesn't stop, a message lost", 1, http.StatusOK, outcome.Ran},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			late, idle := startHandoverDaemon(t, answerWith("late")), startHandoverDaemon(t, executorFunc(
				func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
					if string(call.Body) == "long" {
						time.Sleep(announcement)
					}
					return answerWith("idle")(ctx, call, sink)
				}))
			idle.offerTo(late)
			late.makeLate()
			late.transport.lose(tt.lost)
			kept, inProgress := late.dial(t), late.dial(t)
			for _, conn := range []*keptConnection{kept, inProgress} {
				if response := conn.exchange(); response.StatusCode != http.StatusOK || response.Close {
					t.Fatalf("status %d, closes %v", response.StatusCode, response.Close)
				}
			}
			if tt.lost == math.MaxInt {
				late.AnnounceStop(time.Time{})
			}
			// This one is in progress for the announcement.
			if response := inProgress.exchangeBody("long"); response.StatusCode != http.StatusOK || !response.Close {
				t.Errorf("in progress: status %d, closes %v", response.StatusCode, response.Close)
			}
			response := kept.exchange()
			if run := response.Header.Get(headerRun); response.StatusCode != tt.wantStatus || run != string(tt.wantRun) || !response.Close {
				t.Errorf("status %d, run %q, closes %v", response.StatusCode, run, response.Close)
			}
		})
	}
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", condition)
		}
	}
}

// knowsCut reports whether a connection that the daemon took over is known to be cut off within
// the time.
func (d *handoverDaemon) knowsCut(within time.Duration) bool {
	conns := d.handover.takenOverConns
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for _, conn := range conns.conns {
		if cutAt, ok := conn.cutAt.get(); ok && time.Until(cutAt) < within {
			return true
		}
	}
	return false
}

// A peer was being asked for a connection when the stop began.
func TestStoppingDaemonHandsNoMoreConnectionsOver(t *testing.T) {
	late, idle := startHandoverDaemon(t, answerWith("late")), startHandoverDaemon(t, answerWith("idle"))
	idle.offerTo(late)
	late.makeLate()
	late.stopAnnounced.Store(true)
	late.mustAnswer(t, "late")
}

// waitForRelayStops waits until the daemon knows of so many connections that their relay
// is in the state.
func (d *handoverDaemon) waitForRelayStops(t *testing.T, state string, want int64) {
	t.Helper()
	waitUntil(t, "connections are "+state, func() bool {
		for _, counter := range d.scope.Snapshot().Counters() {
			if counter.Name() == "callers.taken_over_connections_stopping" && counter.Tags()["relay"] == state && counter.Value() >= want {
				return true
			}
		}
		return false
	})
}

// sameAddresses is a connection whose addresses an earlier one had, too.
type sameAddresses struct {
	net.Conn

	// number tells connections from each other.
	number int
}

func (sameAddresses) LocalAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 40001}
}
func (sameAddresses) RemoteAddr() net.Addr { return sameAddresses{}.LocalAddr() }

// The kernel gives the port of a relayed connection that has just ended to the next one,
// before the goroutines of the first have ended.
func TestStopReachesConnectionThatReusesAnAddress(t *testing.T) {
	first, second := &sameAddresses{number: 1}, &sameAddresses{number: 2}
	address := second.LocalAddr().String()
	relays := newOpenRelays()
	remove := relays.add("peer", first)
	defer relays.add("peer", second)()
	remove()
	if got := relays.addresses()["peer"]; len(got) != 1 || got[0] != address {
		t.Errorf("the relaying daemon tells of %v, want %s", got, address)
	}
	conns := newTakenOverConns()
	conns.add(first)
	conns.add(second)
	conns.connState(first, http.StateClosed)
	if news := conns.recordStop([]string{address}, overload.RelayRefusing, time.Time{}); news != 1 {
		t.Errorf("the stop is news for %d connections, want 1", news)
	}
	conns.connState(second, http.StateClosed)
	if len(conns.conns) != 0 {
		t.Error("an ended connection is kept")
	}
}

// A caller was still sending the body when calls began to be refused. The call might not end
// before the connection does. One that had not arrived whole at the cut got no answer.
func TestRequestThatArrivesWholeOnceCallsAreRefusedIsNotRun(t *testing.T) {
	const cutAfter = 300 * time.Millisecond
	stopNow := func(s *Server) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	}
	for name, c := range map[string]struct {
		isRelayed bool
		// cut leads to the cut of the connection, if the body doesn't arrive whole.
		cut func(*Server)
	}{
		"direct":                 {},
		"relayed":                {isRelayed: true},
		"direct, not whole":      {cut: func(s *Server) { s.AnnounceStop(time.Now().Add(cutAfter)) }},
		"relayed, not whole":     {isRelayed: true, cut: func(s *Server) { s.AnnounceStop(time.Now().Add(cutAfter)) }},
		"not whole, interrupted": {cut: stopNow},
	} {
		isRelayed := c.isRelayed
		late, idle := startHandoverDaemon(t, answerWith("late")), startHandoverDaemon(t, answerWith("idle"))
		serving := late
		if isRelayed {
			idle.offerTo(late)
			late.makeLate()
			serving = idle
		}
		conn := late.dial(t)
		head := "POST /services/registry/x HTTP/1.1\r\nHost: h\r\nAuthorization: " + bearerPrefix + testKey + "\r\nContent-Length: 4\r\n\r\n"
		if _, err := io.WriteString(conn.conn, head+"bo"); err != nil {
			t.Fatal(err)
		}
		for !serving.isReceiving() {
			time.Sleep(time.Millisecond)
		}
		if c.cut != nil {
			go c.cut(late.Server)
			if err := conn.conn.SetReadDeadline(time.Now().Add(cutAfter)); err != nil {
				t.Fatal(err)
			}
		} else {
			late.AnnounceStop(time.Time{})
			late.RefuseCalls()
			if isRelayed {
				idle.waitForRelayStops(t, "refusing", 1)
			}
			if _, err := io.WriteString(conn.conn, "dy"); err != nil {
				t.Fatal(err)
			}
		}
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		_ = response.Body.Close()
		if run := response.Header.Get(headerRun); response.StatusCode != http.StatusServiceUnavailable || !response.Close || run != string(outcome.NotRun) {
			t.Errorf("%s: status %d, closes %v, run %q", name, response.StatusCode, response.Close, run)
		}
	}
}

// isReceiving reports whether the daemon reads the body of a request.
func (d *handoverDaemon) isReceiving() bool {
	d.memory.mu.Lock()
	defer d.memory.mu.Unlock()
	return d.memory.account.Held(memory.KindReceiving) > 0
}

// A daemon with room for a million connections stops while nearly all new ones are handed
// over to one peer. The transport drops messages above its limit.
func TestReportOfManyRelaysFitsIntoMessages(t *testing.T) {
	const relays = 200_000
	var mu sync.Mutex
	var told, vouched, largest int
	linked := &linkedTransport{}
	linked.Handle(ports.KindRelayReport, nil, func(_ ports.DaemonID, message ports.Message) {
		mu.Lock()
		defer mu.Unlock()
		report := message.(*ports.RelayReport)
		told += len(report.Connections)
		vouched += len(report.OpenPorts)
		size := len(report.OpenHost) + 3*len(report.OpenPorts)
		for _, address := range report.Connections {
			size += len(address)
		}
		largest = max(largest, size)
	})
	late := startHandoverDaemon(t, answerWith("late"))
	late.transport.link("peer", linked)
	for i := range relays {
		late.handover.relaysByPeer.add("peer", &sameAddresses{number: i})
	}
	late.handover.sendStop()
	late.handover.vouch(time.Now().Add(time.Minute))
	mu.Lock()
	defer mu.Unlock()
	if told != relays || vouched < relays || largest > 1<<16 {
		t.Errorf("told of %d relays and vouched for %d, in messages of up to %d B", told, vouched, largest)
	}
}

// A call was in progress when the stop was announced, and its answer begins later.
func TestAnswerThatBeginsAfterTheAnnouncementAsksToClose(t *testing.T) {
	for _, isRelayed := range []bool{false, true} {
		called, proceed := make(chan struct{}), make(chan struct{})
		answer := executorFunc(func(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
			close(called)
			<-proceed
			return answerWith("answer")(ctx, call, sink)
		})
		late, idle := startHandoverDaemon(t, answer), startHandoverDaemon(t, answer)
		if isRelayed {
			idle.offerTo(late)
			late.makeLate()
		}
		go func() {
			<-called
			late.AnnounceStop(time.Time{})
			if isRelayed {
				idle.waitForRelayStops(t, "closing", 1)
			}
			close(proceed)
		}()
		if response := late.dial(t).exchange(); response.StatusCode != http.StatusOK || !response.Close || response.Header.Get("Keep-Alive") != "" {
			t.Errorf("relayed %v: status %d, closes %v, Keep-Alive %q", isRelayed, response.StatusCode, response.Close, response.Header.Get("Keep-Alive"))
		}
	}
}
