package callerhttp

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/core/outcome"
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

// errAnswerReplaced ends an answer whose caller has got another one.
var errAnswerReplaced = errors.New("the caller has got another answer")

// answerSink relays an answer to the caller and flushes each part. It sends the head with the
// first part, so that a call that ends before gets another answer.
type answerSink struct {
	// mu guards the writer, the header of the answer and the two fields below it.
	mu sync.Mutex
	// replaced is true once the caller has got another answer, and ended once the execution
	// has ended.
	replaced, ended bool
	writer          http.ResponseWriter
	controller      *http.ResponseController
	// setHeader sets the daemon's own fields of the answer's header.
	setHeader func(http.Header)
	conn      net.Conn
	held      *heldMemory
	// writeTimeout is the maximum time that the caller may leave a part unread.
	writeTimeout time.Duration
	// begunAt is when the answer began; nil before.
	begunAt atomic.Pointer[time.Time]
	// status and header are those of Begin. headSent is true once they were sent.
	status   int
	header   ports.Header
	headSent atomic.Bool
	// failedAt is when a part could not be sent; zero before.
	failedAt time.Time
	// bytesSent is the number of bytes of the body that were sent.
	bytesSent int64
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

func newAnswerSink(
	w http.ResponseWriter, conn net.Conn, held *heldMemory, writeTimeout time.Duration, setHeader func(http.Header),
) *answerSink {
	return &answerSink{
		writer: w, controller: http.NewResponseController(w), conn: conn, held: held, writeTimeout: writeTimeout,
		setHeader: setHeader,
	}
}

// Begin implements ports.AnswerSink.
func (s *answerSink) Begin(status int, header ports.Header) error {
	now := time.Now()
	s.begunAt.Store(&now)
	s.status, s.header = status, header
	return nil
}

// Write implements ports.AnswerSink.
func (s *answerSink) Write(part []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced {
		return errAnswerReplaced
	}
	err := s.send(part)
	if err != nil && s.failedAt.IsZero() {
		s.failedAt = time.Now()
	}
	return err
}

func (s *answerSink) send(part []byte) error {
	if err := s.extendDeadline(); err != nil {
		return err
	}
	s.sendHead()
	if _, err := s.writer.Write(part); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if err := s.flush(); err != nil {
		return err
	}
	s.bytesSent += int64(len(part))
	return nil
}

// cutShort returns since when the caller has got no more of an answer whose execution has ended
// now, and false if it has got all of it or nothing.
func (s *answerSink) cutShort(result outcome.Result) (time.Time, bool) {
	if !s.failedAt.IsZero() {
		return s.failedAt, true
	}
	return time.Now(), result.Refusal != nil && s.headSent.Load()
}

// replace sends the answer that write writes in place of that of the execution, which goes on.
// It returns false if the caller has got a part of that one, or the execution has ended.
func (s *answerSink) replace(write func(http.ResponseWriter)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.headSent.Swap(true) {
		return false
	}
	s.replaced = true
	answer := &bufferedAnswer{header: s.writer.Header()}
	write(answer)
	answer.header.Set("Connection", "close")
	answer.header.Del("Keep-Alive")
	answer.header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
	// Errors mean that the connection is closed already.
	_ = s.extendDeadline()
	s.writer.WriteHeader(answer.status)
	_, _ = s.writer.Write(answer.body.Bytes())
	_ = s.flush()
	return true
}

// end records that the execution has ended, and reports whether its answer was replaced. If not,
// the HTTP handler writes the rest.
func (s *answerSink) end() (replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.replaced
}

// finish ends an answer whose last part was written. The HTTP server still sends the end of
// the body.
func (s *answerSink) finish() {
	if s.Begun() {
		// An error means that the connection is closed already.
		_ = s.extendDeadline()
		s.sendHead()
	}
}

// sendHead sends the status and header, unless they were sent.
func (s *answerSink) sendHead() {
	if s.headSent.Swap(true) {
		return
	}
	target := s.writer.Header()
	for name, values := range s.header {
		target[name] = values
	}
	s.setHeader(target)
	s.writer.WriteHeader(s.status)
}

// extendDeadline gives the caller the whole time for another part.
func (s *answerSink) extendDeadline() error {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < writeDeadlineInterval {
		return nil
	}
	if err := s.controller.SetWriteDeadline(now.Add(s.writeTimeout)); err != nil {
		return eris.Wrap(err, "set the write deadline")
	}
	s.deadlineSetAt = now
	return nil
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
