package callerhttp

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/core/outcome"
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

// readBody reads the whole body and enforces the limits on its size and on the
// time to receive it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	if r.ContentLength > s.limits.MaxBodySize.Bytes() {
		return nil, s.bodyTooLargeRefusal()
	}
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(s.limits.ReceiveTimeout.Value())
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, notRunRefusal(outcome.ReasonInternal, "the read deadline can't be set")
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodySize.Bytes()), r.ContentLength)
	if err != nil {
		return nil, s.bodyReadRefusal(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, notRunRefusal(outcome.ReasonInternal, "the read deadline can't be cleared")
	}
	return body, nil
}

// readAll reads a body of the given length, or up to its end if the length is
// negative. A known length avoids growing the buffer.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// bodyReadRefusal returns the refusal for an error of reading the body.
func (s *Server) bodyReadRefusal(err error) *outcome.Refusal {
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
