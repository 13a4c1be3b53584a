package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// startScriptedPeer starts a late daemon and a peer, which has answered the first request of the
// returned connection. The peer calls end when the second one has arrived.
func startScriptedPeer(t *testing.T, end func(net.Listener, *net.TCPConn)) (*handoverDaemon, *keptConnection) {
	t.Helper()
	d := startHandoverDaemon(t, answerWith("late"))
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte{handoverAccepted})
		reader := bufio.NewReader(conn)
		for _, answer := range []func(){
			func() { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") },
			func() { end(listener, conn.(*net.TCPConn)) },
		} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			answer()
		}
	}()
	offer := &ports.HandoverOffer{Domain: "d", Address: listener.Addr().String(), SpareMillicores: 500}
	d.handover.table.SetPeerOffer("peer", offer)
	d.makeLate()
	caller := d.dial(t)
	caller.exchange("body")
	return d, caller
}

// The peer that served a relayed connection was killed, and perhaps started again at once: its
// callers' requests were passed on and their connections closed without an answer.
func TestRequestIsAnsweredWhenItsPeerEnds(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"
	for name, c := range map[string]struct {
		answer, want, wantLost string
		goesOn, isReset        bool
		idle                   time.Duration
		// restarts says that the peer is known to be another process a while later, closesLater
		// that its listening socket is closed then.
		restarts, closesLater bool
	}{
		"ended":                            {want: "HTTP/1.1 502 ", wantLost: relayEndGone},
		"ended with a reset":               {isReset: true, want: "HTTP/1.1 502 ", wantLost: relayEndGone},
		"goes on after a reset":            {goesOn: true, isReset: true, wantLost: relayEndClosed},
		"goes on":                          {goesOn: true, wantLost: relayEndClosed},
		"ended, its listening socket last": {goesOn: true, closesLater: true, want: "HTTP/1.1 502 ", wantLost: relayEndGone},
		"ended and started again":          {goesOn: true, restarts: true, want: "HTTP/1.1 502 ", wantLost: relayEndGone},
		"closed as idle":                   {idle: 600 * time.Millisecond, wantLost: relayEndCrossed},
		"answer begun":                     {answer: begun, want: begun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var late *handoverDaemon
			var caller *keptConnection
			late, caller = startScriptedPeer(t, func(listener net.Listener, conn *net.TCPConn) {
				_, _ = io.WriteString(conn, c.answer)
				if !c.goesOn {
					_ = listener.Close()
				}
				if c.isReset {
					closeWithReset(conn)
				}
				_ = conn.Close()
				time.Sleep(200 * time.Millisecond)
				if c.closesLater {
					_ = listener.Close()
				}
				if c.restarts {
					late.transport.setIncarnation(2)
				}
			})
			time.Sleep(c.idle)
			caller.send("body")
			got, _ := io.ReadAll(caller.reader)
			if c.want == "" && len(got) > 0 || !strings.HasPrefix(string(got), c.want) || c.wantLost == "" && string(got) != c.want {
				t.Errorf("the caller got %q, want %q", got, c.want)
			}
			if strings.Contains(string(got), " 502 ") && !strings.Contains(string(got), "\r\nHawthornstream-Run: unknown\r\n") {
				t.Errorf("the refusal %q doesn't say that the call may have run", got)
			}
			if lost := late.lostRequests(); lost != c.wantLost {
				t.Errorf("counted as lost: %q, want %q", lost, c.wantLost)
			}
		})
	}
}

// lostRequests returns the ends of the relayed requests that are counted as lost.
func (d *handoverDaemon) lostRequests() string {
	var ends []string
	for _, counter := range d.scope.Snapshot().Counters() {
		if counter.Name() == "callers.relayed_requests_lost" && counter.Value() > 0 {
			ends = append(ends, counter.Tags()["end"])
		}
	}
	return strings.Join(ends, " ")
}

// A refusal of the relaying daemon must not become a part of an answer, nor follow the last one.
func TestRelayAnswersOnlyAfterWholeAnswer(t *testing.T) {
	for answer, want := range map[string]bool{
		"":                              true,
		"HTTP/1.1 200 OK\r\nContent-Le": false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no":                                                    false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                                   true,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok":                              false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n":                                 false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":                        true,
		"HTTP/1.1 200 OK\r\n\r\nup to the end":                                                             false,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxRelayedHead) + "\r\nContent-Length: 2\r\n\r\nok": false,
	} {
		for _, size := range []int{1, len(answer)} {
			turn := newRelayTurn()
			turn.recordRequest()
			for rest := []byte(answer); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				turn.recordAnswer(rest[:min(size, len(rest))])
			}
			turn.recordRequest()
			if _, _, got := turn.unanswered(); got != want {
				t.Errorf("%q: a request waits after it: %v", answer[:min(len(answer), 80)], got)
			}
		}
	}
}
