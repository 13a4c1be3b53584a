package callerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/overload"
	"hawthornstream/internal/ports"
)

// Ends of a relayed connection before the answer to a request, as counted.
const (
	// relayEndCrossed means that the peer may have closed an idle connection before it read
	// the request.
	relayEndCrossed = "crossed"
	// relayEndClosed means that a peer closed it that goes on, relayEndGone that the peer has
	// ended, also if it was started again since.
	relayEndClosed = "closed"
	relayEndGone   = "gone"
	// relayEndBroken means that the connection broke while the peer, which goes on, had a call
	// on it and had sent nothing of the answer.
	relayEndBroken = "broken"
	// relayEndVanished means that the peer doesn't respond any more.
	relayEndVanished = "vanished"
)

const (
	// endNoticePeriod is the time in which a peer's answer about a broken connection, or the end
	// of its process, is noticed: its kernel may
	// close connections before the listening socket, and a peer that was started again reports
	// its load to this daemon as soon as it knows its failure domain.
	endNoticePeriod = time.Second
	// crossedNoticePeriod is the time for the peer's answer where it probably closed the connection
	// before it read the request.
	crossedNoticePeriod = 150 * time.Millisecond
	// firstEndCheck is the time until the second look at the peer; each further one takes twice
	// as long.
	firstEndCheck = 20 * time.Millisecond
)

// relayTurn says whose turn it is on a relayed connection.
type relayTurn struct {
	start time.Time
	// answeredAt is when the peer last sent something, and requestAt when the first bytes of the
	// caller were passed on after that, both in nanoseconds since start; requestAt is zero if it
	// is the caller's turn.
	answeredAt, requestAt atomic.Int64
	// answer is the last answer of the peer. Only the goroutine that relays answers uses it.
	answer relayedAnswer
}

func newRelayTurn() *relayTurn {
	return &relayTurn{start: time.Now().Add(-1)}
}

func (t *relayTurn) recordAnswer(part []byte) {
	if t.requestAt.Swap(0) > 0 {
		t.answer = relayedAnswer{head: t.answer.head[:0], end: t.answer.end[:0]}
	}
	t.answer.add(part)
	t.answeredAt.Store(int64(time.Since(t.start)))
}

func (t *relayTurn) recordRequest() {
	t.requestAt.CompareAndSwap(0, int64(time.Since(t.start)))
}

// unanswered returns how long a request waits for the first byte of its answer, and how long
// the connection was idle before it. It reports false if nothing waits: what the caller sent
// after the beginning of an answer may belong to the request before.
func (t *relayTurn) unanswered() (waits, idleBefore time.Duration, ok bool) {
	requestAt := time.Duration(t.requestAt.Load())
	waits, idleBefore = time.Since(t.start)-requestAt, requestAt-time.Duration(t.answeredAt.Load())
	return waits, idleBefore, requestAt > 0 && t.answer.isFollowed()
}

// maxRelayedHead is the longest head of an answer that is looked at, in bytes.
const maxRelayedHead = 2 << 10

// lastChunk ends a body with chunks and without trailers.
const lastChunk = "\r\n0\r\n\r\n"

// relayedAnswer is what is kept of an answer to tell whether it is whole.
type relayedAnswer struct {
	head []byte
	size int64
	// end are its last bytes.
	end []byte
}

func (a *relayedAnswer) add(part []byte) {
	a.head = append(a.head, part[:min(len(part), maxRelayedHead-len(a.head))]...)
	a.size += int64(len(part))
	a.end = append(a.end, part[max(0, len(part)-len(lastChunk)):]...)
	a.end = append(a.end[:0], a.end[max(0, len(a.end)-len(lastChunk)):]...)
}

// isFollowed reports whether the answer, if there is one, is known to be whole and not the last
// one on its connection.
func (a *relayedAnswer) isFollowed() bool {
	if a.size == 0 {
		return true
	}
	head, _, _ := bytes.Cut(a.head, []byte("\r\n\r\n"))
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(a.head)), nil)
	if err != nil || response.Close || httpanswer.CheckHead(response) != nil {
		return false
	}
	_ = response.Body.Close()
	if response.ContentLength < 0 {
		return len(response.TransferEncoding) > 0 && string(a.end) == lastChunk
	}
	return a.size == int64(len(head)+len("\r\n\r\n"))+response.ContentLength
}

// lostRelay is a relayed connection that has ended.
type lostRelay struct {
	peer handoverPeer
	// servedBy is the incarnation of the peer that served the connection; zero if unknown.
	servedBy ports.Incarnation
	// address is this daemon's end.
	address string
	// readErr is the error of reading it.
	readErr error
}

// relayEnd returns how a connection ended on which a request waits, which may have crossed the end
// of the idle connection.
func (h *handover) relayEnd(lost lostRelay, mayHaveCrossed bool) string {
	if !mayHaveCrossed && !errors.Is(lost.readErr, io.EOF) && !errors.Is(lost.readErr, syscall.ECONNRESET) {
		return relayEndVanished
	}
	unanswered, forget := h.breaks.add(relayBreak{peer: lost.peer.daemon, address: lost.address})
	defer forget()
	period, otherwise := endNoticePeriod, relayEndClosed
	if mayHaveCrossed {
		period, otherwise = crossedNoticePeriod, relayEndCrossed
	}
	deadline := time.Now().Add(period)
	for wait := firstEndCheck; ; wait *= 2 {
		// What broke the connection may have broken the session with the question, too.
		h.table.transport.Send(lost.peer.daemon, &ports.RelayBreak{Connections: []string{lost.address}})
		if !mayHaveCrossed && h.hasEnded(lost) {
			return relayEndGone
		}
		left := time.Until(deadline)
		if left <= 0 {
			return otherwise
		}
		select {
		case <-unanswered:
			return relayEndBroken
		case <-time.After(min(wait, left)):
		}
	}
}

// hasEnded reports whether the process that served the connection is known to have ended, or to
// have been started again.
func (h *handover) hasEnded(lost lostRelay) bool {
	current := h.table.incarnations.PeerIncarnation(lost.peer.daemon)
	return lost.servedBy != 0 && current != 0 && current != lost.servedBy || !isListening(lost.peer)
}

// isListening reports whether a process may accept connections at the peer's address. One that
// ended doesn't, though its kernel closes the connections in order. A peer that is late, or a lack
// of descriptors here, doesn't tell.
func isListening(peer handoverPeer) bool {
	conn, err := net.DialTimeout("tcp", peer.address, handoverDialTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	closeWithReset(conn)
	return true
}

// refusalOfLostRequest counts and logs a request whose answer can't come any more because the
// connection to the peer has ended, and returns the bytes of a refusal to send in its place: the
// request may have run. It returns nil if no request waits or this daemon has ended the
// connection, if the peer may not have read the request or has closed the connection by itself,
// and if only the peer can encrypt an answer. A peer that goes on answers what it has read, also
// before it has read all.
func (h *handover) refusalOfLostRequest(lost lostRelay, turn *relayTurn) []byte {
	waits, idleBefore, ok := turn.unanswered()
	if !ok || errors.Is(lost.readErr, net.ErrClosed) {
		return nil
	}
	end := h.relayEnd(lost, overload.MayHaveCrossedClose(idleBefore, waits))
	h.requestsLost.Inc(end)
	if h.logLimiter.Allow("relayed-request-lost", end) {
		h.logger.Warn().Str("event", "relayed-request-lost").Str("peer", string(lost.peer.daemon)).Str("end", end).
			Dur("sinceSent", waits).Dur("idleBefore", idleBefore).Msg("")
	}
	if end == relayEndCrossed || end == relayEndClosed || h.server.keyPair != nil {
		return nil
	}
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusBadGateway}
	h.server.dialect.WriteRefusal(answer, "", &outcome.Refusal{
		Reason: outcome.ReasonConnectionBroken, End: outcome.Unknown,
		Detail: "the connection to the daemon that served the call has ended",
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
