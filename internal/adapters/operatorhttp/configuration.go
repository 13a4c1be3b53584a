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

// maxApplyID is the longest apply ID, in bytes.
const maxApplyID = 64

func (m *Manager) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	current := m.params.Source.Current()
	if current == nil {
		m.refuse(w, problem(http.StatusNotFound, ports.OperatorReasonNoConfiguration,
			"this daemon has no configuration in force"))
		return
	}
	setRevision(w, current.Number)
	m.answer(w, current)
}

func (m *Manager) putConfiguration(w http.ResponseWriter, r *http.Request) {
	edit, err := readEdit(w, r)
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	m.finishEdit(w, func() (configuration.RevisionSummary, error) {
		return m.params.Editor.Apply(r.Context(), edit)
	})
}

// finishEdit answers with the accepted revision or the problem.
func (m *Manager) finishEdit(w http.ResponseWriter, edit func() (configuration.RevisionSummary, error)) {
	summary, err := edit()
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	summary.Undo = nil
	m.params.Logger.Info().Str("event", "configuration-accepted").Uint64("revision", uint64(summary.Number)).
		Str("author", summary.Author).Str("apply_id", summary.ApplyID).Msg("")
	setRevision(w, summary.Number)
	m.answer(w, summary)
}

func readEdit(w http.ResponseWriter, r *http.Request) (configuration.Edit, error) {
	base, err := readBase(r)
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
	return configuration.Edit{Base: base, ApplyID: applyID, Author: operatorOf(r), Document: document}, nil
}

func readBase(r *http.Request) (configuration.RevisionNumber, error) {
	text := strings.Trim(r.Header.Get(ports.HeaderIfMatch), `"`)
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &refusedError{problem: problem(http.StatusPreconditionRequired, ports.OperatorReasonNoBase,
			`If-Match must name the revision that the document is based on, such as "12"; "0" for none`)}
	}
	return configuration.RevisionNumber(number), nil
}

func readApplyID(r *http.Request) (string, error) {
	id := r.Header.Get(ports.HeaderApplyID)
	if id == "" || len(id) > maxApplyID || !fieldcheck.IsValidName(id) {
		return "", &refusedError{problem: problem(http.StatusBadRequest, ports.OperatorReasonNoApplyID,
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
		return nil, &refusedError{problem: problem(http.StatusRequestEntityTooLarge, ports.OperatorReasonTooLarge,
			"the body is larger than 1 MiB")}
	case err != nil:
		return nil, &refusedError{problem: problem(http.StatusBadRequest, ports.OperatorReasonMalformed,
			"the body did not arrive whole: "+err.Error())}
	}
	return data, nil
}

func (m *Manager) getHistory(w http.ResponseWriter, r *http.Request) {
	chain, err := m.params.Editor.Chain(r.Context())
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	history := ports.RevisionHistory{Revisions: []configuration.RevisionSummary{}}
	for _, summary := range chain.History {
		summary.Undo = nil
		history.Revisions = append(history.Revisions, summary)
	}
	m.answer(w, history)
}

// getRevision answers with the document of a past revision.
func (m *Manager) getRevision(w http.ResponseWriter, r *http.Request) {
	text := mux.Vars(r)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.refuse(w, problem(http.StatusBadRequest, ports.OperatorReasonMalformed, "no revision number: "+text))
		return
	}
	chain, err := m.params.Editor.Chain(r.Context())
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	document, known := chain.DocumentAt(configuration.RevisionNumber(number))
	if !known || number == 0 {
		m.refuse(w, unknownRevision(configuration.RevisionNumber(number)))
		return
	}
	setRevision(w, configuration.RevisionNumber(number))
	m.answer(w, document)
}

// postDiff compares a document with the configuration in force, or with the
// revision that the query names.
func (m *Manager) postDiff(w http.ResponseWriter, r *http.Request) {
	document, err := readDocument(w, r)
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	base, before, err := m.compared(r)
	if err != nil {
		m.refuse(w, problemOf(err))
		return
	}
	m.answer(w, ports.DocumentDifference{Base: base, Changes: configuration.Diff(before, document)})
}

// compared returns the revision that a difference starts from.
func (m *Manager) compared(r *http.Request) (configuration.RevisionNumber, configuration.Document, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		current := m.params.Source.Current()
		if current == nil {
			return 0, configuration.Document{}, nil
		}
		return current.Number, current.Document, nil
	}
	parsed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, configuration.Document{}, &refusedError{problem: problem(http.StatusBadRequest,
			ports.OperatorReasonMalformed, "no revision number: "+text)}
	}
	number := configuration.RevisionNumber(parsed)
	chain, err := m.params.Editor.Chain(r.Context())
	if err != nil {
		return 0, configuration.Document{}, err
	}
	document, known := chain.DocumentAt(number)
	if !known {
		return 0, configuration.Document{}, &refusedError{problem: unknownRevision(number)}
	}
	return number, document, nil
}

func unknownRevision(number configuration.RevisionNumber) ports.OperatorProblem {
	return problem(http.StatusNotFound, ports.OperatorReasonUnknownRevision,
		"the chain does not reach revision "+formatRevision(number))
}

func setRevision(w http.ResponseWriter, number configuration.RevisionNumber) {
	w.Header().Set("ETag", `"`+formatRevision(number)+`"`)
}

func formatRevision(number configuration.RevisionNumber) string {
	return strconv.FormatUint(uint64(number), 10)
}
