package callerhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/ports"
)

const (
	// writeTimeout is how long a caller may leave a part of its answer unread.
	writeTimeout = 30 * time.Second
	// extendEvery is the time between two extensions of it: one for each event of
	// a stream would be a tenth of the work of relaying it.
	extendEvery = 2 * time.Second
)

// sink relays an answer to the caller, each part at once.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// mark sets the daemon's own fields of the answer's header.
	mark func(http.Header)
	// conn is the caller's connection.
	conn  net.Conn
	begun bool
	// extended is when the time for writing was last set.
	extended time.Time
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
	if now := time.Now(); now.Sub(s.extended) >= extendEvery {
		if err := s.controller.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return eris.Wrap(err, "set the write deadline")
		}
		s.extended = now
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

// CallerGone implements ports.AnswerSink.
func (s *sink) CallerGone() bool {
	return hungUp(s.conn)
}

func (s *sink) flush() error {
	if err := s.controller.Flush(); err != nil {
		return eris.Wrap(err, "flush to the caller")
	}
	return nil
}
