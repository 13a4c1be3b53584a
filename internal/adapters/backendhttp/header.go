package backendhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornstream/internal/ports"
)

// Header fields between daemons and backend servers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRunState       = "X-Run-State"
	HeaderLeaving        = "X-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-Id"
)

// runStateNotRun is the value of HeaderRunState by which a server declares that
// it ran no part of the call.
const runStateNotRun = "not-run"

// reservedHeaderPrefix is the prefix of the header fields between callers and
// daemons, which are not forwarded to backend servers.
const reservedHeaderPrefix = "Hawthornstream-"

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// FilterRequestHeader returns a copy of a caller's header with the fields that
// are forwarded to a backend server. The caller's bearer key is removed.
func FilterRequestHeader(header ports.Header) http.Header {
	forwarded := cloneEndToEndFields(http.Header(header))
	forwarded.Del("Authorization")
	forwarded.Del("Content-Length")
	forwarded.Del("Expect")
	forwarded.Del("Host")
	for name := range forwarded {
		if strings.HasPrefix(name, reservedHeaderPrefix) {
			forwarded.Del(name)
		}
	}
	return forwarded
}

// FilterAnswerHeader returns a copy of a backend server's header with the fields
// that are forwarded to the caller.
func FilterAnswerHeader(header http.Header) ports.Header {
	forwarded := cloneEndToEndFields(header)
	forwarded.Del(HeaderRequestID)
	forwarded.Del(HeaderRunState)
	forwarded.Del(HeaderLeaving)
	return ports.Header(forwarded)
}

// cloneEndToEndFields returns a copy without the hop-by-hop fields, which include
// those that the field Connection names. The result is never nil.
func cloneEndToEndFields(header http.Header) http.Header {
	clone := header.Clone()
	if clone == nil {
		clone = make(http.Header)
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			clone.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		clone.Del(name)
	}
	return clone
}

// keepAliveMargin is how long before the server's own idle timeout a connection is
// no longer reused: a request that crosses the server's close is lost.
const keepAliveMargin = 500 * time.Millisecond

// maxIdleTimeOf returns how long a connection may be idle after an answer: the
// timeout in the field Keep-Alive less keepAliveMargin, but at most idleTimeout.
func maxIdleTimeOf(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return min(max(time.Duration(seconds)*time.Second-keepAliveMargin, 0), idleTimeout)
		}
	}
	return idleTimeout
}
