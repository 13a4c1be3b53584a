package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
	"hawthornstream/testbench/standin/service"
)

const (
	maxIdleConnections = 256
	maxAnswerBytes     = 64 << 20
)

// Caller makes calls and records their outcomes. It is safe for concurrent use.
type Caller struct {
	client     *http.Client
	operations atomic.Int64

	mu       sync.Mutex
	outcomes []Outcome
}

// NewCaller returns a caller with its own connection pool.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}}}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Outcomes returns the outcomes of the calls that have ended so far.
func (c *Caller) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.outcomes...)
}

// Do makes a call through a daemon and returns its outcome when it has ended.
func (c *Caller) Do(ctx context.Context, daemon *Daemon, call Call) Outcome {
	return c.do(ctx, daemon.ID(), daemon.CallersURL(), call, false)
}

// DoDirect makes a call to the backend server at baseURL, without a daemon.
func (c *Caller) DoDirect(ctx context.Context, baseURL string, call Call) Outcome {
	return c.do(ctx, "", baseURL, call, true)
}

func (c *Caller) do(ctx context.Context, daemon ports.DaemonID, baseURL string, call Call, direct bool) Outcome {
	if call.Operation == "" {
		call.Operation = fmt.Sprintf("%s-%p-%d", call.Workspace, c, c.operations.Add(1))
	}
	outcome := Outcome{Call: call, Daemon: daemon, SentAt: time.Now()}
	c.send(ctx, baseURL, direct, &outcome)
	outcome.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome)
	return outcome
}

func (c *Caller) send(ctx context.Context, baseURL string, direct bool, outcome *Outcome) {
	call := &outcome.Call
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.url(baseURL, direct), bytes.NewReader(call.body()))
	if err != nil {
		outcome.Err = err
		return
	}
	call.setHeader(request.Header)
	if direct {
		request.Header.Set(standin.HeaderRequestID, call.Operation)
	}
	response, err := c.client.Do(request)
	if err != nil {
		outcome.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	outcome.Status = response.StatusCode
	outcome.RequestID = response.Header.Get(standin.HeaderRequestID)
	outcome.Run = response.Header.Get("Hawthornstream-Run")
	outcome.RetryAfter = response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusOK {
		outcome.readProblem(response.Body)
		return
	}
	if call.Stream && call.Kind != configuration.ServiceKindPlain {
		outcome.readStream(response.Body)
		return
	}
	outcome.readAnswer(response.Body)
}

// problem is the body of a refusal.
type problem struct {
	Reason string `json:"reason"`
	Run    string `json:"run"`
}

func (o *Outcome) readProblem(body io.Reader) {
	var decoded problem
	if err := json.NewDecoder(body).Decode(&decoded); err != nil {
		o.Err = err
		return
	}
	o.Reason = decoded.Reason
	if decoded.Run != o.Run {
		o.Mismatch = fmt.Sprintf("the header states run %q, the body %q", o.Run, decoded.Run)
	}
}

func (o *Outcome) readAnswer(body io.Reader) {
	firstByte := make([]byte, 1)
	if _, err := io.ReadFull(body, firstByte); err != nil {
		o.Err = err
		return
	}
	o.FirstByteAt = time.Now()
	rest, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		o.Err = err
		return
	}
	answer := append(firstByte, rest...)
	o.Complete = true
	if o.Call.Kind == configuration.ServiceKindPlain {
		o.checkPlainAnswer(answer)
		return
	}
	o.checkCompletion(answer)
}

func (o *Outcome) checkPlainAnswer(answer []byte) {
	var decoded service.Answer
	if err := json.Unmarshal(answer, &decoded); err != nil {
		o.Mismatch = "the answer is not valid JSON: " + err.Error()
		return
	}
	if decoded.Operation != o.Call.Operation {
		o.Mismatch = "the answer belongs to operation " + decoded.Operation
	}
}

type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (o *Outcome) checkCompletion(answer []byte) {
	var decoded completion
	if err := json.Unmarshal(answer, &decoded); err != nil || len(decoded.Choices) != 1 {
		o.Mismatch = fmt.Sprintf("the answer is not a completion with one choice: %v", err)
		return
	}
	var want bytes.Buffer
	for n := range o.Call.Tokens {
		want.WriteString(engine.TokenText(o.Call.Operation, n+1))
	}
	if decoded.Choices[0].Message.Content != want.String() {
		o.Mismatch = "the content differs from the expected tokens"
		return
	}
	o.Tokens = o.Call.Tokens
}
