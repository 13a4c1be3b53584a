package operatorhttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/ports"
)

// maxApplyIDBytes is the maximum length of an apply ID.
const maxApplyIDBytes = 64

func (s *Server) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	current := s.params.Configuration.Current()
	if current == nil {
		s.writeProblem(w, newProblem(http.StatusNotFound, ports.OperatorReasonNoConfiguration,
			"this daemon has no configuration in force"))
		return
	}
	setRevisionETag(w, current.Number)
	s.writeJSON(w, current)
}

func (s *Server) putConfiguration(w http.ResponseWriter, r *http.Request) {
	edit, err := readEdit(w, r)
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	s.applyEdit(w, func() (configuration.RevisionSummary, error) {
		return s.params.Editor.Apply(r.Context(), edit)
	})
}

// applyEdit calls apply and answers with the accepted revision, without its undo
// data, or with the problem.
func (s *Server) applyEdit(w http.ResponseWriter, apply func() (configuration.RevisionSummary, error)) {
	summary, err := apply()
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	summary.Undo = nil
	s.params.Logger.Info().Str("event", "configuration-accepted").Uint64("revision", uint64(summary.Number)).
		Str("author", summary.Author).Str("apply_id", summary.ApplyID).Msg("")
	setRevisionETag(w, summary.Number)
	s.writeJSON(w, summary)
}

func readEdit(w http.ResponseWriter, r *http.Request) (configuration.Edit, error) {
	base, err := readBaseRevision(r)
	if err != nil {
		return configuration.Edit{}, err
	}
	applyID, err := readApplyID(r)
	if err != nil {
		return configuration.Edit{}, err
	}
	document, err := readDocument(w, r)
	if err != nil {
		return configuration.Edit{}, err
	}
	return configuration.Edit{Base: base, ApplyID: applyID, Author: operatorNameOf(r), Document: document}, nil
}

func readBaseRevision(r *http.Request) (configuration.RevisionNumber, error) {
	text := strings.Trim(r.Header.Get(ports.HeaderIfMatch), `"`)
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &problemError{problem: newProblem(http.StatusPreconditionRequired, ports.OperatorReasonNoBase,
			`If-Match must name the revision that the document is based on, such as "12"; "0" for none`)}
	}
	return configuration.RevisionNumber(number), nil
}

func readApplyID(r *http.Request) (string, error) {
	id := r.Header.Get(ports.HeaderApplyID)
	if id == "" || len(id) > maxApplyIDBytes || !fieldcheck.IsValidName(id) {
		return "", &problemError{problem: newProblem(http.StatusBadRequest, ports.OperatorReasonNoApplyID,
			ports.HeaderApplyID+" must be a unique name: "+fieldcheck.NameFormat)}
	}
	return id, nil
}

func readDocument(w http.ResponseWriter, r *http.Request) (configuration.Document, error) {
	data, err := readBody(w, r)
	if err != nil {
		return configuration.Document{}, err
	}
	return configuration.Parse(data)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxChainBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problemError{problem: newProblem(http.StatusRequestEntityTooLarge, ports.OperatorReasonTooLarge,
			"the body is larger than 1 MiB")}
	case err != nil:
		return nil, &problemError{problem: newProblem(http.StatusBadRequest, ports.OperatorReasonMalformed,
			"the body did not arrive whole: "+err.Error())}
	}
	return data, nil
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	chain, err := s.params.Editor.Chain(r.Context())
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	history := ports.RevisionHistory{Revisions: []configuration.RevisionSummary{}}
	for _, summary := range chain.History {
		summary.Undo = nil
		history.Revisions = append(history.Revisions, summary)
	}
	s.writeJSON(w, history)
}

// getRevision answers with the document of a revision of the stored chain.
func (s *Server) getRevision(w http.ResponseWriter, r *http.Request) {
	text := mux.Vars(r)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		s.writeProblem(w, newProblem(http.StatusBadRequest, ports.OperatorReasonMalformed, "no revision number: "+text))
		return
	}
	chain, err := s.params.Editor.Chain(r.Context())
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	document, known := chain.DocumentAt(configuration.RevisionNumber(number))
	if !known || number == 0 {
		s.writeProblem(w, unknownRevisionProblem(configuration.RevisionNumber(number)))
		return
	}
	setRevisionETag(w, configuration.RevisionNumber(number))
	s.writeJSON(w, document)
}

// postDiff compares the document in the body with the configuration in force, or
// with the revision in the query parameter "base".
func (s *Server) postDiff(w http.ResponseWriter, r *http.Request) {
	document, err := readDocument(w, r)
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	base, before, err := s.diffBase(r)
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	s.writeJSON(w, ports.DocumentDifference{Base: base, Changes: configuration.Diff(before, document)})
}

// diffBase returns the revision that postDiff compares with; zero and an empty
// document if no configuration is in force.
func (s *Server) diffBase(r *http.Request) (configuration.RevisionNumber, configuration.Document, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		current := s.params.Configuration.Current()
		if current == nil {
			return 0, configuration.Document{}, nil
		}
		return current.Number, current.Document, nil
	}
	parsed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, configuration.Document{}, &problemError{problem: newProblem(http.StatusBadRequest,
			ports.OperatorReasonMalformed, "no revision number: "+text)}
	}
	number := configuration.RevisionNumber(parsed)
	chain, err := s.params.Editor.Chain(r.Context())
	if err != nil {
		return 0, configuration.Document{}, err
	}
	document, known := chain.DocumentAt(number)
	if !known {
		return 0, configuration.Document{}, &problemError{problem: unknownRevisionProblem(number)}
	}
	return number, document, nil
}

func unknownRevisionProblem(number configuration.RevisionNumber) ports.OperatorProblem {
	return newProblem(http.StatusNotFound, ports.OperatorReasonUnknownRevision,
		"the chain does not reach revision "+formatRevision(number))
}

func setRevisionETag(w http.ResponseWriter, number configuration.RevisionNumber) {
	w.Header().Set("ETag", `"`+formatRevision(number)+`"`)
}

func formatRevision(number configuration.RevisionNumber) string {
	return strconv.FormatUint(uint64(number), 10)
}
