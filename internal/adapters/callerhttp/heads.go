package callerhttp

import (
	"net"
	"net/http"
	"time"

	"hawthornstream/internal/adapters/requesthead"
	"hawthornstream/internal/core/outcome"
)

// headRetryAfter is the time after which a caller should retry for whose request's head there
// was no memory.
const headRetryAfter = 500 * time.Millisecond

func newHeadRefusal() *outcome.Refusal {
	refusal := notRunRefusal(outcome.ReasonMemoryExhausted, "this daemon has no memory free for the head of the request")
	refusal.RetryAfter = headRetryAfter
	return refusal
}

// refuseHead counts and logs a head for which there is no memory, and returns the answer.
func (s *Server) refuseHead() []byte {
	refusal := newHeadRefusal()
	s.countRefusal(refusal)
	if s.logLimiter.Allow("request-refused", string(refusal.Reason)) {
		s.logRefusal(&IncomingRequest{}, refusal)
	}
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusServiceUnavailable}
	s.dialect.WriteRefusal(answer, "", refusal)
	return answer.bytes()
}

// releaseHead gives back what the head of the request holds once the request is counted. It
// returns a refusal if the head had to make room before.
func (s *Server) releaseHead(r *http.Request) *outcome.Refusal {
	conn, ok := connFromContext(r.Context()).(*requesthead.Conn)
	if !ok || conn.ReleaseHead() == nil {
		return nil
	}
	return newHeadRefusal()
}

func (s *Server) logFailedHandshake(conn net.Conn, err error) {
	if s.logLimiter.Allow("callers-connection-failed", "") {
		s.logger.Warn().Str("event", "callers-connection-failed").Stringer("caller", conn.RemoteAddr()).Err(err).Msg("")
	}
}
