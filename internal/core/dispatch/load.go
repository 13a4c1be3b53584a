package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// Work is what one call asks of a backend server.
type Work struct {
	// Engine says that the call is for a model engine.
	Engine bool
	Class  ports.ClassName
	// SharedKey identifies the shared part of the prompt; empty for none.
	SharedKey string
	// SharedTokens and OwnTokens are the prompt's tokens that other calls also
	// begin with, and the rest.
	SharedTokens, OwnTokens int
	// OutputTokens is the number of tokens that will probably be generated.
	OutputTokens int
	// Target is the time to the first byte of the answer that the class wants.
	Target time.Duration
	// Avoid are the servers on which the call failed before.
	Avoid []ports.VMName
}

// WorkOf returns the work of a call.
func WorkOf(call *ports.Call) Work {
	work := Work{Class: call.Class, Target: call.FirstTokenBy.Sub(call.Arrived), Avoid: call.FailedServers}
	if prompt := call.Prompt; prompt != nil {
		work.Engine = true
		work.SharedKey = prompt.PrefixKey()
		work.OwnTokens = prompt.UnsharedTokens()
		work.SharedTokens = prompt.InputTokens - work.OwnTokens
		work.OutputTokens = prompt.OutputTokens
	}
	return work
}

// generatedWeight is what a generated token costs an engine in prompt tokens,
// as the configuration's tokensPerSecond counts them.
const generatedWeight = 2

// Tokens is the work as the configuration's tokensPerSecond counts it: the whole
// prompt, cached or not, and what is generated.
func (w *Work) Tokens() float64 {
	return float64(w.SharedTokens + w.OwnTokens + generatedWeight*w.OutputTokens)
}

// Load is what runs and waits on one backend server.
type Load struct {
	// Calls were sent and have not ended.
	Calls int
	// Waiting are the prompt tokens of calls that have no first byte yet.
	Waiting int
	// Memory are the tokens that the calls will occupy.
	Memory int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Calls: l.Calls + other.Calls, Waiting: l.Waiting + other.Waiting, Memory: l.Memory + other.Memory}
}

// IsZero says whether there is no load.
func (l Load) IsZero() bool {
	return l == Load{}
}
