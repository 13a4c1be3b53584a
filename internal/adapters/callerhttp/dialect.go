package callerhttp

import (
	"net/http"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Dialect defines the paths, header fields and refusals of the HTTP API that
// callers use. The server itself manages connections, limits and calls in
// progress.
type Dialect interface {
	// Handler routes requests by their path. newHandler returns the handler of
	// the requests that a parser reads.
	Handler(newHandler func(Parser) http.Handler) http.Handler
	// AssignRequestID returns the ID of a request. It may set fields of the
	// answer's header.
	AssignRequestID(w http.ResponseWriter, r *http.Request) ports.RequestID
	// SetAnswerHeader sets the daemon's own fields in the header of a relayed
	// answer.
	SetAnswerHeader(header http.Header, id ports.RequestID)
	// WriteRefusal answers with a refusal. A failed write is ignored: the caller
	// has gone.
	WriteRefusal(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal)
}

// Parser creates a call from a request, or returns a refusal.
type Parser func(r *http.Request, in *IncomingRequest) (*ports.Call, *outcome.Refusal)

// IncomingRequest holds what is known about a request before it becomes a call.
type IncomingRequest struct {
	ID            ports.RequestID
	Configuration *ports.Configuration
	// Workspace is set by the parser. It is empty if the request was not
	// authenticated.
	Workspace ports.WorkspaceID
	// ReadBody reads the whole body and enforces the limits on its size and on
	// the time to receive it. It is called at most once.
	ReadBody func() ([]byte, *outcome.Refusal)

	// body is the body that the default dialect has read.
	body []byte
	// held is the memory that the request holds; nil before its body is read.
	held *heldMemory
}

// DefaultDialect returns the daemon's own dialect, for daemons whose platform
// defines none.
func DefaultDialect() Dialect {
	return defaultDialect{}
}
