package execution

import (
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// recordedHeaderFields are the header fields that are recorded with an answer.
var recordedHeaderFields = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Cache-Control"}

// recordingSink passes an answer on and records a copy if its body has at most
// maxBytes.
type recordingSink struct {
	ports.AnswerSink
	maxBytes int64
	// ignoreCallerErrors lets the answer go on when the caller has hung up.
	ignoreCallerErrors bool

	status   int
	header   ports.Header
	body     []byte
	tooLarge bool
}

// Begin implements ports.AnswerSink.
func (s *recordingSink) Begin(status int, header ports.Header) error {
	s.status = status
	s.header = make(ports.Header)
	for _, name := range recordedHeaderFields {
		if values, ok := header[name]; ok {
			s.header[name] = values
		}
	}
	return s.callerError(s.AnswerSink.Begin(status, header))
}

// Write implements ports.AnswerSink.
func (s *recordingSink) Write(part []byte) error {
	s.record(part)
	return s.callerError(s.AnswerSink.Write(part))
}

// record appends to the recorded body. It drops the body once that is too large.
func (s *recordingSink) record(part []byte) {
	if s.tooLarge = s.tooLarge || int64(len(s.body)+len(part)) > s.maxBytes; s.tooLarge {
		s.body = nil
		return
	}
	s.body = append(s.body, part...)
}

// callerError returns an error of the caller's sink, or nil if those are ignored.
func (s *recordingSink) callerError(err error) error {
	if s.ignoreCallerErrors {
		return nil
	}
	return err
}

// recordedAnswer returns the recorded answer, or nil if it is not whole or too large.
func (s *recordingSink) recordedAnswer(result outcome.Result) *core.Answer {
	if result.Refusal != nil || s.tooLarge || s.status == 0 {
		return nil
	}
	return &core.Answer{Status: s.status, Header: s.header, Body: s.body}
}

// missingAnswerReason returns why there is no recorded answer.
func (s *recordingSink) missingAnswerReason(result outcome.Result) outcome.Reason {
	switch {
	case result.Refusal == nil && s.tooLarge:
		return outcome.ReasonAnswerTooLarge
	case result.Refusal == nil:
		return ""
	case result.End == outcome.Unknown:
		return outcome.ReasonOutcomeUnknown
	default:
		return result.Refusal.Reason
	}
}
