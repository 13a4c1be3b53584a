package callerhttp

import (
	"net/http"

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

// own is the daemon's own dialect: the chat completions API of model engines,
// and plain services by their name in the path.
type own struct{}

// Handler implements Dialect.
func (own) Handler(handle func(Parser) http.Handler) http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/chat/completions", handle(parseChat)).Methods(http.MethodPost)
	router.Handle("/services/{service}", handle(parseService))
	router.Handle("/services/{service}/{path:.*}", handle(parseService))
	router.NotFoundHandler = handle(refuseUnknownPath)
	router.MethodNotAllowedHandler = handle(refuseUnknownPath)
	return router
}

// Identify implements Dialect: the id is new and shown in every answer.
func (own) Identify(w http.ResponseWriter, _ *http.Request) ports.RequestID {
	id := log.NewXID().String()
	w.Header().Set(headerRequestID, id)
	return ports.RequestID(id)
}

// Mark implements Dialect.
func (own) Mark(header http.Header, id ports.RequestID) {
	header.Set(headerRequestID, string(id))
	header.Set(headerRun, string(outcome.Ran))
}

// Refuse implements Dialect.
func (own) Refuse(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal) {
	writeProblem(w, id, refusal)
}

// admitOwn checks the key and reads the body.
func admitOwn(r *http.Request, in *Intake) *outcome.Refusal {
	workspace, refusal := authenticate(r, in.Configuration)
	if refusal != nil {
		return refusal
	}
	in.Workspace = workspace
	in.body, refusal = in.ReadBody()
	return refusal
}

func (s *Server) handle(parse Parser) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in := &Intake{ID: s.dialect.Identify(w, r)}
		if s.announced.Load() || s.connections.crowded() {
			w.Header().Set("Connection", "close")
		} else {
			w.Header().Set("Keep-Alive", s.keepAlive)
		}
		call, refusal := s.admit(w, r, in, parse)
		if refusal != nil {
			s.refuse(w, in, refusal)
			return
		}
		s.execute(w, r, call)
	})
}

// admit makes every check that needs no backend server.
func (s *Server) admit(
	w http.ResponseWriter,
	r *http.Request,
	in *Intake,
	parse Parser,
) (*ports.Call, *outcome.Refusal) {
	if overLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		return nil, notRun(outcome.ReasonTooManyConnections, "this VM has no room for another connection")
	}
	if headerSize(r) > s.limits.Header.Bytes() {
		return nil, notRun(outcome.ReasonHeaderTooLarge, "the header exceeds "+s.limits.Header.String())
	}
	in.Configuration = s.configuration.Current()
	if in.Configuration == nil {
		refusal := notRun(outcome.ReasonNotReady, "no configuration is in force yet")
		refusal.RetryAfter = notReadyRetryAfter
		return nil, refusal
	}
	if refusal := s.stopping(); refusal != nil {
		return nil, refusal
	}
	in.ReadBody = func() ([]byte, *outcome.Refusal) { return s.readBody(w, r) }
	if refusal := s.pressure.refusal(); refusal != nil {
		return nil, refusal
	}
	return parse(r, in)
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request, call *ports.Call) {
	call.DemandWeight = s.pressure.demandWeight()
	s.open.add(call)
	defer s.open.remove(call)
	sink := newSink(w, connOf(r.Context()), func(header http.Header) { s.dialect.Mark(header, call.ID) })
	result := s.executor.Execute(r.Context(), call, sink)
	if result.Refusal == nil {
		return
	}
	s.count(result.Refusal)
	if sink.Begun() {
		// The caller must not take a part for the whole: end the connection
		// without the end of the body.
		panic(http.ErrAbortHandler)
	}
	s.dialect.Refuse(w, call.ID, result.Refusal)
}

func (s *Server) refuse(w http.ResponseWriter, in *Intake, refusal *outcome.Refusal) {
	s.count(refusal)
	if s.lines.Allow("request-refused", string(refusal.Reason)) {
		s.logRefusal(in, refusal)
	}
	s.dialect.Refuse(w, in.ID, refusal)
}

func (s *Server) logRefusal(in *Intake, refusal *outcome.Refusal) {
	s.logger.Info().
		Str("event", "request-refused").
		Str("request", string(in.ID)).
		Str("workspace", string(in.Workspace)).
		Str("reason", string(refusal.Reason)).
		Msg("")
}

func (s *Server) count(refusal *outcome.Refusal) {
	s.refusals.Inc(string(refusal.Reason), string(refusal.End))
}
