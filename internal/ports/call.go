package ports

import (
	"context"
	"errors"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
)

// Header maps canonical header field names to their values.
type Header map[string][]string

// Call is one caller's request after validation.
type Call struct {
	ID        RequestID
	Workspace WorkspaceID
	Service   ServiceName
	Kind      configuration.ServiceKind
	Class     ClassName
	// Route is the route that the call matched; empty without routes.
	Route RouteName
	// Regions are the regions in which the call may run.
	Regions RegionLists
	// Arrived is when the daemon received the request. Deadlines and waiting
	// times count from it.
	Arrived time.Time
	// FirstTokenBy is the class's target time for the first byte of the answer.
	// Queues are ordered by it.
	FirstTokenBy time.Time
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// EventWithin is how long the caller of a stream waits for the first event, and for
	// each next one; zero for until Deadline.
	EventWithin time.Duration
	// LastEventAt is when the last event of a stream was passed on; zero before the first.
	LastEventAt time.Time
	// Repeatable is true when running the call twice does no harm.
	Repeatable bool
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// Stream requests the answer of a model engine as server-sent events.
	Stream bool
	// Method, Path, Query and Header are forwarded to a plain service. Path
	// starts with "/".
	Method string
	Path   string
	Query  string
	Header Header
	Body   []byte
	// Host is the host that the caller requested; empty when it is irrelevant.
	Host string
	// KeepRequestID makes every try carry the call's own ID. Without it, a retry
	// gets an ID of its own.
	KeepRequestID bool
	// MaxServers is the maximum number of backend servers that the call may be
	// sent to; zero for the retry package's default.
	MaxServers int
	// Resumable is true when another backend server may continue a broken stream.
	Resumable bool
	// LastEventID is the ID of the last event that the caller has received; zero
	// for none.
	LastEventID int
	// Resumes is the ID of the caller's earlier call that brought the first event of
	// the stream that this call resumes; empty for none.
	Resumes RequestID
	// SoftwareVersion is the only software version whose servers may run the call;
	// empty for any. The first event that reaches the caller fixes it.
	SoftwareVersion string
	// PauseWithin is the target for the pauses between the events of a stream;
	// zero for none.
	PauseWithin time.Duration
	// Prompt describes the work for a model engine; nil for a plain service and
	// when nothing is known of the work.
	Prompt *Prompt
	// CacheHolder is the address of another backend server that probably has the
	// prompt prefix cached; empty for none.
	CacheHolder string
	// DemandWeight is the number of calls that this one counts for in the
	// workspace's demand: while the daemon sheds load, one admitted call also
	// counts for those shed before their workspace was known. Zero counts as one.
	DemandWeight float64
	// Revision is the configuration under which the call was accepted.
	Revision configuration.RevisionNumber
	// FailedServers are the backend servers on which a try failed.
	FailedServers []VMName
	// Supervisor is told of the progress of a run. It is set for each run.
	Supervisor RunSupervisor
	// SendGate is asked before each try; nil if the call may always be sent.
	SendGate *SendGate
}

// RegionLists are the regions that the route and the workspace of a call allow. An empty
// list allows all; where both name some, both bind.
type RegionLists struct {
	Route, Workspace []Region
	// AsOf is the configuration that the lists are from.
	AsOf configuration.RevisionNumber
}

// LeavesAt returns when the caller stops waiting unless more of the answer reaches it.
func (c *Call) LeavesAt() time.Time {
	since := c.Arrived
	if c.LastEventAt.After(since) {
		since = c.LastEventAt
	}
	if leaves := since.Add(c.EventWithin); c.EventWithin > 0 && leaves.Before(c.Deadline) {
		return leaves
	}
	return c.Deadline
}

// IsResumption reports whether the call continues a stream of which the caller has
// received events.
func (c *Call) IsResumption() bool {
	return c.Stream && (c.LastEventID > 0 || c.Resumes != "")
}

// OutlivesCaller reports whether a run of the call goes on when the caller hangs up, so that its
// answer is recorded for the caller's next attempt.
func (c *Call) OutlivesCaller() bool {
	return c.IdempotencyKey != "" && c.Kind == configuration.ServiceKindPlain
}

// Prompt describes the work of a call for a model engine.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order. All but the last may also
	// start other calls' prompts, and form the prompt prefix.
	Parts []PromptPart
	// InputTokens is the length of the whole prompt in tokens.
	InputTokens int
	// OutputTokens is the number of tokens to be generated: the caller's
	// estimate, or its maximum.
	OutputTokens int
}

// PromptPart is one part of a prompt and its length in tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// PrefixID returns the ID of the prompt prefix: the ID of the last part that
// other calls' prompts may begin with. It is empty if there is no prefix.
func (p *Prompt) PrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// SharedPartIDs returns the IDs of the parts of the prompt prefix.
func (p *Prompt) SharedPartIDs() []string {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	ids := make([]string, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// UniqueTokens returns the number of prompt tokens after the prompt prefix.
func (p *Prompt) UniqueTokens() int {
	unique := p.InputTokens
	for i := 0; i+1 < len(p.Parts); i++ {
		unique -= p.Parts[i].Tokens
	}
	return max(unique, 0)
}

// AnswerSink writes the answer of one call to the caller. It is not safe for
// concurrent use.
type AnswerSink interface {
	// Begin sets the status and header, which are sent with the first part of the body. It is
	// called at most once, before Write.
	Begin(status int, header Header) error
	// Write sends a part of the body, which may be empty, to the caller without buffering.
	Write(part []byte) error
	// Reserve reports whether there is memory to hold that many more bytes of the answer
	// before they are written. They are held until Unreserve or the call's end. It is safe
	// for concurrent use.
	Reserve(bytes int64) bool
	// Unreserve gives back bytes that Reserve holds. It is safe for concurrent use.
	Unreserve(bytes int64)
	// Begun reports whether Begin was called: the caller may have received a byte.
	Begun() bool
	// CallerGone reports whether the caller has hung up. The call's context shows
	// this later, once another goroutine was scheduled and noticed it.
	CallerGone() bool
}

// Executor executes calls.
type Executor interface {
	// Execute runs the call to its end and returns the result. If the cause of the
	// context's end is an *outcome.Refusal, that is why the call is refused. If the result
	// carries a refusal and nothing was sent to the caller, the caller of Execute sends
	// the refusal as the answer; otherwise it must truncate the answer in a way that is
	// visible to the caller.
	Execute(ctx context.Context, call *Call, sink AnswerSink) outcome.Result
}

// SlotBroker assigns slots to calls.
type SlotBroker interface {
	// Acquire queues the call until it has a slot. It fails with
	// *outcome.Refusal, whose End is always outcome.NotRun.
	Acquire(ctx context.Context, call *Call) (Slot, error)
}

// ImmediateSlotBroker is a SlotBroker that can grant slots without waiting.
type ImmediateSlotBroker interface {
	// TryAcquire returns a slot for a call that was sent before, or false if no
	// backend server can take it now.
	TryAcquire(call *Call) (Slot, bool)
}

// Slot is the right to run one call on one backend server. It is not safe for
// concurrent use and must be released exactly once.
type Slot interface {
	// Server returns the backend server that the slot belongs to.
	Server() VM
	// GrantDetails returns who granted the slot and why the call waited for it.
	GrantDetails() GrantDetails
	// RecordUnlistedStart records, before the first Progress, that the server may not be the
	// process in the list. Server then has no software version that another server has.
	RecordUnlistedStart()
	// Progress reports the cost of the run so far; cost is a total.
	Progress(cost Cost)
	// Release returns the slot with the total cost of the run and what the run
	// revealed about the backend server.
	Release(report RunReport)
}

// GrantDetails describes who granted a slot and why the call waited for it.
type GrantDetails struct {
	// Granter is the daemon that granted the slot.
	Granter DaemonID
	// Waited is the time that the call spent in the queue.
	Waited time.Duration
	// CallsAhead counts the calls of the same workspace and service that waited at
	// this daemon when the call was queued.
	CallsAhead int
	// ContendingWorkspaces counts the other workspaces that waited for the service
	// at this daemon when the call was queued.
	ContendingWorkspaces int
	// CacheHolder is the address of another backend server that probably has the
	// call's prompt prefix cached; empty for none.
	CacheHolder string
	// ExpectedFirstByte is the predicted time to the first byte. Overuse is what
	// the workspace receives divided by its fair share. Both are zero if the
	// broker does not report them.
	ExpectedFirstByte time.Duration
	Overuse           float64
}

// RunReport summarizes one run on a backend server.
type RunReport struct {
	Cost Cost
	// FirstByteAfter is the time from sending the request to the first byte of
	// the answer; zero if there was none.
	FirstByteAfter time.Duration
	// LongestPause is the longest time between two consecutive events of a stream.
	LongestPause time.Duration
	// Fault is the fault that the server showed during the run.
	Fault ServerFault
	// Reason is why the run gave no whole answer, as in RunResult; empty if it did.
	Reason outcome.Reason
}

// ServerFault is a fault of a backend server that a run revealed.
type ServerFault uint8

// The faults of a backend server.
const (
	// ServerFaultNone means that the server answered.
	ServerFaultNone ServerFault = iota
	// ServerFaultUnreachable means that the server accepted no connection.
	ServerFaultUnreachable
	// ServerFaultBroken means that the connection broke during the run.
	ServerFaultBroken
	// ServerFaultSilent means that the connection made no progress in time.
	ServerFaultSilent
	// ServerFaultOverloaded means that the server answered that it is full.
	ServerFaultOverloaded
	// ServerFaultLeaving means that the server answered that it is leaving.
	ServerFaultLeaving
	// ServerFaultFailed means that the server answered with an error of its own.
	ServerFaultFailed
	// ServerFaultPushedBack means that the server asked for a pause, which was recorded
	// with ServerNotices. It is no failure.
	ServerFaultPushedBack
)

// String implements fmt.Stringer.
func (f ServerFault) String() string {
	names := [...]string{"none", "unreachable", "broken", "silent", "overloaded", "leaving", "failed", "pushed-back"}
	if int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// Backend sends calls to backend servers.
type Backend interface {
	// Run sends the call to the server and relays the answer to the sink. It
	// never sends the request twice. progress is called with the total cost so
	// far.
	Run(ctx context.Context, call *Call, server VM, sink AnswerSink, progress func(Cost)) RunResult
	// Load fetches the server's load report, which lags behind its actual load.
	Load(ctx context.Context, server VM) (LoadReport, error)
}

// ServerNotices records what backend servers say about themselves in their answers. It
// is safe for concurrent use.
type ServerNotices interface {
	// RecordLeaving records that the server is leaving. A call that has no slot when
	// RecordLeaving returns gets none of this server.
	RecordLeaving(server VM)
	// RecordPushback records that the server turned a call away and asked for a pause:
	// it gets no calls until the pause has ended. RecordPushback returns the time after
	// which the caller should retry, when a server that may run the call is free again;
	// zero if one is free now.
	RecordPushback(call *Call, server VM, pause time.Duration) time.Duration
	// RecordLimit records what an answer to a request that was sent at sentAt says about
	// the requests that the server takes.
	RecordLimit(server VM, sentAt time.Time, limit ServerLimit)
}

// ServerLimit is the number of requests per second that a server takes from all daemons
// together; no limit if IsSet is false.
type ServerLimit struct {
	IsSet             bool
	RequestsPerSecond float64
}

// ErrRunReplaced is the cause for which the context of a run is cancelled when another try
// has taken its place. The connection of the run made no progress.
var ErrRunReplaced = errors.New("another try has taken the place of the run")

// RunSupervisor decides which of the runs of a call is relayed. A silent run goes on until
// the backend server of another try has accepted the call. It is safe for concurrent use.
type RunSupervisor interface {
	// RecordSilence records that the answer has made no progress for the given time.
	RecordSilence(silence time.Duration)
	// Accept records that the backend server has accepted the call, and returns when the
	// answer may be relayed. It fails if the run is no longer wanted.
	Accept() error
	// RecordUnlistedStart records, before the first event of a stream, that the backend server
	// may not be the process in the list, which may have another software version.
	RecordUnlistedStart()
	// RecordEvent records that the event with the ID is about to be relayed; zero for an
	// event without one. If it fails, the event must not be relayed.
	RecordEvent(id int) error
}

// RunResult is the result of one run on one backend server.
type RunResult struct {
	// End is outcome.NotRun only if no byte of the request was written to a
	// connection, or if the server's own answer says so.
	End    outcome.RunState
	Report RunReport
	// Reason is empty if the complete answer was relayed.
	Reason outcome.Reason
	// Detail is a text for the log and the refusal.
	Detail string
	// RetryAfter is the delay that the server asked for; zero for none.
	RetryAfter time.Duration
	// LastEventID is the ID of the last event of a stream that was relayed to the
	// caller.
	LastEventID int
	// Failure is the server's own error answer. It is sent to the caller if no
	// other try follows.
	Failure *BufferedAnswer
}

// BufferedAnswer is a complete answer in memory.
type BufferedAnswer struct {
	Status int
	Header Header
	Body   []byte
}

// LoadReport is the load that a backend server reports, with a delay.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}
