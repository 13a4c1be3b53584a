package callerhttp

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// ownHeaderPrefix starts the names of the header fields that are meant for the
// daemon alone.
const ownHeaderPrefix = "Hawthornstream-"

// hopHeaders are the header fields that concern one connection only, as RFC
// 9110 has it, and those that the daemon replaces.
var hopHeaders = map[string]bool{
	headerAuthorization:   true,
	headerRequestID:       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// parseService makes a call to a plain service.
func parseService(r *http.Request, in *Intake) (*ports.Call, *outcome.Refusal) {
	if refusal := admitOwn(r, in); refusal != nil {
		return nil, refusal
	}
	variables := mux.Vars(r)
	name := ports.ServiceName(variables["service"])
	call, refusal := newCall(r, in, name, configuration.ServiceKindPlain)
	if refusal != nil {
		return nil, refusal
	}
	call.Path = "/" + variables["path"]
	call.Query = r.URL.RawQuery
	call.Header = endToEndHeader(r.Header)
	return call, nil
}

func endToEndHeader(header http.Header) ports.Header {
	listed := connectionOptions(header)
	kept := make(ports.Header, len(header))
	for name, values := range header {
		if hopHeaders[name] || listed[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// connectionOptions returns the header fields that the Connection field lists.
func connectionOptions(header http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
