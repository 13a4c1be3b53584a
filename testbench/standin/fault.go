package standin

import "sync"

// FaultKind is a way in which a request fails at a backend server.
type FaultKind string

// The faults of backend servers. Those that run nothing leave no record in the
// run log.
const (
	// FaultNone serves the request.
	FaultNone FaultKind = ""
	// FaultResetBefore resets the connection after the request header has
	// arrived; nothing runs.
	FaultResetBefore FaultKind = "reset-before"
	// FaultResetDuring resets the connection after part of the request body has
	// arrived; nothing runs.
	FaultResetDuring FaultKind = "reset-during"
	// FaultResetAfter runs the request and resets the connection without an
	// answer.
	FaultResetAfter FaultKind = "reset-after"
	// FaultResetAnswer runs the request and resets the connection within the
	// answer.
	FaultResetAnswer FaultKind = "reset-answer"
	// FaultSilent reads the whole request and never answers; nothing runs.
	FaultSilent FaultKind = "silent"
	// FaultSilentRan runs the request and never answers.
	FaultSilentRan FaultKind = "silent-ran"
	// FaultSilentAnswer runs the request and stops sending within the answer,
	// but keeps the connection open.
	FaultSilentAnswer FaultKind = "silent-answer"
	// FaultWrongRequestID runs the request and names another request in the
	// answer's X-Request-Id.
	FaultWrongRequestID FaultKind = "crossed"
	// FaultOverloaded answers 503 with run state "not-run"; nothing runs.
	FaultOverloaded FaultKind = "overloaded"
	// FaultLeaving answers as FaultOverloaded and says that the server is
	// leaving; nothing runs.
	FaultLeaving FaultKind = "leaving"
	// FaultTruncated runs the request and ends the answer early: a stream ends
	// with a well-formed end of the body, a whole answer before its
	// Content-Length.
	FaultTruncated FaultKind = "truncated"
	// FaultOverlong runs the request and sends further data after the end of
	// the answer.
	FaultOverlong FaultKind = "overlong"
)

// Fault describes a fault to inject into a number of requests.
type Fault struct {
	Kind FaultKind
	// Count is the number of requests affected; negative: all until
	// ClearFaults.
	Count int
	// After is how much of the answer is sent before a fault within the answer:
	// in tokens for a stream, in bytes for a whole answer.
	After int
}

// Faults is a queue of scheduled faults. Its zero value is empty.
type Faults struct {
	mu        sync.Mutex
	scheduled []Fault
	injected  map[FaultKind]int
}

// ScheduleFault appends a fault to the queue.
func (f *Faults) ScheduleFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduled = append(f.scheduled, fault)
}

// ClearFaults removes all scheduled faults.
func (f *Faults) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduled = nil
}

// InjectedCount returns the number of requests to which a fault of the kind was
// assigned.
func (f *Faults) InjectedCount(kind FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[kind]
}

// NextFault returns the fault for the next request and counts it as injected; its
// kind is FaultNone if none is scheduled.
func (f *Faults) NextFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.scheduled) > 0 {
		first := &f.scheduled[0]
		if first.Count == 0 {
			f.scheduled = f.scheduled[1:]
			continue
		}
		if first.Count > 0 {
			first.Count--
		}
		if f.injected == nil {
			f.injected = make(map[FaultKind]int)
		}
		f.injected[first.Kind]++
		return *first
	}
	return Fault{}
}
