package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// Work describes what one call requires of a backend server.
type Work struct {
	// CallID is the call's ID, the same for all its tries, and BodyBytes the size of its
	// body.
	CallID    ports.RequestID
	BodyBytes int
	// ForEngine reports whether the call is for a model engine.
	ForEngine bool
	Class     ports.ClassName
	// PrefixID identifies the prompt prefix; empty for none.
	PrefixID string
	// PrefixTokens is the number of prompt tokens in the prefix, which other
	// calls share, and UniqueTokens the number of the rest.
	PrefixTokens, UniqueTokens int
	// OutputTokens is the number of tokens that will probably be generated.
	OutputTokens int
	// FirstTokenWithin is the time to the first byte of the answer that the
	// class aims for.
	FirstTokenWithin time.Duration
	// FirstByteWithin is how long after its arrival the caller leaves unless the answer
	// begins; zero for never.
	FirstByteWithin time.Duration
	// PauseWithin is the longest pause between events that the class aims for; zero for
	// none.
	PauseWithin time.Duration
	// FailedServers are the servers on which the call failed before.
	FailedServers []ports.VMName
	// Resumes says that the call continues a stream of which a daemon knows that its
	// caller has events. The caller's word alone would let any call wait longer.
	Resumes bool
	// SoftwareVersion is the only software version at which the call may run; empty
	// for any.
	SoftwareVersion string

	// regions are those in which the call may run.
	regions Regions
	// isLongPrompt and destination are set by the pool. The destination is the failure
	// domain in which the call should run; empty without spillover.
	isLongPrompt bool
	destination  ports.FailureDomain
}

// WorkOf returns the work of a call.
func WorkOf(call *ports.Call) Work {
	work := Work{
		CallID: call.ID, BodyBytes: len(call.Body), Class: call.Class, FirstTokenWithin: call.FirstTokenBy.Sub(call.Arrived),
		FirstByteWithin: call.LeavesAt().Sub(call.Arrived), PauseWithin: call.PauseWithin,
		FailedServers: call.FailedServers, Resumes: call.LastEventID > 0 && len(call.FailedServers) > 0,
		SoftwareVersion: call.SoftwareVersion, regions: AllowedRegions(call.Regions),
	}
	if prompt := call.Prompt; prompt != nil {
		work.ForEngine = true
		work.PrefixID = prompt.PrefixID()
		work.UniqueTokens = prompt.UniqueTokens()
		work.PrefixTokens = prompt.InputTokens - work.UniqueTokens
		work.OutputTokens = prompt.OutputTokens
	}
	return work
}

// outputTokenWeight is the cost of a generated token for an engine in prompt
// tokens, as the configuration's tokensPerSecond counts them.
const outputTokenWeight = 2

// CostTokens returns the cost of the call as the configuration's
// tokensPerSecond counts it: the whole prompt, cached or not, and the weighted
// output.
func (w *Work) CostTokens() float64 {
	return float64(w.PrefixTokens + w.UniqueTokens + outputTokenWeight*w.OutputTokens)
}

// Load is what runs and is pending on one backend server.
type Load struct {
	// Calls is the number of calls that were sent and have not ended.
	Calls int
	// PendingTokens are the prompt tokens of calls that have no first byte yet.
	PendingTokens int
	// MemoryTokens are the tokens that the calls will occupy in memory.
	MemoryTokens int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Calls: l.Calls + other.Calls, PendingTokens: l.PendingTokens + other.PendingTokens,
		MemoryTokens: l.MemoryTokens + other.MemoryTokens,
	}
}

// IsZero reports whether there is no load.
func (l Load) IsZero() bool {
	return l == Load{}
}
