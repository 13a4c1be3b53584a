// Package configuration holds the operators' document: its types, defaults,
// checks and revision chain. It imports only the standard library and
// internal/core/fieldcheck; every package may import it.
package configuration

import "time"

// WorkspaceID names a workspace.
type WorkspaceID string

// ServiceName names a service that backend servers offer.
type ServiceName string

// ClassName names a class of work.
type ClassName string

// VMName names one VM.
type VMName string

// ServiceKind says which protocol a service's backend servers speak.
type ServiceKind string

// The kinds of service.
const (
	// ServiceKindEngine is a model engine with the chat completions API.
	ServiceKindEngine ServiceKind = "engine"
	// ServiceKindPlain is any other HTTP service.
	ServiceKindPlain ServiceKind = "plain"
)

// Document is what operators declare: classes of work with targets, services
// and workspaces. It holds no weights and no addresses.
type Document struct {
	// Services by name, which callers use as the model name or in the path.
	Services map[ServiceName]Service `json:"services" validate:"dive,keys,name,endkeys"`
	// Classes of work by name.
	Classes map[ClassName]Class `json:"classes" validate:"required,min=1,dive,keys,name,endkeys"`
	// Workspaces by name.
	Workspaces map[WorkspaceID]Workspace `json:"workspaces" validate:"dive,keys,name,endkeys"`
	// Routes by name, for callers that name a host and a path.
	Routes map[RouteName]Route `json:"routes,omitempty" validate:"dive,keys,name,endkeys"`
	// Limits bound what callers may send. Optional.
	Limits Limits `json:"limits,omitzero"`
	// PlannedStops lists the daemons' VMs that operators want stopped.
	PlannedStops []PlannedStop `json:"plannedStops,omitempty" validate:"dive"`
}

// Service is what operators declare of one service.
type Service struct {
	// Kind is "engine" or "plain".
	Kind ServiceKind `json:"kind" validate:"oneof=engine plain"`
	// DefaultClass is the class of calls that name none.
	DefaultClass ClassName `json:"defaultClass" validate:"name"`
	// MaxInFlight is the most requests that one backend server is ever sent at
	// once. Default: 32 for engines, 8 for plain services; 1 to 4096.
	MaxInFlight int `json:"maxInFlight,omitempty" validate:"omitempty,between=1 4096" fieldcheck:"notzero"`
	// ProgressWithin is the longest silence of a running answer before its
	// connection is suspected. Default: 10s; 100ms to 10m.
	ProgressWithin Duration `json:"progressWithin,omitempty" validate:"omitempty,between=100ms 10m" fieldcheck:"notzero"`
	// MaxConnections is the most connections that one backend server takes from
	// all daemons. Default: no limit; 1 to 1000000.
	MaxConnections int `json:"maxConnections,omitempty" validate:"omitempty,between=1 1000000" fieldcheck:"notzero"`
	// HealthPath is what a backend server answers health checks on. Default:
	// none.
	HealthPath string `json:"healthPath,omitempty"`
	// MemoryTokens is the memory of one engine in tokens. Default: unknown; 1 to
	// 1000000000.
	MemoryTokens int `json:"memoryTokens,omitempty" validate:"omitempty,between=1 1000000000" fieldcheck:"notzero"`
}

// Class is a class of work with its targets.
type Class struct {
	// FirstTokenWithin is the target for the first byte of the answer. Required;
	// 1ms to 24h, at most AnswerWithin.
	FirstTokenWithin Duration `json:"firstTokenWithin" validate:"between=1ms 24h"`
	// AnswerWithin is the deadline of calls that give none. Required; 1ms to
	// 24h.
	AnswerWithin Duration `json:"answerWithin" validate:"between=1ms 24h"`
	// Repeatable says whether a second run does no harm when the caller does
	// not say. Default: false.
	Repeatable bool `json:"repeatable,omitempty"`
}

// Workspace is what operators declare of one workspace.
type Workspace struct {
	// ShareTarget is the part of a service's capacity that the workspace may
	// claim under contention, relative to the other contenders' targets.
	// Default: 1, an equal share; 0.001 to 1000.
	ShareTarget float64 `json:"shareTarget,omitempty" validate:"omitempty,between=0.001 1000" fieldcheck:"notzero"`
	// KeyDigests are the SHA-256 digests, in lower-case hexadecimal, of the
	// bearer keys of the workspace's callers.
	KeyDigests []string `json:"keyDigests" validate:"dive,keydigest"`
}

// PlannedStop asks one daemon to stop gracefully.
type PlannedStop struct {
	// VM is the daemon's VM.
	VM VMName `json:"vm" validate:"name"`
	// NotBefore is when the stop begins. Default: at once.
	NotBefore time.Time `json:"notBefore,omitzero"`
}
