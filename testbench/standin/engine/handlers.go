package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hawthornstream/testbench/standin"
)

const doneEvent = "data: [DONE]\n\n"

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	fault := e.NextFault()
	if standin.InjectFaultBeforeRun(w, r, fault) {
		return
	}
	parsed, err := readRequest(r)
	if err != nil {
		w.Header().Set(standin.HeaderRequestID, parsed.id)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fault.Kind == standin.FaultSilent {
		<-r.Context().Done()
		return
	}
	started := e.startRun(parsed)
	switch fault.Kind {
	case standin.FaultResetAfter:
		standin.ResetConnection(w)
		return
	case standin.FaultSilentRan:
		<-r.Context().Done()
		return
	}
	started.addReader()
	defer started.removeReader(e.config.ResumeWindow)
	w.Header().Set(standin.HeaderRequestID, e.responseRequestID(started.id, fault))
	if parsed.Stream {
		e.writeStream(r.Context(), w, started, 0, fault)
		return
	}
	e.writeCompletion(r.Context(), w, started, fault)
}

// responseRequestID returns the request ID that the answer names: id, or another
// one for FaultWrongRequestID.
func (e *Engine) responseRequestID(id string, fault standin.Fault) string {
	previousID := e.previousAnsweredID(id)
	if fault.Kind == standin.FaultWrongRequestID {
		return previousID
	}
	return id
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	found, ok := e.findResumable(r.PathValue("id"))
	if !ok {
		w.Header().Set(standin.HeaderRequestID, r.PathValue("id"))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = 0
	}
	found.addReader()
	defer found.removeReader(e.config.ResumeWindow)
	w.Header().Set(standin.HeaderRequestID, found.id)
	e.writeStream(r.Context(), w, found, last, standin.Fault{})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	found := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if found != nil {
		found.cancel()
	}
	w.Header().Set(standin.HeaderRequestID, r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// writeStream sends the events that follow event number sent until the run ends,
// and the fault if it occurs within the answer. The header is flushed with the first
// event.
func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, r *run, sent int, fault standin.Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		current := r.snapshot()
		for sent < current.generatedTokens {
			if occursAfter(fault, sent) {
				injectFaultInStream(ctx, w, fault)
				return
			}
			sent++
			_, _ = io.WriteString(w, r.eventText(sent))
		}
		if current.ended {
			break
		}
		if sent > 0 {
			_ = flusher.Flush()
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			return
		}
	}
	if occursAfter(fault, sent) {
		injectFaultInStream(ctx, w, fault)
		return
	}
	if r.snapshot().cancelled {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, doneEvent)
	if fault.Kind == standin.FaultOverlong {
		_, _ = io.WriteString(w, r.eventText(sent+1))
	}
}

// occursAfter reports whether the fault is due in a stream once sent events have
// been written.
func occursAfter(fault standin.Fault, sent int) bool {
	switch fault.Kind {
	case standin.FaultResetAnswer, standin.FaultSilentAnswer, standin.FaultTruncated:
		return sent >= fault.After
	default:
		return false
	}
}

func injectFaultInStream(ctx context.Context, w http.ResponseWriter, fault standin.Fault) {
	_ = http.NewResponseController(w).Flush()
	switch fault.Kind {
	case standin.FaultResetAnswer:
		standin.ResetConnection(w)
	case standin.FaultSilentAnswer:
		<-ctx.Done()
	}
}

// writeCompletion sends the whole answer when the run has ended. It cancels the run
// if the caller disconnects before.
func (e *Engine) writeCompletion(ctx context.Context, w http.ResponseWriter, r *run, fault standin.Fault) {
	for {
		current := r.snapshot()
		if current.ended {
			break
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			r.cancel()
			return
		}
	}
	if r.snapshot().cancelled {
		standin.ResetConnection(w)
		return
	}
	standin.WriteBodyWithFault(ctx, w, r.completionJSON(), fault)
}

// TokenText returns the text of the n-th token of an operation's answer; n counts
// from 1.
func TokenText(operation string, n int) string {
	return fmt.Sprintf("%s#%d ", operation, n)
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// chatCompletion is a whole answer, or one chunk of a streamed answer.
type chatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// eventText returns the n-th event of the stream, which carries the n-th token.
func (r *run) eventText(n int) string {
	chunk := chatCompletion{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Choices: []choice{{Delta: &message{Content: TokenText(r.operation, n)}}},
	}
	data, _ := json.Marshal(chunk)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
}

func (r *run) completionJSON() []byte {
	var content strings.Builder
	for n := range r.totalTokens {
		content.WriteString(TokenText(r.operation, n+1))
	}
	answer := chatCompletion{
		ID:      r.id,
		Object:  "chat.completion",
		Choices: []choice{{Message: &message{Role: "assistant", Content: content.String()}}},
		Usage:   &usage{CompletionTokens: r.totalTokens},
	}
	data, _ := json.Marshal(answer)
	return data
}
