package callerhttp

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/ports"
)

const (
	// writeTimeout is the maximum time that a caller may leave a part of its
	// answer unread.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two extensions of the
	// write deadline. Extending it for each event of a stream would be a tenth of
	// the work of relaying the stream.
	writeDeadlineInterval = 2 * time.Second
)

// answerSink relays an answer to the caller and flushes each part.
type answerSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// setHeader sets the daemon's own fields of the answer's header.
	setHeader func(http.Header)
	conn      net.Conn
	held      *heldMemory
	// begunAt is when the answer began; nil before.
	begunAt atomic.Pointer[time.Time]
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

func newAnswerSink(w http.ResponseWriter, conn net.Conn, held *heldMemory, setHeader func(http.Header)) *answerSink {
	return &answerSink{writer: w, controller: http.NewResponseController(w), conn: conn, held: held, setHeader: setHeader}
}

// Begin implements ports.AnswerSink.
func (s *answerSink) Begin(status int, header ports.Header) error {
	now := time.Now()
	s.begunAt.Store(&now)
	target := s.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	s.setHeader(target)
	s.writer.WriteHeader(status)
	return nil
}

// Write implements ports.AnswerSink.
func (s *answerSink) Write(part []byte) error {
	if now := time.Now(); now.Sub(s.deadlineSetAt) >= writeDeadlineInterval {
		if err := s.controller.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return eris.Wrap(err, "set the write deadline")
		}
		s.deadlineSetAt = now
	}
	if _, err := s.writer.Write(part); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	return s.flush()
}

// Reserve implements ports.AnswerSink.
func (s *answerSink) Reserve(bytes int64) bool {
	return s.held.reserveAnswer(bytes)
}

// Unreserve implements ports.AnswerSink.
func (s *answerSink) Unreserve(bytes int64) {
	s.held.releaseAnswer(bytes)
}

// Begun implements ports.AnswerSink.
func (s *answerSink) Begun() bool {
	return s.begunAt.Load() != nil
}

// begunTime returns when the answer began, and false before.
func (s *answerSink) begunTime() (time.Time, bool) {
	if begunAt := s.begunAt.Load(); begunAt != nil {
		return *begunAt, true
	}
	return time.Time{}, false
}

// CallerGone implements ports.AnswerSink.
func (s *answerSink) CallerGone() bool {
	return hungUp(s.conn)
}

func (s *answerSink) flush() error {
	if err := s.controller.Flush(); err != nil {
		return eris.Wrap(err, "flush to the caller")
	}
	return nil
}
