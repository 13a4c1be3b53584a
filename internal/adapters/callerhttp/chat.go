package callerhttp

import (
	"encoding/json"
	"net/http"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// chatRequest contains the fields of a chat completions request that the daemon
// reads.
type chatRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// parseChatCompletion creates a call to a model engine.
func parseChatCompletion(r *http.Request, in *IncomingRequest) (*ports.Call, *outcome.Refusal) {
	if refusal := authenticateAndReadBody(r, in); refusal != nil {
		return nil, refusal
	}
	var request chatRequest
	if err := json.Unmarshal(in.body, &request); err != nil {
		return nil, notRunRefusal(outcome.ReasonMalformedRequest, "the body is not a chat completions request: "+err.Error())
	}
	call, refusal := newCall(r, in, ports.ServiceName(request.Model), configuration.ServiceKindEngine)
	if refusal != nil {
		return nil, refusal
	}
	call.Stream = request.Stream
	call.Path = r.URL.Path
	return call, nil
}

// refuseUnknownPath is the parser of requests whose method and path are not
// served.
func refuseUnknownPath(r *http.Request, in *IncomingRequest) (*ports.Call, *outcome.Refusal) {
	if refusal := authenticateAndReadBody(r, in); refusal != nil {
		return nil, refusal
	}
	return nil, notRunRefusal(outcome.ReasonUnknownPath, "nothing is served for "+r.Method+" on this path")
}
