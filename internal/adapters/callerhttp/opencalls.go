package callerhttp

import (
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

// openCall is a call in progress.
type openCall struct {
	*ports.Call
	gate ports.SendGate
	sink *answerSink
	// takenInStop says that the daemon's stop had been announced when the call was taken.
	takenInStop bool
}

// openCalls is the set of calls in progress. It is safe for concurrent use.
type openCalls struct {
	mu    sync.Mutex
	calls map[*openCall]struct{}
}

func newOpenCalls() *openCalls {
	return &openCalls{calls: make(map[*openCall]struct{})}
}

func (o *openCalls) add(call *openCall) {
	call.SendGate = &call.gate
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[call] = struct{}{}
}

func (o *openCalls) remove(call *openCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, call)
}

// list returns the calls in progress, sorted by request ID.
func (o *openCalls) list() []*openCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls := make([]*openCall, 0, len(o.calls))
	for call := range o.calls {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *openCall) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return calls
}

// logCutCalls logs and counts the calls in progress, which are about to be cut off.
func (s *Server) logCutCalls() {
	now := time.Now()
	for _, call := range s.openCalls.list() {
		taken, state := "before-stop", "waiting"
		if call.takenInStop {
			taken = "in-stop"
		}
		sentAt, wasSent := call.gate.SentAt()
		switch {
		case call.sink.Begun():
			state = "answering"
		case wasSent:
			state = "running"
		}
		s.callsCut.Inc(taken, state)
		line := s.logger.Error().Str("event", "call-cut").Str("request", string(call.ID)).
			Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).
			Str("class", string(call.Class)).Str("taken", taken).Str("state", state).
			Bool("repeatable", call.Repeatable || call.Resumable).
			Dur("age", now.Sub(call.Arrived)).Dur("untilDeadline", call.Deadline.Sub(now))
		if wasSent {
			line = line.Dur("sinceSent", now.Sub(sentAt))
		}
		line.Msg("")
	}
}
