package operatorhttp

import (
	"encoding/json"
	"errors"
	"net/http"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

func newProblem(status int, reason ports.OperatorReason, detail string) ports.OperatorProblem {
	return ports.OperatorProblem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Reason: reason,
		Detail: detail,
	}
}

// problemFromError returns the problem that reports err, an error of reading a
// request or of ports.ConfigurationEditor.
func problemFromError(err error) ports.OperatorProblem {
	var (
		invalid        *configuration.InvalidDocumentError
		conflict       *configuration.ConflictError
		tooLarge       *configuration.ChainTooLargeError
		corrupt        *configuration.CorruptChainError
		outcomeUnknown *ports.EditOutcomeUnknownError
		unavailable    *ports.PlatformUnavailableError
		withProblem    *problemError
		applyIDReused  *ports.ApplyIDReusedError
	)
	switch {
	case errors.As(err, &withProblem):
		return withProblem.problem
	case errors.As(err, &invalid):
		result := newProblem(http.StatusBadRequest, ports.OperatorReasonInvalid, err.Error())
		result.Faults = invalid.Faults
		return result
	case errors.As(err, &conflict):
		result := newProblem(http.StatusPreconditionFailed, ports.OperatorReasonConflict, err.Error())
		result.Conflict = conflict
		return result
	case errors.As(err, &applyIDReused):
		return newProblem(http.StatusUnprocessableEntity, ports.OperatorReasonApplyIDReused, err.Error())
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, ports.OperatorReasonTooLarge, err.Error())
	case errors.As(err, &corrupt):
		return newProblem(http.StatusInternalServerError, ports.OperatorReasonCorruptChain, err.Error())
	case errors.As(err, &outcomeUnknown):
		return newProblem(http.StatusGatewayTimeout, ports.OperatorReasonUnknownOutcome, err.Error())
	case errors.As(err, &unavailable):
		return newProblem(http.StatusServiceUnavailable, ports.OperatorReasonUnavailable, err.Error())
	default:
		return newProblem(http.StatusInternalServerError, ports.OperatorReasonInternal, err.Error())
	}
}

// problemError is an error that carries the problem to answer with. It also
// passes from a ports.StopsEdit callback through ports.ConfigurationEditor.
type problemError struct {
	problem ports.OperatorProblem
}

// Error implements error.
func (e *problemError) Error() string {
	return string(e.problem.Reason) + ": " + e.problem.Detail
}

// writeProblem answers with the problem and counts it as operator_refusals.
func (s *Server) writeProblem(w http.ResponseWriter, p ports.OperatorProblem) {
	s.params.Scope.Tagged(map[string]string{"reason": string(p.Reason)}).Counter("operator_refusals").Inc(1)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	s.encodeBody(w, p)
}

// writeJSON answers with status 200 and the value as JSON.
func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	s.encodeBody(w, value)
}

func (s *Server) encodeBody(w http.ResponseWriter, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		s.params.Logger.Debug().Str("event", "operators-answer-lost").Err(err).Msg("")
	}
}

func (s *Server) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	s.writeProblem(w, newProblem(http.StatusNotFound, ports.OperatorReasonUnknownPath, r.URL.Path))
}

func (s *Server) handleWrongMethod(w http.ResponseWriter, r *http.Request) {
	s.writeProblem(w, newProblem(http.StatusMethodNotAllowed, ports.OperatorReasonUnknownPath, r.Method+" "+r.URL.Path))
}
