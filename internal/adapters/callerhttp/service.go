package callerhttp

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// daemonHeaderPrefix is the prefix of the names of header fields that are meant
// for the daemon alone.
const daemonHeaderPrefix = "Hawthornstream-"

// notForwardedHeaders are the hop-by-hop header fields (RFC 9110) and the fields
// that the daemon replaces.
var notForwardedHeaders = map[string]bool{
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

// parseService creates a call to a plain service.
func parseService(r *http.Request, in *IncomingRequest) (*ports.Call, *outcome.Refusal) {
	if refusal := authenticateAndReadBody(r, in); refusal != nil {
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

// endToEndHeader returns the header fields that are forwarded to the backend
// server.
func endToEndHeader(header http.Header) ports.Header {
	hopByHop := connectionOptions(header)
	forwarded := make(ports.Header, len(header))
	for name, values := range header {
		if notForwardedHeaders[name] || hopByHop[name] || strings.HasPrefix(name, daemonHeaderPrefix) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// connectionOptions returns the names of the header fields that the Connection
// field lists.
func connectionOptions(header http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
