package callerhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/ports"
)

// writeTimeout is how long a caller may leave a part of its answer unread.
const writeTimeout = 30 * time.Second

// sink relays an answer to the caller, each part at once.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// mark sets the daemon's own fields of the answer's header.
	mark func(http.Header)
	// conn is the caller's connection.
	conn  net.Conn
	begun bool
}

func newSink(w http.ResponseWriter, conn net.Conn, mark func(http.Header)) *sink {
	return &sink{writer: w, controller: http.NewResponseController(w), conn: conn, mark: mark}
}

// Begin implements ports.AnswerSink.
func (s *sink) Begin(status int, header ports.Header) error {
	s.begun = true
	target := s.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	s.mark(target)
	s.writer.WriteHeader(status)
	return nil
}

// Write implements ports.AnswerSink.
func (s *sink) Write(part []byte) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set the write deadline")
	}
	if _, err := s.writer.Write(part); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	return s.flush()
}

// Begun implements ports.AnswerSink.
func (s *sink) Begun() bool {
	return s.begun
}

// Gone implements ports.AnswerSink.
func (s *sink) Gone() bool {
	return hungUp(s.conn)
}

func (s *sink) flush() error {
	if err := s.controller.Flush(); err != nil {
		return eris.Wrap(err, "flush to the caller")
	}
	return nil
}
