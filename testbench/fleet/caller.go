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
	idleConnections = 256
	maxAnswer       = 64 << 20
)

// Caller makes calls and records what it saw.
type Caller struct {
	client     *http.Client
	operations atomic.Int64

	mu       sync.Mutex
	outcomes []Outcome
}

// NewCaller returns a caller with connections of its own.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}}
}

// Close drops the caller's idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Outcomes returns what the caller has seen so far.
func (c *Caller) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.outcomes...)
}

// Do makes a call at a daemon and returns when the answer has ended.
func (c *Caller) Do(ctx context.Context, daemon *Daemon, call Call) Outcome {
	return c.do(ctx, daemon.ID(), daemon.CallersURL(), call, false)
}

// DoDirect makes a call at a backend server without a daemon.
func (c *Caller) DoDirect(ctx context.Context, base string, call Call) Outcome {
	return c.do(ctx, "", base, call, true)
}

func (c *Caller) do(ctx context.Context, daemon ports.DaemonID, base string, call Call, direct bool) Outcome {
	if call.Operation == "" {
		call.Operation = fmt.Sprintf("%s-%p-%d", call.Workspace, c, c.operations.Add(1))
	}
	outcome := Outcome{Call: call, Daemon: daemon, Sent: time.Now()}
	c.exchange(ctx, base, direct, &outcome)
	outcome.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome)
	return outcome
}

func (c *Caller) exchange(ctx context.Context, base string, direct bool, outcome *Outcome) {
	call := &outcome.Call
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.url(base, direct), bytes.NewReader(call.body()))
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
	outcome.readWhole(response.Body)
}

type problem struct {
	Reason string `json:"reason"`
	Run    string `json:"run"`
}

func (o *Outcome) readProblem(body io.Reader) {
	var read problem
	if err := json.NewDecoder(body).Decode(&read); err != nil {
		o.Err = err
		return
	}
	o.Reason = read.Reason
	if read.Run != o.Run {
		o.Wrong = fmt.Sprintf("the header says %q, the body %q", o.Run, read.Run)
	}
}

func (o *Outcome) readWhole(body io.Reader) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(body, first); err != nil {
		o.Err = err
		return
	}
	o.FirstByte = time.Now()
	rest, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		o.Err = err
		return
	}
	answer := append(first, rest...)
	o.Whole = true
	if o.Call.Kind == configuration.ServiceKindPlain {
		o.checkPlain(answer)
		return
	}
	o.checkCompletion(answer)
}

func (o *Outcome) checkPlain(answer []byte) {
	var read service.Answer
	if err := json.Unmarshal(answer, &read); err != nil {
		o.Wrong = "the answer is not whole: " + err.Error()
		return
	}
	if read.Operation != o.Call.Operation {
		o.Wrong = "the answer is of " + read.Operation
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
	var read completion
	if err := json.Unmarshal(answer, &read); err != nil || len(read.Choices) != 1 {
		o.Wrong = fmt.Sprintf("the answer is not whole: %v", err)
		return
	}
	var want bytes.Buffer
	for n := range o.Call.Tokens {
		want.WriteString(engine.TokenText(o.Call.Operation, n+1))
	}
	if read.Choices[0].Message.Content != want.String() {
		o.Wrong = "the content is not the call's"
		return
	}
	o.Tokens = o.Call.Tokens
}
