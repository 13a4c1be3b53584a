package objectapi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hawthornstream/internal/ports"
)

// operation names a method of ports.ObjectAPI in errors and metrics.
type operation string

const (
	operationGet    operation = "get"
	operationPut    operation = "put"
	operationDelete operation = "delete"
	operationWatch  operation = "watch"
)

// unusableAnswerError reports an answer with an unexpected status or invalid
// contents.
type unusableAnswerError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *unusableAnswerError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Reason)
}

// statusError returns the error of ports.ObjectAPI that the answer's status stands
// for, or nil.
func statusError(request request, result answer) error {
	switch result.status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return &ports.ObjectNotFoundError{Name: request.name}
	case http.StatusPreconditionFailed:
		return &ports.ObjectConflictError{Name: request.name, Expected: expectedVersion(request)}
	default:
		return unavailableError(result, "unexpected status")
	}
}

func expectedVersion(request request) ports.ObjectVersion {
	if request.expected == nil {
		return 0
	}
	return *request.expected
}

func unavailableError(result answer, reason string) error {
	return &ports.PlatformUnavailableError{
		Operation: string(result.operation),
		Cause:     &unusableAnswerError{Status: result.status, Reason: reason},
	}
}

func (a answer) object(name string) (ports.Object, error) {
	version, err := a.version()
	if err != nil {
		return ports.Object{}, err
	}
	return ports.Object{Name: name, Version: version, Value: a.value}, nil
}

func (a answer) version() (ports.ObjectVersion, error) {
	text := strings.Trim(a.etag, `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, unavailableError(a, "no version in ETag")
	}
	return ports.ObjectVersion(version), nil
}

func formatETag(version ports.ObjectVersion) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

// resultTag returns the result tag of platform_calls for an answer or for err, the
// error of a request without an answer.
func resultTag(result answer, err error) string {
	switch {
	case err != nil:
		return "no-answer"
	case result.status == http.StatusOK, result.status == http.StatusNoContent:
		return "ok"
	case result.status == http.StatusNotModified:
		return "unchanged"
	case result.status == http.StatusNotFound:
		return "not-found"
	case result.status == http.StatusPreconditionFailed:
		return "conflict"
	default:
		return "unavailable"
	}
}

func (c *Client) countRequest(operation operation, result string) {
	tags := map[string]string{"operation": string(operation), "result": result}
	c.scope.Tagged(tags).Counter("platform_calls").Inc(1)
}
