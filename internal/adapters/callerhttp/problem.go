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

// notReadyRetryAfter is when a caller of a daemon without configuration should
// come back.
const notReadyRetryAfter = time.Second

// problem is the body of a refusal, as RFC 9457 has it.
type problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Reason    outcome.Reason   `json:"reason"`
	Run       outcome.RunState `json:"run"`
	Detail    string           `json:"detail"`
	RequestID ports.RequestID  `json:"requestID"`
}

func notRun(reason outcome.Reason, detail string) *outcome.Refusal {
	return &outcome.Refusal{Reason: reason, End: outcome.NotRun, Detail: detail}
}

// writeProblem answers with a refusal. A caller that has gone gets nothing.
func writeProblem(w http.ResponseWriter, id ports.RequestID, refusal *outcome.Refusal) {
	status := statusOf(refusal.Reason)
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
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = w.Write(body)
}
