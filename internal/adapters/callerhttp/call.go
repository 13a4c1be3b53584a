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
	// minTimeout and maxTimeout bound the duration in headerDeadline.
	minTimeout              = time.Millisecond
	maxTimeout              = 24 * time.Hour
	maxIdempotencyKeyLength = 255
)

// newCall creates a call with the fields that are common to model engines and
// plain services.
func newCall(
	r *http.Request,
	in *IncomingRequest,
	name ports.ServiceName,
	kind configuration.ServiceKind,
) (*ports.Call, *outcome.Refusal) {
	document := &in.Configuration.Document
	service, found := document.Services[name]
	if !found || service.Kind != kind {
		return nil, notRunRefusal(outcome.ReasonUnknownService, "no "+string(kind)+" service has the name "+strconv.Quote(string(name)))
	}
	className := ports.ClassName(r.Header.Get(headerClass))
	if className == "" {
		className = service.DefaultClass
	}
	class, found := document.Classes[className]
	if !found {
		return nil, notRunRefusal(outcome.ReasonUnknownClass, "no class has the name "+strconv.Quote(string(className)))
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
	if refusal := setCallOptions(call, r.Header, class); refusal != nil {
		return nil, refusal
	}
	return call, nil
}

// setCallOptions sets the deadline, repeatability and idempotency key of the call
// from the header, with the defaults of its class.
func setCallOptions(call *ports.Call, header http.Header, class configuration.Class) *outcome.Refusal {
	timeout, refusal := parseDeadline(header, class.AnswerWithin.Value())
	if refusal != nil {
		return refusal
	}
	call.Deadline = call.Arrived.Add(timeout)
	if call.Repeatable, refusal = parseRepeatable(header, class.Repeatable); refusal != nil {
		return refusal
	}
	call.IdempotencyKey, refusal = parseIdempotencyKey(header)
	return refusal
}

// parseDeadline returns the time that the caller allows for the call.
func parseDeadline(header http.Header, defaultTimeout time.Duration) (time.Duration, *outcome.Refusal) {
	value := header.Get(headerDeadline)
	if value == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout < minTimeout || timeout > maxTimeout {
		return 0, notRunRefusal(outcome.ReasonInvalidDeadline, headerDeadline+" must be a duration with a unit from 1ms to 24h")
	}
	return timeout, nil
}

func parseRepeatable(header http.Header, defaultValue bool) (bool, *outcome.Refusal) {
	switch header.Get(headerRepeatable) {
	case "":
		return defaultValue, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, notRunRefusal(outcome.ReasonInvalidRepeatable, headerRepeatable+" must be true or false")
}

func parseIdempotencyKey(header http.Header) (string, *outcome.Refusal) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || !validIdempotencyKey(key) {
		return "", notRunRefusal(outcome.ReasonInvalidIdempotencyKey, headerIdempotencyKey+" must be one value of 1 to 255 visible ASCII characters")
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
