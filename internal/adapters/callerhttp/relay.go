package callerhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"hawthornstream/internal/adapters/tcpstate"
)

const (
	// relayRequestBuffer and relayAnswerBuffer are the sizes of a relay's buffers in
	// bytes, toward the daemon that serves the connection and toward the caller.
	relayRequestBuffer = 8 << 10
	relayAnswerBuffer  = 16 << 10
	// gatherPeriod is the time for which a busy daemon lets bytes toward a caller
	// gather before it passes them on together. The first ones after a pause are passed
	// on at once.
	gatherPeriod = 60 * time.Millisecond
	// relayLinger is the time that a caller has to close its connection after the
	// serving daemon has closed it.
	relayLinger = 500 * time.Millisecond
)

// silentRelayPeriod is the time without bytes from the daemon after which the kernel is
// asked to detect ends that vanished without closing their connections. Most relays end
// before, and need no system calls for it.
const silentRelayPeriod = 3 * time.Second

// relayUnacknowledgedTimeout is the longest time that a request may stay unacknowledged by the
// kernel of the daemon that serves the connection.
const relayUnacknowledgedTimeout = 5 * time.Second

// relayKeepAlive detects ends that vanished while nothing is sent to them.
var relayKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Pools of a relay's buffers.
var (
	requestBuffers = sync.Pool{New: func() any { return new([relayRequestBuffer]byte) }}
	answerBuffers  = sync.Pool{New: func() any { return new([relayAnswerBuffer]byte) }}
)

// relay copies bytes between a caller and the daemon that serves it, without parsing
// them. An orderly end of the daemon's side is passed on as one, its reset as a reset, or after
// a refusal if a request waits for its answer. The end of the caller's side cancels its calls
// at the daemon, as it would here.
type relay struct {
	caller, peer *net.TCPConn
	// peerConn reads from and writes to peer.
	peerConn *tcpstate.Duplex
	// gather reports whether bytes toward the caller should be passed on together.
	gather func() bool
	// refusal returns what to send to the caller when the daemon has ended the connection;
	// nil for nothing.
	refusal func(turn *relayTurn, readErr error) []byte
	turn    *relayTurn
	// deadlineSetAt is when the caller's write deadline was last set.
	deadlineSetAt time.Time
}

// run relays until both directions have ended, and closes both connections.
func (r *relay) run() {
	r.turn = newRelayTurn()
	r.peerConn = tcpstate.NewDuplex(r.peer)
	var requests sync.WaitGroup
	requests.Go(r.relayRequests)
	r.relayAnswers()
	requests.Wait()
	_ = r.peer.Close()
	_ = r.caller.Close()
}

// relayRequests copies from the caller to the daemon. What a caller sent that has hung
// up meanwhile is dropped.
func (r *relay) relayRequests() {
	buffer := requestBuffers.Get().(*[relayRequestBuffer]byte)
	defer requestBuffers.Put(buffer)
	for {
		n, err := r.caller.Read(buffer[:])
		if err != nil || hungUp(r.caller) {
			closeWithReset(r.peer)
			return
		}
		r.turn.recordRequest()
		if _, err := r.peerConn.Write(buffer[:n]); err != nil {
			// The daemon has closed or lost the connection; relayAnswers passes on what
			// it has sent before.
			return
		}
	}
}

// relayAnswers copies from the daemon to the caller.
func (r *relay) relayAnswers() {
	buffer := answerBuffers.Get().(*[relayAnswerBuffer]byte)
	defer answerBuffers.Put(buffer)
	// An error means that the connection is closed already, which Read reports.
	_ = r.peer.SetReadDeadline(time.Now().Add(silentRelayPeriod))
	for {
		n, readErr := r.peerConn.Read(buffer[:])
		if n > 0 {
			r.turn.recordAnswer(buffer[:n])
		}
		if n > 0 && !r.writeToCaller(buffer[:n]) {
			closeWithReset(r.peer)
			closeWithReset(r.caller)
			return
		}
		switch {
		case errors.Is(readErr, os.ErrDeadlineExceeded):
			r.detectVanishedEnds()
		case readErr == nil:
			if r.gather() {
				time.Sleep(gatherPeriod)
			}
		default:
			r.endAnswers(endOfPeer(readErr))
			return
		}
	}
}

// endAnswers ends the caller's connection after the daemon's has ended with readErr.
func (r *relay) endAnswers(readErr error) {
	refusal := r.refusal(r.turn, readErr)
	if refusal == nil && !errors.Is(readErr, io.EOF) || refusal != nil && !r.writeToCaller(refusal) {
		closeWithReset(r.caller)
		return
	}
	_ = r.caller.CloseWrite()
	_ = r.caller.SetReadDeadline(time.Now().Add(relayLinger))
}

// endOfPeer returns io.EOF if the daemon closed its side in order before it reset the connection, as
// after an answer to a request that it has not read to the end, and otherwise readErr.
func endOfPeer(readErr error) error {
	var writeFailed *tcpstate.WriteFailedError
	if errors.As(readErr, &writeFailed) && writeFailed.FollowsClose() {
		return io.EOF
	}
	return readErr
}

// detectVanishedEnds makes the kernel end connections whose other end has vanished.
func (r *relay) detectVanishedEnds() {
	// Errors mean that the connection is closed already, which Read and Write report.
	_ = r.peer.SetReadDeadline(time.Time{})
	_ = r.peer.SetKeepAliveConfig(relayKeepAlive)
	_ = r.caller.SetKeepAliveConfig(relayKeepAlive)
	if raw, err := r.peer.SyscallConn(); err == nil {
		_ = tcpstate.SetUnacknowledgedTimeout(raw, relayUnacknowledgedTimeout)
	}
}

func (r *relay) writeToCaller(part []byte) bool {
	if now := time.Now(); now.Sub(r.deadlineSetAt) >= writeDeadlineInterval {
		if r.caller.SetWriteDeadline(now.Add(writeTimeout)) != nil {
			return false
		}
		r.deadlineSetAt = now
	}
	_, err := r.caller.Write(part)
	return err == nil
}
