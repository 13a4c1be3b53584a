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
	read, err := readRequest(r)
	if err != nil {
		w.Header().Set(standin.HeaderRequestID, read.id)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fault.Kind == standin.FaultSilent {
		<-r.Context().Done()
		return
	}
	begun := e.begin(read)
	switch fault.Kind {
	case standin.FaultResetAfter:
		standin.ResetConnection(w)
		return
	case standin.FaultSilentRan:
		<-r.Context().Done()
		return
	}
	begun.attach()
	defer begun.detach(e.config.ResumeWindow)
	w.Header().Set(standin.HeaderRequestID, e.answerID(begun.id, fault))
	if read.Stream {
		e.stream(r.Context(), w, begun, 0, fault)
		return
	}
	e.whole(r.Context(), w, begun, fault)
}

func (e *Engine) answerID(id string, fault standin.Fault) string {
	other := e.crossedID(id)
	if fault.Kind == standin.FaultWrongRequestID {
		return other
	}
	return id
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	found, ok := e.find(r.PathValue("id"))
	if !ok {
		w.Header().Set(standin.HeaderRequestID, r.PathValue("id"))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = 0
	}
	found.attach()
	defer found.detach(e.config.ResumeWindow)
	w.Header().Set(standin.HeaderRequestID, found.id)
	e.stream(r.Context(), w, found, last, standin.Fault{})
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

// stream sends the events after sent until the run ends. The header goes out
// with the first event.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, sent int, fault standin.Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		now := r.state()
		for sent < now.generated {
			if strikesAt(fault, sent) {
				faultWithinAnswer(ctx, w, fault)
				return
			}
			sent++
			_, _ = io.WriteString(w, r.event(sent))
		}
		if now.ended {
			break
		}
		if sent > 0 {
			_ = flusher.Flush()
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			return
		}
	}
	if strikesAt(fault, sent) {
		faultWithinAnswer(ctx, w, fault)
		return
	}
	if r.state().cancelled {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, doneEvent)
	if fault.Kind == standin.FaultOverlong {
		_, _ = io.WriteString(w, r.event(sent+1))
	}
}

func strikesAt(fault standin.Fault, sent int) bool {
	switch fault.Kind {
	case standin.FaultResetAnswer, standin.FaultSilentAnswer, standin.FaultTruncated:
		return sent >= fault.After
	default:
		return false
	}
}

func faultWithinAnswer(ctx context.Context, w http.ResponseWriter, fault standin.Fault) {
	_ = http.NewResponseController(w).Flush()
	switch fault.Kind {
	case standin.FaultResetAnswer:
		standin.ResetConnection(w)
	case standin.FaultSilentAnswer:
		<-ctx.Done()
	}
}

// whole sends the answer when the run has ended.
func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, r *run, fault standin.Fault) {
	for {
		now := r.state()
		if now.ended {
			break
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			r.cancel()
			return
		}
	}
	if r.state().cancelled {
		standin.ResetConnection(w)
		return
	}
	standin.WriteBodyWithFault(ctx, w, r.completion(), fault)
}

// Token returns the text of the n-th token of an operation's answer, from 1 on.
func Token(operation string, n int) string {
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

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *run) event(n int) string {
	chunk := completion{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Choices: []choice{{Delta: &message{Content: Token(r.operation, n)}}},
	}
	data, _ := json.Marshal(chunk)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
}

func (r *run) completion() []byte {
	var content strings.Builder
	for n := range r.total {
		content.WriteString(Token(r.operation, n+1))
	}
	answer := completion{
		ID:      r.id,
		Object:  "chat.completion",
		Choices: []choice{{Message: &message{Role: "assistant", Content: content.String()}}},
		Usage:   &usage{CompletionTokens: r.total},
	}
	data, _ := json.Marshal(answer)
	return data
}
