package callerhttp

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Header fields of requests and answers.
const (
	headerRequestID      = "X-Request-Id"
	headerRun            = "Hawthornstream-Run"
	headerClass          = "Hawthornstream-Class"
	headerRepeatable     = "Hawthornstream-Repeatable"
	headerDeadline       = "Hawthornstream-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
	headerAuthorization  = "Authorization"
	headerRetryAfter     = "Retry-After"
	headerContentType    = "Content-Type"
)

// defaultDialect is the daemon's own dialect. It serves the chat completions API
// of model engines, and plain services by their name in the path.
type defaultDialect struct{}

// Handler implements Dialect.
func (defaultDialect) Handler(newHandler func(Parser) http.Handler) http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/chat/completions", newHandler(parseChatCompletion)).Methods(http.MethodPost)
	router.Handle("/services/{service}", newHandler(parseService))
	router.Handle("/services/{service}/{path:.*}", newHandler(parseService))
	router.NotFoundHandler = newHandler(refuseUnknownPath)
	router.MethodNotAllowedHandler = newHandler(refuseUnknownPath)
	return router
}

// AssignRequestID implements Dialect: the ID is new and part of every answer.
func (defaultDialect) AssignRequestID(w http.ResponseWriter, _ *http.Request) ports.RequestID {
	id := log.NewXID().String()
	w.Header().Set(headerRequestID, id)
	return ports.RequestID(id)
}

// SetAnswerHeader implements Dialect.
func (defaultDialect) SetAnswerHeader(header http.Header, id ports.RequestID) {
	header.Set(headerRequestID, string(id))
	header.Set(headerRun, string(outcome.Ran))
}

// WriteRefusal implements Dialect.
func (defaultDialect) WriteRefusal(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal) {
	writeProblem(w, id, refusal)
}

// authenticateAndReadBody sets the request's workspace from its bearer key and
// reads its body.
func authenticateAndReadBody(r *http.Request, in *IncomingRequest) *outcome.Refusal {
	workspace, refusal := authenticate(r, in.Configuration)
	if refusal != nil {
		return refusal
	}
	in.Workspace = workspace
	in.body, refusal = in.ReadBody()
	return refusal
}

// newHandler returns the handler of the requests that the parser reads.
func (s *Server) newHandler(parse Parser) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in := &IncomingRequest{ID: s.dialect.AssignRequestID(w, r)}
		defer func() { in.held.release() }()
		s.setConnectionHeader(w.Header(), r)
		call, refusal := s.admit(w, r, in, parse)
		if refusal != nil {
			s.updateConnectionHeader(w.Header(), r)
			s.writeRefusal(w, in, refusal)
			return
		}
		s.execute(w, r, call, in.held)
	})
}

// setConnectionHeader tells the caller whether and how long its connection stays open.
func (s *Server) setConnectionHeader(header http.Header, r *http.Request) {
	takenOver, shouldClose := isTakenOver(r.Context())
	shouldClose = shouldClose || s.stopAnnounced.Load() || s.connections.shouldCloseAfterAnswer()
	if !takenOver && !shouldClose {
		shouldClose = s.handover != nil && s.handover.table.shouldRelease()
	}
	switch {
	case shouldClose:
		header.Set("Connection", "close")
	case takenOver:
		header.Set("Keep-Alive", keepAliveValue(takenOverIdleTimeout))
	default:
		header.Set("Keep-Alive", s.keepAliveHeader)
	}
}

// updateConnectionHeader asks the caller to close its connection if that has become due
// while the call was in progress.
func (s *Server) updateConnectionHeader(header http.Header, r *http.Request) {
	if _, shouldClose := isTakenOver(r.Context()); shouldClose || s.stopAnnounced.Load() {
		header.Set("Connection", "close")
		header.Del("Keep-Alive")
	}
}

// keepAliveValue returns the value of the Keep-Alive header field for an idle timeout.
func keepAliveValue(idleTimeout time.Duration) string {
	return fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds()))
}

// admit makes every check that needs no backend server and creates the call.
func (s *Server) admit(
	w http.ResponseWriter,
	r *http.Request,
	in *IncomingRequest,
	parse Parser,
) (*ports.Call, *outcome.Refusal) {
	if isOverLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		return nil, notRunRefusal(outcome.ReasonTooManyConnections, "this VM has no room for another connection")
	}
	if headerSize(r) > s.limits.MaxHeaderSize.Bytes() {
		return nil, notRunRefusal(outcome.ReasonHeaderTooLarge, "the header exceeds "+s.limits.MaxHeaderSize.String())
	}
	in.Configuration = s.configuration.Current()
	if in.Configuration == nil {
		refusal := notRunRefusal(outcome.ReasonNotReady, "no configuration is in force yet")
		refusal.RetryAfter = notReadyRetryAfter
		return nil, refusal
	}
	if refusal := s.stoppingRefusal(r.Context()); refusal != nil {
		return nil, refusal
	}
	in.ReadBody = func() ([]byte, *outcome.Refusal) { return s.receiveBody(w, r, in) }
	if refusal := s.shedder.shedRefusal(); refusal != nil {
		return nil, refusal
	}
	call, refusal := parse(r, in)
	if refusal == nil {
		refusal = s.cutRefusal(r.Context(), call)
	}
	return call, refusal
}

// execute passes the call to the executor and answers the caller.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, call *ports.Call, held *heldMemory) {
	call.DemandWeight = s.shedder.demandWeight()
	ctx, refuse := context.WithCancelCause(r.Context())
	defer refuse(nil)
	sink := newAnswerSink(w, connFromContext(r.Context()), held, s.writeTimeout, func(header http.Header) {
		s.dialect.SetAnswerHeader(header, call.ID)
		s.updateConnectionHeader(header, r)
	})
	_, isInStop := s.cutAtOf(r.Context())
	open := &openCall{Call: call, sink: sink, ctx: ctx, refuse: refuse, takenInStop: isInStop}
	s.openCalls.add(open)
	if conn, takenOver := r.Context().Value(takenOverKey{}).(*takenOverConn); takenOver {
		end := conn.beginCall(sink)
		defer func() { end(r.Context()) }()
	}
	result := s.executeContained(ctx, call, sink)
	s.openCalls.remove(open, result)
	if sink.end() {
		return
	}
	s.recordCutWithRelay(open, result)
	if result.Refusal == nil {
		sink.finish()
		return
	}
	s.countRefusal(result.Refusal)
	if sink.headSent.Load() {
		s.recordCutAnswer(r, call, sink, result.Refusal)
		abortAnswer(r)
	}
	s.updateConnectionHeader(w.Header(), r)
	s.dialect.WriteRefusal(w, call.ID, result.Refusal)
}

// executeContained passes the call to the executor. A panic ends the call as failed, so that its
// caller gets an answer.
func (s *Server) executeContained(ctx context.Context, call *ports.Call, sink *answerSink) (result outcome.Result) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.callPanics.Inc(1)
		if s.logLimiter.Allow("call-panicked", "") {
			s.logger.Error().Str("event", "call-panicked").Str("request", string(call.ID)).
				Str("service", string(call.Service)).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("")
		}
		result = outcome.Result{End: outcome.Unknown, Refusal: &outcome.Refusal{
			Reason: outcome.ReasonInternal, End: outcome.Unknown, Detail: "a fault of the daemon ended the call",
		}}
	}()
	return s.executor.Execute(ctx, call, sink)
}

// recordCutAnswer counts and logs an answer whose head was sent and that ends early.
func (s *Server) recordCutAnswer(r *http.Request, call *ports.Call, sink *answerSink, refusal *outcome.Refusal) {
	sent := "part"
	if sink.bytesSent == 0 {
		sent = "no-body"
	}
	s.answersCut.Inc(string(refusal.Reason), sent)
	if !s.logLimiter.Allow("answer-cut", string(refusal.Reason)) {
		return
	}
	_, takenOver := r.Context().Value(takenOverKey{}).(*takenOverConn)
	s.logger.Info().Str("event", "answer-cut").Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).
		Str("reason", string(refusal.Reason)).Int64("bytesSent", sink.bytesSent).Bool("callerGone", sink.CallerGone()).
		Bool("takenOver", takenOver).Dur("age", time.Since(call.Arrived)).Msg("")
}

// abortAnswer ends the connection without ending the body, so that the caller does not take a
// truncated answer for a complete one.
func abortAnswer(r *http.Request) {
	if conn := connFromContext(r.Context()); conn != nil && !r.ProtoAtLeast(1, 1) {
		// A body without chunks ends with an orderly close.
		closeWithReset(conn)
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) writeRefusal(w http.ResponseWriter, in *IncomingRequest, refusal *outcome.Refusal) {
	s.countRefusal(refusal)
	if s.logLimiter.Allow("request-refused", string(refusal.Reason)) {
		s.logRefusal(in, refusal)
	}
	s.dialect.WriteRefusal(w, in.ID, refusal)
}

func (s *Server) logRefusal(in *IncomingRequest, refusal *outcome.Refusal) {
	s.logger.Info().
		Str("event", "request-refused").
		Str("request", string(in.ID)).
		Str("workspace", string(in.Workspace)).
		Str("reason", string(refusal.Reason)).
		Msg("")
}

func (s *Server) countRefusal(refusal *outcome.Refusal) {
	s.refusals.Inc(string(refusal.Reason), string(refusal.End))
}
