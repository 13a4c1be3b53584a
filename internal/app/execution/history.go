package execution

import (
	"sync"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// maxTraces is the number of recent calls whose traces are kept.
	maxTraces = 4096
	// maxTraceEvents is the most events in one trace; later events are dropped.
	maxTraceEvents = 32
)

// history keeps the traces of recent calls. It implements ports.CallHistory.
type history struct {
	mu   sync.Mutex
	ring [maxTraces]*callTrace
	// next is the index in ring of the next trace, which replaces the oldest one.
	next   int
	byCall map[ports.RequestID]*callTrace
}

// callTrace is the trace of one call. Its fields are guarded by the mutex of the
// history.
type callTrace struct {
	history *history
	trace   ports.CallTrace
}

func newHistory() *history {
	return &history{byCall: make(map[ports.RequestID]*callTrace)}
}

// startTrace adds a trace for a call. It replaces the oldest trace when the history is
// full.
func (h *history) startTrace(call *ports.Call) *callTrace {
	t := &callTrace{history: h, trace: ports.CallTrace{
		ID: call.ID, Workspace: call.Workspace, Service: call.Service, Class: call.Class,
		Events: []ports.CallEvent{{At: call.Arrived, Name: "arrived"}},
	}}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.ring[h.next]; old != nil && h.byCall[old.trace.ID] == old {
		delete(h.byCall, old.trace.ID)
	}
	h.ring[h.next] = t
	h.next = (h.next + 1) % maxTraces
	h.byCall[call.ID] = t
	return t
}

// addEvent adds an event unless the trace is full.
func (t *callTrace) addEvent(now time.Time, name, detail string) {
	t.history.mu.Lock()
	defer t.history.mu.Unlock()
	if len(t.trace.Events) < maxTraceEvents {
		t.trace.Events = append(t.trace.Events, ports.CallEvent{At: now, Name: name, Detail: detail})
	}
}

// Explain implements ports.CallHistory.
func (h *history) Explain(id ports.RequestID) (ports.CallTrace, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.byCall[id]
	if !ok {
		return ports.CallTrace{}, false
	}
	copied := t.trace
	copied.Events = append([]ports.CallEvent(nil), t.trace.Events...)
	return copied, true
}
