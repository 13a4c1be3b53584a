package callerhttp

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/adapters/tcpstate"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
)

const (
	// receiveWindow bounds the bytes of a large body that the kernel receives before
	// they are read.
	receiveWindow = 128 << 10
	// unreadLinger is how long a caller whose request was refused unread has to read the
	// answer before its connection is closed.
	unreadLinger = 500 * time.Millisecond
	// firstBodyBuffer is the size of the first buffer for a body of unknown length.
	firstBodyBuffer = 4 << 10
)

// headerSize returns the size of the request line and header in bytes, without
// separators.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}

// headBytes returns the memory that the parsed head of a request needs.
func headBytes(r *http.Request) int64 {
	lines := 2
	for _, values := range r.Header {
		lines += len(values)
	}
	return memory.HeadBytes(headerSize(r)+int64(lines*len(": \r\n")), int64(lines))
}

// receiveBody reads the whole body. It returns a refusal if calls began to be refused
// meanwhile.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, in *IncomingRequest) ([]byte, *outcome.Refusal) {
	body, refusal := s.readBody(w, r, in)
	if refusal != nil {
		return nil, refusal
	}
	if refusal = s.stoppingRefusal(r.Context()); refusal != nil {
		w.Header().Set("Connection", "close")
		return nil, refusal
	}
	return body, nil
}

// readBody reads the whole body and enforces the limits on its size, on the time to
// receive it, and on the memory that is held for callers.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, in *IncomingRequest) ([]byte, *outcome.Refusal) {
	if r.ContentLength > s.limits.MaxBodySize.Bytes() {
		return nil, s.bodyTooLargeRefusal()
	}
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(s.limits.ReceiveTimeout.Value())
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, notRunRefusal(outcome.ReasonInternal, "the read deadline can't be set")
	}
	length := max(r.ContentLength, 0)
	var refusal *outcome.Refusal
	needed := bytesPerCall + headBytes(r) + length + min(length, receiveWindow)
	in.held, refusal = s.memory.reserve(r.Context(), in.Workspace, needed, func() {
		// An error means that the connection is closed already.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	if refusal == nil {
		refusal = s.releaseHead(r)
	}
	if refusal != nil {
		s.refuseUnread(w, r)
		return nil, refusal
	}
	if length > receiveWindow {
		limitReceiveWindow(r)
	}
	// Nobody reads trailers.
	defer func() { r.Trailer = nil }()
	body, err := s.readAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodySize.Bytes()), r.ContentLength, in.held)
	if refusal := in.held.received(); refusal != nil {
		s.refuseUnread(w, r)
		return nil, refusal
	}
	if in.held.wasCut() {
		s.refuseUnread(w, r)
		return nil, newStoppingRefusal("the daemon stops before the request has arrived")
	}
	if err != nil {
		return nil, s.bodyReadRefusal(w, r, err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, notRunRefusal(outcome.ReasonInternal, "the read deadline can't be cleared")
	}
	return body, nil
}

// readAll reads a body of the given length, or up to its end if the length is negative.
// Memory for a body of unknown length is reserved as it arrives.
func (s *Server) readAll(from io.Reader, length int64, held *heldMemory) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	var body []byte
	var next [1]byte
	for {
		// A full buffer grows only if the body goes on.
		free := body[len(body):cap(body)]
		if len(free) == 0 {
			free = next[:]
		}
		n, err := from.Read(free)
		if n > 0 && len(body) == cap(body) {
			grown, growErr := growBody(body, held)
			if growErr != nil {
				return nil, growErr
			}
			body = append(grown, next[0])
		} else {
			body = body[:len(body)+n]
		}
		if eris.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody doubles the buffer of a body. It fails with *outcome.Refusal if there is no
// memory.
func growBody(body []byte, held *heldMemory) ([]byte, error) {
	capacity := max(2*cap(body), firstBodyBuffer)
	if refusal := held.grow(int64(capacity)); refusal != nil {
		return nil, refusal
	}
	grown := append(make([]byte, 0, capacity), body...)
	held.shrink(int64(cap(body)))
	return grown, nil
}

// limitReceiveWindow keeps the kernel from receiving more of a request ahead of the
// reader as the connection gets faster.
func limitReceiveWindow(r *http.Request) {
	if tcp, _ := tcpstate.Unwrap(connFromContext(r.Context())); tcp != nil {
		// An error means that the connection is closed already.
		_ = tcp.SetReadBuffer(receiveWindow)
	}
}

// bodyReadRefusal returns the refusal for an error of reading the body.
func (s *Server) bodyReadRefusal(w http.ResponseWriter, r *http.Request, err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if eris.As(err, &refusal) {
		s.refuseUnread(w, r)
		return refusal
	}
	var tooLarge *http.MaxBytesError
	if eris.As(err, &tooLarge) {
		return s.bodyTooLargeRefusal()
	}
	var netErr net.Error
	if eris.As(err, &netErr) && netErr.Timeout() {
		return notRunRefusal(outcome.ReasonSlowSender, "the request did not arrive within "+s.limits.ReceiveTimeout.Value().String())
	}
	return notRunRefusal(outcome.ReasonMalformedRequest, "the body can't be read")
}

func (s *Server) bodyTooLargeRefusal() *outcome.Refusal {
	return notRunRefusal(outcome.ReasonBodyTooLarge, "the body exceeds "+s.limits.MaxBodySize.String())
}
