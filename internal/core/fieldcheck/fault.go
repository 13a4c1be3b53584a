// Package fieldcheck decodes JSON strictly into typed values and validates their
// fields. It reports all faults at once. It imports only the standard library
// and the validator package; internal/core/configuration and internal/settings
// import it.
package fieldcheck

import (
	"fmt"
	"strings"
)

// maxValueBytes is the most bytes of a rejected value that a fault shows.
const maxValueBytes = 80

// Fault describes one rejected field.
type Fault struct {
	// Path is the field's path, such as "classes[short].answerWithin". It is
	// empty when the whole JSON text is rejected.
	Path string `json:"path"`
	// Value is the rejected value as JSON, truncated to 80 bytes.
	Value string `json:"value"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// NewFault returns a fault whose value is truncated to 80 bytes, on a character
// boundary, and then ends in "…".
func NewFault(path, value, allowed string) Fault {
	if len(value) > maxValueBytes {
		value = strings.ToValidUTF8(value[:maxValueBytes], "") + "…"
	}
	return Fault{Path: path, Value: value, Allowed: allowed}
}

// maxQuotedBytes is the most bytes of a text that Quote returns.
const maxQuotedBytes = 200

// Quote returns the beginning of a text that may be as long as its writer likes, for a line
// of the log.
func Quote(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxQuotedBytes)], "")
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "(whole text)"
	}
	return fmt.Sprintf("%s: %s is not accepted; allowed: %s", path, f.Value, f.Allowed)
}

// Join returns the descriptions of all faults, separated by "; ".
func Join(faults []Fault) string {
	texts := make([]string, 0, len(faults))
	for _, fault := range faults {
		texts = append(texts, fault.String())
	}
	return strings.Join(texts, "; ")
}

// Merge returns the faults of an earlier check followed by those of a later one.
// A later fault is dropped when an earlier one has the same path or the path of
// an enclosing value.
func Merge(earlier, later []Fault) []Fault {
	merged := earlier
	for _, fault := range later {
		if !isReported(earlier, fault.Path) {
			merged = append(merged, fault)
		}
	}
	return merged
}

// isReported returns whether a fault has the path or encloses it.
func isReported(faults []Fault, path string) bool {
	for _, fault := range faults {
		rest, found := strings.CutPrefix(path, fault.Path)
		if found && (fault.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
