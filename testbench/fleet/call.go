package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Call describes a call that a Caller makes.
type Call struct {
	Workspace ports.WorkspaceID
	Service   ports.ServiceName
	Kind      configuration.ServiceKind
	// Class is the service's default when empty.
	Class ports.ClassName
	// Operation identifies the call, in all its attempts, in answers and run
	// logs. Caller generates a unique one if it is empty.
	Operation string
	// IdempotencyKey is sent as the header of that name unless it is empty.
	IdempotencyKey string
	// Repeatable is "true", "false", or "" to leave it to the class.
	Repeatable string
	// Deadline is the time allowed for the call. Zero leaves it to the class.
	Deadline time.Duration
	// Stream asks an engine to stream its answer as server-sent events.
	Stream bool
	// Tokens is the number of tokens that an engine generates. MaxTokens is the
	// max_tokens of the request, a hint of that number; zero leaves it out.
	Tokens    int
	MaxTokens int
	// RunMilliseconds is the run time at a server of a plain service.
	RunMilliseconds float64
	// PaddingBytes is the number of bytes added to the request's body.
	PaddingBytes int
}

// Outcome is the result of one attempt of a call, as the caller observed it.
type Outcome struct {
	Call   Call
	Daemon ports.DaemonID
	// SentAt, FirstByteAt and EndedAt are by the caller's clock. FirstByteAt is
	// zero if no byte of the answer's body was received.
	SentAt      time.Time
	FirstByteAt time.Time
	EndedAt     time.Time
	RequestID   string
	// Status is the HTTP status code, zero if no answer was received.
	Status int
	// Run is the value of the answer's header "Hawthornstream-Run".
	Run string
	// Reason and RetryAfter are set by a refusal.
	Reason     string
	RetryAfter string
	// Complete reports whether the answer was received to its end.
	Complete bool
	// Mismatch is empty, or describes how the answer shows that it belongs to
	// another call, contradicts itself, or ended as complete with parts lost or
	// repeated.
	Mismatch string
	// Tokens is the number of tokens received in order.
	Tokens int
	// Err is the error that ended the request or the reading of its answer.
	Err error
}

// ConnectionRefused reports whether no process accepted the connection, so that
// nothing was sent.
func (o *Outcome) ConnectionRefused() bool {
	return errors.Is(o.Err, syscall.ECONNREFUSED)
}

// Interrupted reports whether the call failed after it may have been sent, with
// neither a complete answer nor a refusal, and not because the caller canceled
// it.
func (o *Outcome) Interrupted() bool {
	return o.Err != nil && !o.ConnectionRefused() && !o.CanceledByCaller()
}

// CanceledByCaller reports whether the caller ended the call, by cancellation or
// at the deadline of its context.
func (o *Outcome) CanceledByCaller() bool {
	return errors.Is(o.Err, context.Canceled) || errors.Is(o.Err, context.DeadlineExceeded)
}

// TimeToFirstByte returns the time from sending the call to the first byte of the
// answer's body, or to the end of the call if no byte was received.
func (o *Outcome) TimeToFirstByte() time.Duration {
	if o.FirstByteAt.IsZero() {
		return o.EndedAt.Sub(o.SentAt)
	}
	return o.FirstByteAt.Sub(o.SentAt)
}

type chatBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Metadata  map[string]string `json:"metadata"`
	Messages  []chatMessage     `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Call) body() []byte {
	if c.Kind == configuration.ServiceKindPlain {
		return []byte(c.Operation + strings.Repeat(".", c.PaddingBytes))
	}
	body, _ := json.Marshal(chatBody{
		Model:     string(c.Service),
		Stream:    c.Stream,
		MaxTokens: c.MaxTokens,
		Metadata: map[string]string{
			"tokens":    strconv.Itoa(c.Tokens),
			"workspace": string(c.Workspace),
			"operation": c.Operation,
		},
		Messages: []chatMessage{{Role: "user", Content: strings.Repeat(".", c.PaddingBytes)}},
	})
	return body
}

// url returns the URL of the call, at a daemon or, when direct is set, at a
// backend server.
func (c *Call) url(baseURL string, direct bool) string {
	if c.Kind != configuration.ServiceKindPlain {
		return baseURL + "/v1/chat/completions"
	}
	query := url.Values{
		"ms":        {strconv.FormatFloat(c.RunMilliseconds, 'f', -1, 64)},
		"workspace": {string(c.Workspace)},
		"operation": {c.Operation},
	}
	path := "/orders"
	if !direct {
		path = fmt.Sprintf("/services/%s%s", c.Service, path)
	}
	return baseURL + path + "?" + query.Encode()
}

func (c *Call) setHeader(header http.Header) {
	header.Set("Authorization", "Bearer "+CallerKey(c.Workspace))
	header.Set("Content-Type", "application/json")
	if c.Class != "" {
		header.Set("Hawthornstream-Class", string(c.Class))
	}
	if c.IdempotencyKey != "" {
		// Under its canonical name, net/http's transport would take the header as
		// permission to retry the request by itself.
		header["idempotency-key"] = []string{c.IdempotencyKey}
	}
	if c.Repeatable != "" {
		header.Set("Hawthornstream-Repeatable", c.Repeatable)
	}
	if c.Deadline != 0 {
		header.Set("Hawthornstream-Deadline", c.Deadline.String())
	}
}
