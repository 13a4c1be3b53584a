package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const problemContentType = "application/problem+json"

// notReadyRetryAfter is the time after which a caller of a daemon without a
// configuration should retry.
const notReadyRetryAfter = time.Second

// problem is the body of a refusal (RFC 9457, problem details).
type problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Reason    outcome.Reason   `json:"reason"`
	Run       outcome.RunState `json:"run"`
	Detail    string           `json:"detail"`
	RequestID ports.RequestID  `json:"requestID"`
}

// notRunRefusal returns the refusal of a call that did not run.
func notRunRefusal(reason outcome.Reason, detail string) *outcome.Refusal {
	return &outcome.Refusal{Reason: reason, End: outcome.NotRun, Detail: detail}
}

// writeProblem answers with a refusal.
func writeProblem(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal) {
	status := httpStatus(refusal.Reason)
	body, err := json.Marshal(problem{
		Type:      "about:blank",
		Title:     http.StatusText(status),
		Status:    status,
		Reason:    refusal.Reason,
		Run:       refusal.End,
		Detail:    refusal.Detail,
		RequestID: id,
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set(headerContentType, problemContentType)
	header.Set(headerRun, string(refusal.End))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(status)
	// A failed write means that the caller has gone, so the error is dropped.
	_, _ = w.Write(body)
}
