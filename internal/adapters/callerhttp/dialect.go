package callerhttp

import (
	"net/http"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Dialect is how callers say what they want and how they are answered. The
// server itself keeps connections, limits and calls in progress.
type Dialect interface {
	// Handler sorts requests by their path. handle makes the handler of the
	// requests that one parser reads.
	Handler(handle func(Parser) http.Handler) http.Handler
	// Identify returns the id of a request. It may set fields of the answer's
	// header.
	Identify(w http.ResponseWriter, r *http.Request) ports.RequestID
	// Mark sets the daemon's own fields in the header of a relayed answer.
	Mark(header http.Header, id ports.RequestID)
	// Refuse answers with a refusal. A caller that has gone gets nothing.
	Refuse(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal)
}

// Parser turns a request into a call. It fails with a refusal.
type Parser func(r *http.Request, in *Intake) (*ports.Call, *outcome.Refusal)

// Intake is what is known of a request before it is a call.
type Intake struct {
	ID            ports.RequestID
	Configuration *ports.Configuration
	Workspace     ports.WorkspaceID
	// ReadBody reads the whole body within the limits of size and time. It is
	// called at most once.
	ReadBody func() ([]byte, *outcome.Refusal)

	body []byte
}

// Own returns the daemon's own dialect.
func Own() Dialect {
	return own{}
}
