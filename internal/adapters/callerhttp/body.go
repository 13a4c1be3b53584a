package callerhttp

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/core/outcome"
)

// headerSize is the size of the request line and header in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	if r.ContentLength > s.limits.Body.Bytes() {
		return nil, s.bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(s.limits.ReceiveWithin.Value())
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, notRun(outcome.ReasonInternal, "the read deadline can't be set")
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, s.limits.Body.Bytes()), r.ContentLength)
	if err != nil {
		return nil, s.bodyRefusal(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, notRun(outcome.ReasonInternal, "the read deadline can't be cleared")
	}
	return body, nil
}

// readAll reads to the end; a known length spares growing the buffer.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

func (s *Server) bodyRefusal(err error) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if eris.As(err, &tooLarge) {
		return s.bodyTooLarge()
	}
	var network net.Error
	if eris.As(err, &network) && network.Timeout() {
		return notRun(outcome.ReasonSlowSender, "the request did not arrive within "+s.limits.ReceiveWithin.Value().String())
	}
	return notRun(outcome.ReasonMalformedRequest, "the body can't be read")
}

func (s *Server) bodyTooLarge() *outcome.Refusal {
	return notRun(outcome.ReasonBodyTooLarge, "the body exceeds "+s.limits.Body.String())
}
