package httpanswer

import (
	"fmt"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"hawthornstream/internal/core/fieldcheck"
)

// The statuses of final answers. Interim answers are handled by net/http, which passes on
// an answer with another status, such as 000, as a final one.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// Part is a part of an answer that doesn't follow the protocol. It is a label of metrics.
type Part string

// The parts of answers that are checked.
const (
	PartStatus       Part = "status"
	PartReason       Part = "reason-phrase"
	PartField        Part = "field"
	PartInterimField Part = "interim-field"
	PartTrailer      Part = "trailer"
)

// InvalidError reports a part of an answer that doesn't follow the protocol (RFC 9110 and RFC 9112).
type InvalidError struct {
	Part Part
	// Found is the beginning of that part.
	Found string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the answer has an invalid %s: %q", e.Part, e.Found)
}

func invalid(part Part, found string) error {
	return &InvalidError{Part: part, Found: fieldcheck.Quote(found)}
}

// CheckHead checks the status line and the header of a final answer. It fails with *InvalidError.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus {
		return invalid(PartStatus, response.Status)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return invalid(PartReason, response.Status)
	}
	return checkFields(PartField, response.Header)
}

// CheckInterim checks the header of an interim answer. It fails with *InvalidError. It is the
// function Got1xxResponse of httptrace.ClientTrace.
func CheckInterim(_ int, header textproto.MIMEHeader) error {
	return checkFields(PartInterimField, http.Header(header))
}

// CheckTrailer checks the trailer of an answer whose body was read. It fails with *InvalidError.
func CheckTrailer(response *http.Response) error {
	return checkFields(PartTrailer, response.Trailer)
}

// checkFields checks the names and values of fields. net/http accepts names with blanks, and
// doesn't recognise fields that frame the body by them.
func checkFields(part Part, header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid(part, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return invalid(part, name+": "+value)
			}
		}
	}
	return nil
}
