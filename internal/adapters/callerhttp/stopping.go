package callerhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/gracefulstop"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	// cutCheckInterval is the time between two checks of the calls in progress for those that
	// can't end before their connections are cut.
	cutCheckInterval = 50 * time.Millisecond
	// cutAnswerMargin is the time before the cut at which calls without an answer get one.
	cutAnswerMargin = 100 * time.Millisecond
)

// cutTime is when connections are cut off, or unset. It is safe for concurrent use.
type cutTime struct {
	at atomic.Pointer[time.Time]
}

// advance sets the time if it is earlier than the one that is set; zero changes nothing.
func (c *cutTime) advance(at time.Time) {
	if at.IsZero() {
		return
	}
	for {
		known := c.at.Load()
		if known != nil && !at.Before(*known) || c.at.CompareAndSwap(known, &at) {
			return
		}
	}
}

// get returns the time, and false if it is unset.
func (c *cutTime) get() (time.Time, bool) {
	if at := c.at.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// cutAtOf returns when the connection of a request will be cut off by the stop of this daemon
// or of the one that relays the connection, and false if neither is known to stop.
func (s *Server) cutAtOf(ctx context.Context) (time.Time, bool) {
	cutAt, ok := s.cutAt.get()
	conn, takenOver := ctx.Value(takenOverKey{}).(*takenOverConn)
	if !takenOver {
		return cutAt, ok
	}
	relayCutAt, relayStops := conn.cutAt.get()
	if relayStops && (!ok || relayCutAt.Before(cutAt)) {
		return relayCutAt, true
	}
	return cutAt, ok
}

// hasCut reports whether connections are known to be cut off.
func (s *Server) hasCut() bool {
	if _, ok := s.cutAt.get(); ok {
		return true
	}
	return s.handover != nil && s.handover.takenOverConns.anyCut()
}

// stoppingRefusal returns a refusal once this daemon, or the one that relays the
// connection to it, refuses further calls, and nil before. Such a call arrives over a
// connection that the stop has not closed yet.
func (s *Server) stoppingRefusal(ctx context.Context) *outcome.Refusal {
	if s.refusingCalls.Load() {
		return newStoppingRefusal("the daemon is stopping")
	}
	return s.relayRefusal(ctx)
}

func newStoppingRefusal(detail string) *outcome.Refusal {
	refusal := notRunRefusal(outcome.ReasonStopping, detail)
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// cutRefusal returns a refusal of a call that has arrived and can't end before its connection
// is cut off, and nil for others.
func (s *Server) cutRefusal(ctx context.Context, call *ports.Call) *outcome.Refusal {
	cutAt, ok := s.cutAtOf(ctx)
	if !ok {
		return nil
	}
	outlook := newOutlook(call, cutAt, s.openCalls.estimate(call))
	if gracefulstop.ShouldTake(outlook) {
		return nil
	}
	s.logUnsent("call-not-taken", call, outlook)
	return newStoppingRefusal("the daemon stops before the call would end")
}

func newOutlook(call *ports.Call, cutAt time.Time, estimate *gracefulstop.Estimate) gracefulstop.Outlook {
	now := time.Now()
	return gracefulstop.Outlook{
		UntilCut: cutAt.Sub(now), UntilDeadline: call.Deadline.Sub(now), Estimate: estimate,
		Repeatable: call.Repeatable || call.Resumable,
	}
}

// logUnsent logs that a call is refused, and what was known of its length.
func (s *Server) logUnsent(event string, call *ports.Call, outlook gracefulstop.Outlook) {
	if !s.logLimiter.Allow(event, string(call.Class)) {
		return
	}
	line := s.logger.Info().Str("event", event).Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).
		Str("class", string(call.Class)).Bool("repeatable", outlook.Repeatable).
		Dur("untilCut", outlook.UntilCut).Dur("untilDeadline", outlook.UntilDeadline)
	if estimate := outlook.Estimate; estimate != nil {
		line = line.Dur("wait", estimate.Wait).Dur("longest", estimate.Longest)
	}
	line.Msg("")
}

// watchCuts gives up calls in progress that can't end before their connections are cut off, and
// requests that have not arrived by then, as long as such cuts are known.
func (s *Server) watchCuts() {
	if !s.watchingCuts.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticker := time.NewTicker(cutCheckInterval)
		defer ticker.Stop()
		for s.hasCut() {
			for _, call := range s.openCalls.unsorted() {
				s.giveUpBeforeCut(call)
			}
			s.memory.cutReceiving(func(ctx context.Context) bool {
				cutAt, ok := s.cutAtOf(ctx)
				return ok && time.Until(cutAt) <= cutAnswerMargin
			})
			select {
			case <-s.stopped:
				return
			case <-ticker.C:
			}
		}
		s.watchingCuts.Store(false)
		// A cut may have become known since the last look.
		if s.hasCut() {
			s.watchCuts()
		}
	}()
}

// giveUpBeforeCut ends a call that waits to be sent and could not end before its connection is
// cut off, and right before the cut each call of which the caller has got nothing, so that it
// gets an answer that says whether the call ran. Where only the relay of the connection stops, a
// run that outlives its caller goes on.
func (s *Server) giveUpBeforeCut(call *openCall) {
	cutAt, ok := s.cutAtOf(call.ctx)
	if !ok {
		return
	}
	if !call.isEstimated {
		call.isEstimated = true
		call.estimate = s.openCalls.estimate(call.Call)
	}
	outlook := newOutlook(call.Call, cutAt, call.estimate)
	if !gracefulstop.ShouldSend(outlook) && call.gate.Close() {
		if call.ctx.Err() == nil {
			s.logUnsent("call-not-sent", call.Call, outlook)
		}
		call.refuse(newStoppingRefusal("the daemon stops before the call would end"))
		return
	}
	if outlook.UntilCut > cutAnswerMargin || call.sink.headSent.Load() || call.ctx.Err() != nil {
		return
	}
	ownCutAt, isStopping := s.cutAt.get()
	onlyRelayStops := !isStopping || cutAt.Before(ownCutAt)
	if call.OutlivesCaller() && onlyRelayStops {
		if isUnsent := call.gate.Close(); !isUnsent {
			// Another caller that reads slowly must not delay this one's answer.
			go s.answerBeforeEnd(call)
			return
		}
	}
	s.countCut(call, "unanswered")
	call.refuse(newCutRefusal())
}

// answerBeforeEnd answers a call that was sent and goes on without its caller.
func (s *Server) answerBeforeEnd(call *openCall) {
	refusal := newCutRefusal()
	refusal.End, refusal.RetryAfter = outcome.Unknown, 0
	if call.sink.replace(func(w http.ResponseWriter) { s.dialect.WriteRefusal(w, call.ID, refusal) }) {
		s.countCut(call, "unanswered")
		s.countRefusal(refusal)
	}
}

// newCutRefusal returns a refusal whose RetryAfter holds only if the call has not run.
func newCutRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonCutByStop, Detail: "the daemon stopped before the call had ended",
		RetryAfter: stoppingRetryAfter,
	}
}

// cutCalls ends the calls in progress and the requests that still arrive. It returns when those
// without an answer have got one that says whether they ran, or after cutAnswerMargin.
func (s *Server) cutCalls() {
	s.logCutCalls()
	for _, call := range s.openCalls.unsorted() {
		call.refuse(newCutRefusal())
	}
	s.memory.cutReceiving(func(context.Context) bool { return true })
	ctx, cancel := context.WithTimeout(context.Background(), cutAnswerMargin)
	defer cancel()
	// Shutdown waits until the answers are sent. An error means that the time is over.
	_ = s.httpServer.Shutdown(ctx)
	if s.handover != nil {
		_ = s.handover.httpServer.Shutdown(ctx)
	}
}

// logCutCalls logs and counts the calls in progress, which are about to be cut off.
func (s *Server) logCutCalls() {
	for _, call := range s.openCalls.list() {
		state := "waiting"
		_, wasSent := call.gate.SentAt()
		switch {
		case call.sink.Begun():
			state = "answering"
		case wasSent:
			state = "running"
		}
		s.countCut(call, state)
		s.logCut(call, state)
	}
}

// recordCutWithRelay logs and counts a call that has ended, if the stop of the daemon that relays
// its connection cut its answer off.
func (s *Server) recordCutWithRelay(call *openCall, result outcome.Result) {
	conn, takenOver := call.ctx.Value(takenOverKey{}).(*takenOverConn)
	cutShortAt, wasCutShort := call.sink.cutShort(result)
	if !takenOver || !wasCutShort || !call.sink.CallerGone() && context.Cause(call.ctx) != context.Canceled {
		return
	}
	cutAt, relayStops := conn.cutAt.get()
	if relayStops && cutAt.Sub(cutShortAt) <= cutAnswerMargin && s.countCut(call, "answering") {
		s.logCut(call, "answering")
	}
}

// countCut counts a call that a stop cuts off. It returns false if the call was counted before.
func (s *Server) countCut(call *openCall, state string) bool {
	if call.isCutCounted.Swap(true) {
		return false
	}
	s.callsCut.Inc(call.taken(), state)
	return true
}

func (s *Server) logCut(call *openCall, state string) {
	now := time.Now()
	_, takenOver := call.ctx.Value(takenOverKey{}).(*takenOverConn)
	line := s.logger.Error().Str("event", "call-cut").Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).
		Str("class", string(call.Class)).Str("taken", call.taken()).Str("state", state).
		Bool("repeatable", call.Repeatable || call.Resumable).Bool("takenOver", takenOver).
		Dur("age", now.Sub(call.Arrived)).Dur("untilDeadline", call.Deadline.Sub(now))
	if sentAt, wasSent := call.gate.SentAt(); wasSent {
		line = line.Dur("sinceSent", now.Sub(sentAt))
	}
	line.Msg("")
}
