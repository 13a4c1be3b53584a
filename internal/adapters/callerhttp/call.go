package callerhttp

import (
	"net/http"
	"strconv"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const (
	minDeadline             = time.Millisecond
	maxDeadline             = 24 * time.Hour
	maxIdempotencyKeyLength = 255
)

// newCall makes the parts of a call that both kinds of service share.
func newCall(
	r *http.Request,
	in *Intake,
	name ports.ServiceName,
	kind configuration.ServiceKind,
) (*ports.Call, *outcome.Refusal) {
	document := &in.Configuration.Document
	service, found := document.Services[name]
	if !found || service.Kind != kind {
		return nil, notRun(outcome.ReasonUnknownService, "no "+string(kind)+" service has the name "+strconv.Quote(string(name)))
	}
	className := ports.ClassName(r.Header.Get(headerClass))
	if className == "" {
		className = service.DefaultClass
	}
	class, found := document.Classes[className]
	if !found {
		return nil, notRun(outcome.ReasonUnknownClass, "no class has the name "+strconv.Quote(string(className)))
	}
	now := time.Now()
	call := &ports.Call{
		ID:           in.ID,
		Revision:     in.Configuration.Number,
		Workspace:    in.Workspace,
		Service:      name,
		Kind:         kind,
		Class:        className,
		Arrived:      now,
		FirstTokenBy: now.Add(class.FirstTokenWithin.Value()),
		Method:       r.Method,
		Body:         in.body,
	}
	if refusal := setPromises(call, r.Header, class); refusal != nil {
		return nil, refusal
	}
	return call, nil
}

// setPromises reads the header fields by which a caller says what it needs.
func setPromises(call *ports.Call, header http.Header, class configuration.Class) *outcome.Refusal {
	wait, refusal := parseDeadline(header, class.AnswerWithin.Value())
	if refusal != nil {
		return refusal
	}
	call.Deadline = call.Arrived.Add(wait)
	if call.Repeatable, refusal = parseRepeatable(header, class.Repeatable); refusal != nil {
		return refusal
	}
	call.IdempotencyKey, refusal = parseIdempotencyKey(header)
	return refusal
}

func parseDeadline(header http.Header, byDefault time.Duration) (time.Duration, *outcome.Refusal) {
	text := header.Get(headerDeadline)
	if text == "" {
		return byDefault, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < minDeadline || wait > maxDeadline {
		return 0, notRun(outcome.ReasonInvalidDeadline, headerDeadline+" must be a duration with a unit from 1ms to 24h")
	}
	return wait, nil
}

func parseRepeatable(header http.Header, byDefault bool) (bool, *outcome.Refusal) {
	switch header.Get(headerRepeatable) {
	case "":
		return byDefault, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, notRun(outcome.ReasonInvalidRepeatable, headerRepeatable+" must be true or false")
}

func parseIdempotencyKey(header http.Header) (string, *outcome.Refusal) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || !validIdempotencyKey(key) {
		return "", notRun(outcome.ReasonInvalidIdempotencyKey, headerIdempotencyKey+" must be one value of 1 to 255 visible ASCII characters")
	}
	return key, nil
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
