package callerhttp

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/gracefulstop"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// runningInterval is the time between two looks at all calls in progress for estimates.
const runningInterval = 50 * time.Millisecond

// callKind identifies calls that are expected to take as long as each other.
type callKind struct {
	service ports.ServiceName
	class   ports.ClassName
}

// openCall is a call in progress.
type openCall struct {
	*ports.Call
	gate ports.SendGate
	sink *answerSink
	// ctx is the context of the execution. refuse ends it with the *outcome.Refusal that the
	// caller gets; only its first call has an effect.
	ctx    context.Context
	refuse context.CancelCauseFunc
	// takenInStop says that the daemon, or the one that relays the connection, was known to
	// stop when the call was taken.
	takenInStop bool
	// isCutCounted says that the call is counted as cut off by a stop.
	isCutCounted atomic.Bool
	// estimate is how long the call takes, once isEstimated. Only watchCuts uses them.
	estimate    *gracefulstop.Estimate
	isEstimated bool
}

// taken says for logs and metrics when the call was taken.
func (c *openCall) taken() string {
	if c.takenInStop {
		return "in-stop"
	}
	return "before-stop"
}

// openCalls is the set of calls in progress, with the lengths of those before. It is safe for
// concurrent use.
type openCalls struct {
	mu      sync.Mutex
	calls   map[*openCall]struct{}
	lengths *gracefulstop.Lengths[callKind]
	// running is how long the calls in progress had run at runningAt.
	running   map[callKind]gracefulstop.Running
	runningAt time.Time
}

func newOpenCalls() *openCalls {
	return &openCalls{calls: make(map[*openCall]struct{}), lengths: gracefulstop.NewLengths[callKind]()}
}

func (o *openCalls) add(call *openCall) {
	call.SendGate = &call.gate
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[call] = struct{}{}
}

// remove removes a call that has ended now, and records its length if its answer is whole.
func (o *openCalls) remove(call *openCall, result outcome.Result) {
	now := time.Now()
	sentAt, wasSent := call.gate.SentAt()
	begunAt, hasBegun := call.sink.begunTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, call)
	if wasSent && hasBegun && result.Refusal == nil {
		o.lengths.Record(now, kindOf(call.Call), gracefulstop.Length{
			Waited: sentAt.Sub(call.Arrived), FirstByte: begunAt.Sub(sentAt), Rest: now.Sub(begunAt),
			Units: unitsOf(call.Call),
		})
	}
}

func kindOf(call *ports.Call) callKind {
	return callKind{service: call.Service, class: call.Class}
}

// unitsOf returns the size of the answer that the caller asks for; zero if unknown.
func unitsOf(call *ports.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.OutputTokens
}

// estimate returns how long the call will take by the latest ones of its kind, or nil if too
// few are known.
func (o *openCalls) estimate(call *ports.Call) *gracefulstop.Estimate {
	now, kind, units := time.Now(), kindOf(call), unitsOf(call)
	o.mu.Lock()
	defer o.mu.Unlock()
	estimate, ok := o.lengths.Estimate(now, kind, units)
	if !ok {
		return nil
	}
	estimate.IncludeRunning(o.runningLocked(now)[kind], units)
	return &estimate
}

// runningLocked returns how long the calls of each kind have run, as of runningInterval ago at
// most. The caller holds the mutex.
func (o *openCalls) runningLocked(now time.Time) map[callKind]gracefulstop.Running {
	if now.Sub(o.runningAt) < runningInterval {
		return o.running
	}
	o.running, o.runningAt = make(map[callKind]gracefulstop.Running), now
	for open := range o.calls {
		if sentAt, wasSent := open.gate.SentAt(); wasSent {
			kind := kindOf(open.Call)
			running := o.running[kind]
			running.Include(unitsOf(open.Call), now.Sub(sentAt))
			o.running[kind] = running
		}
	}
	return o.running
}

// unsorted returns the calls in progress.
func (o *openCalls) unsorted() []*openCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls := make([]*openCall, 0, len(o.calls))
	for call := range o.calls {
		calls = append(calls, call)
	}
	return calls
}

// list returns the calls in progress, sorted by request ID.
func (o *openCalls) list() []*openCall {
	calls := o.unsorted()
	slices.SortFunc(calls, func(a, b *openCall) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return calls
}
