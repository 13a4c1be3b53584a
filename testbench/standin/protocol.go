package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Header fields exchanged between daemons and backend servers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRunState       = "X-Run-State"
	HeaderLeaving        = "X-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// RunStateNotRun is the value of HeaderRunState in an answer to a request that
// was not run.
const RunStateNotRun = "not-run"

// WriteNotRunRefusal answers 503 with run state "not-run". With leaving set, the
// answer also says that the server is leaving.
func WriteNotRunRefusal(w http.ResponseWriter, requestID string, leaving bool) {
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set(HeaderRunState, RunStateNotRun)
	w.Header().Set("Retry-After", "1")
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// WriteJSON answers 200 with value encoded as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// InjectFaultBeforeRun injects fault if it is of a kind that occurs before the
// whole request has been read, and reports whether it did. When it returns true,
// the request is finished.
func InjectFaultBeforeRun(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	id := r.Header.Get(HeaderRequestID)
	switch fault.Kind {
	case FaultResetBefore:
		ResetConnection(w)
	case FaultResetDuring:
		_, _ = io.CopyN(io.Discard, r.Body, 1)
		ResetConnection(w)
	case FaultOverloaded:
		WriteNotRunRefusal(w, id, false)
	case FaultLeaving:
		WriteNotRunRefusal(w, id, true)
	default:
		return false
	}
	return true
}
