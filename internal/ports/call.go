package ports

import (
	"context"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
)

// Header holds header fields by canonical name.
type Header map[string][]string

// Call is one caller's request after its checks.
type Call struct {
	ID        RequestID
	Workspace WorkspaceID
	Service   ServiceName
	Kind      configuration.ServiceKind
	Class     ClassName
	// Arrived is when the daemon had the whole request.
	Arrived time.Time
	// FirstTokenBy is when the class wants the first byte of the answer. Queues
	// order by it.
	FirstTokenBy time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Repeatable says that a second run does no harm.
	Repeatable bool
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	// Stream asks a model engine for server-sent events.
	Stream bool
	// Method, Path, Query and Header are sent on to a plain service. Path
	// starts with "/".
	Method string
	Path   string
	Query  string
	Header Header
	Body   []byte
	// Host is the host that the caller named; empty when it does not matter.
	Host string
	// KeepRequestID says that every try carries the call's own id.
	KeepRequestID bool
	// MaxServers is the most backend servers that the call may be sent to; zero
	// for the retry package's own limit.
	MaxServers int
	// Resumable says that a broken stream may go on at another backend server.
	Resumable bool
	// LastEventID is the id of the last event that the caller has, zero for none.
	LastEventID int
	// PauseWithin is the target for the pauses between events; zero for none.
	PauseWithin time.Duration
	// Prompt is what is known of the work for a model engine; nil for a plain
	// service.
	Prompt *Prompt
	// CacheHolder is the address of another backend server that probably keeps
	// the shared parts of the prompt; empty when there is none.
	CacheHolder string
	// DemandWeight is the number of calls of which this one was let in while others
	// were turned away before anything was known of them; zero stands for one.
	DemandWeight float64
	// Revision is the configuration that the call was taken under.
	Revision configuration.RevisionNumber
	// FailedServers are the backend servers on which a try of the call failed.
	FailedServers []VMName
}

// Prompt describes the work of a call for a model engine.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order. All but the last one may be
	// shared with other calls.
	Parts []PromptPart
	// InputTokens is the length of the whole prompt.
	InputTokens int
	// OutputTokens is the number of tokens that will be generated: the caller's
	// estimate, or the most that it wants.
	OutputTokens int
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// PrefixKey identifies the shared part of the prompt: the last part that other
// calls may begin with. It is empty when nothing is shared.
func (p *Prompt) PrefixKey() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// UnsharedTokens is the number of prompt tokens that no other call shares.
func (p *Prompt) UnsharedTokens() int {
	own := p.InputTokens
	for i := 0; i+1 < len(p.Parts); i++ {
		own -= p.Parts[i].Tokens
	}
	return max(own, 0)
}

// AnswerSink takes the answer of one call. It is used by one goroutine.
type AnswerSink interface {
	// Begin sends the status and header. It is called at most once, before
	// Write.
	Begin(status int, header Header) error
	// Write sends a part of the body on to the caller at once.
	Write(part []byte) error
	// Begun says whether Begin was called: the caller may have had a byte.
	Begun() bool
	// CallerGone asks whether the caller has hung up. The context of the call says so
	// only once another goroutine had its turn to notice.
	CallerGone() bool
}

// Executor carries out calls.
type Executor interface {
	// Execute runs the call to its end and returns how it ended. When the
	// result carries a refusal and the sink has not begun, the refusal is the
	// answer; when the sink has begun, the answer must be cut off visibly.
	Execute(ctx context.Context, call *Call, sink AnswerSink) outcome.Result
}

// SlotBroker gives calls their slots.
type SlotBroker interface {
	// Acquire waits in the queue until the call has a slot. It fails with
	// *outcome.Refusal, whose end is always "not run".
	Acquire(ctx context.Context, call *Call) (Slot, error)
}

// Slot is the right to run one request on one backend server. It is used by one
// goroutine and must be released exactly once.
type Slot interface {
	// Server is the backend server that the slot belongs to.
	Server() VM
	// GrantDetails tells how the slot came about.
	GrantDetails() GrantDetails
	// Progress reports the cost of the run so far.
	Progress(cost Cost)
	// Release gives the slot back with the whole cost and what the run showed
	// of the backend server.
	Release(report RunReport)
}

// GrantDetails tells why a call waited for its slot, and who granted it.
type GrantDetails struct {
	// Granter is the slot owner.
	Granter DaemonID
	// Waited is the time in the queue.
	Waited time.Duration
	// CallsAhead counts the calls of the same workspace and service that waited at
	// this daemon when the call came.
	CallsAhead int
	// ContendingWorkspaces counts the other workspaces that waited for the service at
	// this daemon when the call came.
	ContendingWorkspaces int
	// CacheHolder is the address of another backend server that probably keeps
	// the shared parts of the call's prompt; empty when there is none.
	CacheHolder string
	// ExpectedFirstByte is the predicted time to the first byte, Overuse what the workspace
	// gets as a part of its fair share; zero where the broker does not tell.
	ExpectedFirstByte time.Duration
	Overuse           float64
}

// RunReport says how one run on a backend server went.
type RunReport struct {
	Cost Cost
	// FirstByteAfter is the time from sending to the first byte of the answer;
	// zero when none came.
	FirstByteAfter time.Duration
	// LongestPause is the longest time between two events of a stream.
	LongestPause time.Duration
	// Fault is what the run showed of the server.
	Fault ServerFault
}

// ServerFault is what a run showed of its backend server.
type ServerFault uint8

// The faults that a run can show.
const (
	// ServerFaultNone is a server that answered.
	ServerFaultNone ServerFault = iota
	// ServerFaultUnreachable is a server that took no connection.
	ServerFaultUnreachable
	// ServerFaultBroken is a connection that broke during the run.
	ServerFaultBroken
	// ServerFaultSilent is a connection that made no progress in time.
	ServerFaultSilent
	// ServerFaultOverloaded is a server that answered that it is full.
	ServerFaultOverloaded
	// ServerFaultLeaving is a server that answered that it is leaving.
	ServerFaultLeaving
	// ServerFaultFailed is a server that answered with an error of its own.
	ServerFaultFailed
)

// String implements fmt.Stringer.
func (f ServerFault) String() string {
	names := [...]string{"none", "unreachable", "broken", "silent", "overloaded", "leaving", "failed"}
	if int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// Backend runs a call on a backend server, once.
type Backend interface {
	// Run sends the call and relays the answer to the sink. It never sends the
	// request twice. progress is called with the cost so far.
	Run(ctx context.Context, call *Call, server VM, sink AnswerSink, progress func(Cost)) RunResult
	// Load reads the server's lagging load report.
	Load(ctx context.Context, server VM) (LoadReport, error)
}

// RunResult is the end of one run on one backend server.
type RunResult struct {
	// End is NotRun only when no byte of the request was handed to a
	// connection, or the server's own answer says so.
	End    outcome.End
	Report RunReport
	// Reason is empty when the answer was relayed whole.
	Reason outcome.Reason
	// Detail is for the log and the refusal.
	Detail string
	// RetryAfter is the server's own word, zero when it gave none.
	RetryAfter time.Duration
	// LastEventID is the id of the last event that the caller got of a stream.
	LastEventID int
	// Failure is the server's own answer of failure. The caller gets it when no
	// other try follows.
	Failure *BufferedAnswer
}

// BufferedAnswer is an answer that is held in memory.
type BufferedAnswer struct {
	Status int
	Header Header
	Body   []byte
}

// LoadReport is what a backend server says of its load, late.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}
