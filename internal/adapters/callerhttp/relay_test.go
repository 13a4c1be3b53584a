package callerhttp

import (
	"errors"
	"io"
	"net"
	"testing"

	"hawthornstream/internal/adapters/tcpstate"
)

// dialPair returns both ends of a connection.
func dialPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener := listen(t)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// The daemon that served a connection reset it within an upload, which the relay's write got to
// know. The caller's connection ended in order, and an answer that ends with it looked whole.
func TestRelayPassesResetDuringUploadOn(t *testing.T) {
	const tries, answer = 100, "part of an answer"
	for name, c := range map[string]struct {
		end     func(peer *net.TCPConn)
		inOrder bool
	}{
		"reset":  {end: func(peer *net.TCPConn) { closeWithReset(peer) }, inOrder: false},
		"closed": {end: func(peer *net.TCPConn) { _ = peer.CloseWrite(); _, _ = io.Copy(io.Discard, peer) }, inOrder: true},
	} {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range tries {
				callerEnd, relayCaller := dialPair(t)
				relayPeer, peerEnd := dialPair(t)
				r := relay{caller: relayCaller, peer: relayPeer, gather: func() bool { return false }, refusal: func(*relayTurn, error) []byte { return nil }}
				go r.run()
				caller := tcpstate.NewDuplex(callerEnd)
				go func() {
					for chunk := make([]byte, 32<<10); ; {
						if _, err := caller.Write(chunk); err != nil {
							return
						}
					}
				}()
				go func() {
					_, _ = io.ReadFull(peerEnd, make([]byte, 256<<10))
					_, _ = io.WriteString(peerEnd, answer)
					c.end(peerEnd)
				}()
				got, err := io.ReadAll(caller)
				var writeFailed *tcpstate.WriteFailedError
				inOrder := err == nil || errors.As(err, &writeFailed) && writeFailed.FollowsClose()
				if inOrder != c.inOrder || string(got) != answer {
					wrong++
				}
				_, _ = callerEnd.Close(), peerEnd.Close()
			}
			if wrong > 0 {
				t.Errorf("%d of %d relayed connections ended otherwise than the peer's", wrong, tries)
			}
		})
	}
}
