package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
)

// Ends of a relayed connection before the answer to a request, as counted.
const (
	// relayEndCrossed means that the peer may have closed an idle connection before it read
	// the request.
	relayEndCrossed = "crossed"
	// relayEndClosed means that a peer closed it that goes on, relayEndGone that the peer has
	// ended.
	relayEndClosed = "closed"
	relayEndGone   = "gone"
	// relayEndVanished means that the peer doesn't respond any more.
	relayEndVanished = "vanished"
)

// relayTurn says whose turn it is on a relayed connection. It is safe for concurrent use.
type relayTurn struct {
	// answeredAt is when the connection began or the peer last sent something, requestAt when
	// the caller's bytes were last passed on after that, both in nanoseconds since the Unix
	// epoch; requestAt is zero if it is the caller's turn.
	answeredAt, requestAt atomic.Int64
}

func (t *relayTurn) recordAnswer(now time.Time) {
	t.requestAt.Store(0)
	t.answeredAt.Store(now.UnixNano())
}

func (t *relayTurn) recordRequest(now time.Time) {
	t.requestAt.Store(now.UnixNano())
}

// unanswered returns how long a request waits for the first byte of its answer, and how long
// the connection was idle before the last part of the request. It reports false if nothing
// waits.
func (t *relayTurn) unanswered(now time.Time) (waits, idleBefore time.Duration, ok bool) {
	requestAt := t.requestAt.Load()
	return time.Duration(now.UnixNano() - requestAt), time.Duration(requestAt - t.answeredAt.Load()), requestAt > 0
}

// relayEnd returns how a peer ended a connection on which a request waits, by the error of
// reading it.
func relayEnd(peer handoverPeer, readErr error) string {
	switch {
	case !errors.Is(readErr, io.EOF) && !errors.Is(readErr, syscall.ECONNRESET):
		return relayEndVanished
	case isListening(peer):
		return relayEndClosed
	default:
		return relayEndGone
	}
}

// isListening reports whether the peer still accepts connections. A process that ended doesn't,
// though its kernel closes the connections in order.
func isListening(peer handoverPeer) bool {
	conn, err := net.DialTimeout("tcp", peer.address, handoverDialTimeout)
	if err != nil {
		return false
	}
	closeWithReset(conn)
	return true
}

// refusalOfLostRequest counts and logs a request whose answer can't come any more because the
// peer has ended the connection, and returns the bytes of a refusal to send in its place: the
// request may have run. It returns nil if no request waits or this daemon has ended the
// connection, if the peer may not have read the request or goes on, and if only the peer can
// encrypt an answer. A peer that goes on answers what it has read, also before it has read all.
func (h *handover) refusalOfLostRequest(peer handoverPeer, turn *relayTurn, readErr error) []byte {
	waits, idleBefore, ok := turn.unanswered(time.Now())
	if !ok || errors.Is(readErr, net.ErrClosed) {
		return nil
	}
	end := relayEndCrossed
	if !overload.MayHaveCrossedClose(idleBefore, waits) {
		end = relayEnd(peer, readErr)
	}
	h.unanswered.Inc(end)
	if h.logLimiter.Allow("relayed-request-lost", end) {
		h.logger.Warn().Str("event", "relayed-request-lost").Str("peer", string(peer.daemon)).Str("end", end).
			Dur("sinceSent", waits).Dur("idleBefore", idleBefore).Msg("")
	}
	if end == relayEndCrossed || end == relayEndClosed || h.server.keyPair != nil {
		return nil
	}
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusBadGateway}
	h.server.dialect.WriteRefusal(answer, "", &outcome.Refusal{
		Reason: outcome.ReasonConnectionBroken, End: outcome.Unknown,
		Detail: "the daemon that served the connection has ended it",
	})
	return answer.bytes()
}

// bufferedAnswer is a http.ResponseWriter that keeps the answer.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(part []byte) (int, error) { return a.body.Write(part) }

// bytes returns the answer as it is sent on a connection that ends after it, without empty
// header fields.
func (a *bufferedAnswer) bytes() []byte {
	for name, values := range a.header {
		if len(values) == 1 && values[0] == "" {
			delete(a.header, name)
		}
	}
	response := &http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: a.header,
		ContentLength: int64(a.body.Len()), Body: io.NopCloser(&a.body),
	}
	var sent bytes.Buffer
	// Writing to a buffer doesn't fail.
	_ = response.Write(&sent)
	return sent.Bytes()
}
