package callerhttp

import (
	"slices"
	"strings"
	"sync"

	"hawthornstream/internal/ports"
)

// openCalls is the set of calls in progress. It is safe for concurrent use.
type openCalls struct {
	mu    sync.Mutex
	calls map[ports.RequestID]*ports.Call
}

func newOpenCalls() *openCalls {
	return &openCalls{calls: make(map[ports.RequestID]*ports.Call)}
}

func (o *openCalls) add(call *ports.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[call.ID] = call
}

func (o *openCalls) remove(call *ports.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, call.ID)
}

// list returns the calls in progress, sorted by request ID.
func (o *openCalls) list() []*ports.Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls := make([]*ports.Call, 0, len(o.calls))
	for _, call := range o.calls {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *ports.Call) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return calls
}
