// Package configuration defines the configuration document that operators write:
// its types, defaults, validation, differences and revision chain. Apart from
// the standard library and a hash function it imports only
// internal/core/fieldcheck, so that every package may import it.
package configuration

import (
	"slices"
	"time"
)

// WorkspaceID identifies a workspace.
type WorkspaceID string

// ServiceName identifies a service that backend servers provide.
type ServiceName string

// ClassName identifies a class of calls.
type ClassName string

// VMName identifies a VM.
type VMName string

// FailureDomain names a set of VMs that fail together.
type FailureDomain string

// Region names a set of failure domains with low-latency links between them.
type Region string

// ServiceKind is the protocol that the backend servers of a service speak.
type ServiceKind string

// The kinds of service.
const (
	// ServiceKindEngine is a model engine that serves the chat completions API.
	ServiceKindEngine ServiceKind = "engine"
	// ServiceKindPlain is any other HTTP service.
	ServiceKindPlain ServiceKind = "plain"
)

// Document is the configuration that operators declare: services, classes of
// calls with their latency targets, workspaces, routes, limits and planned stops.
// It holds no addresses of backend servers, and no weights except those of the
// routes.
type Document struct {
	// Services by name. Callers give the name as the model or in the path.
	Services map[ServiceName]Service `json:"services" validate:"dive,keys,label,endkeys"`
	// Classes by name; at least one.
	Classes map[ClassName]Class `json:"classes" validate:"required,min=1,dive,keys,label,endkeys"`
	// Workspaces by name.
	Workspaces map[WorkspaceID]Workspace `json:"workspaces" validate:"dive,keys,label,endkeys"`
	// Routes by name. They select a service by the host and path of a request.
	Routes map[RouteName]Route `json:"routes,omitempty" validate:"dive,keys,label,endkeys"`
	// Limits restrict what callers may send. Optional.
	Limits Limits `json:"limits,omitzero"`
	// PlannedStops lists the VMs whose daemons are to stop gracefully.
	PlannedStops []PlannedStop `json:"plannedStops,omitempty" validate:"dive"`
	// EvacuatedDomains lists the failure domains whose backend servers get no calls.
	EvacuatedDomains []FailureDomain `json:"evacuatedDomains,omitempty" validate:"dive,name"`
	// Spillover is how calls leave their failure domains. Default: each call is placed by
	// itself.
	Spillover *Spillover `json:"spillover,omitempty"`
}

// Service is the configuration of one service.
type Service struct {
	// Kind is "engine" or "plain".
	Kind ServiceKind `json:"kind" validate:"oneof=engine plain"`
	// DefaultClass is the class of calls that don't name one.
	DefaultClass ClassName `json:"defaultClass" validate:"label"`
	// MaxInFlight is the maximum number of concurrent requests to one backend
	// server. Default: 32 for engines, 8 for plain services; 1 to 4096.
	MaxInFlight int `json:"maxInFlight,omitempty" validate:"omitempty,between=1 4096" fieldcheck:"notzero"`
	// ProgressWithin is how long a running answer may make no progress before its
	// connection is suspected to be broken. Default: 10s; 100ms to 10m.
	ProgressWithin Duration `json:"progressWithin,omitempty" validate:"omitempty,between=100ms 10m" fieldcheck:"notzero"`
	// MaxConnections is the maximum number of connections that one backend server
	// accepts from all daemons together. Default: no limit; 1 to 1000000.
	MaxConnections int `json:"maxConnections,omitempty" validate:"omitempty,between=1 1000000" fieldcheck:"notzero"`
	// HealthPath is the path on which a backend server answers health checks.
	// Default: none.
	HealthPath string `json:"healthPath,omitempty"`
	// MemoryTokens is the number of tokens that the memory of one engine holds.
	// Default: unknown; 1 to 1000000000.
	MemoryTokens int `json:"memoryTokens,omitempty" validate:"omitempty,between=1 1000000000" fieldcheck:"notzero"`
	// WarmUpWithin is how long a backend server is cold after its start. Default: its
	// servers are never cold; 1ms to 1h.
	WarmUpWithin Duration `json:"warmUpWithin,omitempty" validate:"omitempty,between=1ms 1h" fieldcheck:"notzero"`
	// WarmUpRate is the number of requests per second that a cold backend server bears
	// from all daemons together. Default: no limit; 0.01 to 1000000.
	WarmUpRate float64 `json:"warmUpRate,omitempty" validate:"omitempty,between=0.01 1000000" fieldcheck:"notzero"`
}

// Class is a class of calls with its latency targets.
type Class struct {
	// FirstTokenWithin is the target for the time to the first byte of the
	// answer. Required; 1ms to 24h, at most AnswerWithin.
	FirstTokenWithin Duration `json:"firstTokenWithin" validate:"between=1ms 24h"`
	// AnswerWithin is the deadline of calls that don't give one. Required; 1ms to
	// 24h.
	AnswerWithin Duration `json:"answerWithin" validate:"between=1ms 24h"`
	// Repeatable is whether a call may safely run twice if its caller does not
	// state it. Default: false.
	Repeatable bool `json:"repeatable,omitempty"`
}

// ShortestTarget returns the shortest target of the classes whose calls reach a service: of
// the routes that lead there, or of all classes if none does. It is zero without classes.
func (d *Document) ShortestTarget(service ServiceName) time.Duration {
	shortest := time.Duration(0)
	consider := func(class ClassName) {
		target := d.Classes[class].FirstTokenWithin.Value()
		if target > 0 && (shortest == 0 || target < shortest) {
			shortest = target
		}
	}
	for _, route := range d.Routes {
		if slices.ContainsFunc(route.Split, func(w WeightedService) bool { return w.Service == service }) {
			consider(route.Class)
		}
	}
	if shortest > 0 {
		return shortest
	}
	for class := range d.Classes {
		consider(class)
	}
	return shortest
}

// Workspace is the configuration of one workspace.
type Workspace struct {
	// ShareTarget is the workspace's target share of a service's capacity under
	// contention, relative to the targets of the other contending workspaces.
	// Default: 1, an equal share; 0.001 to 1000.
	ShareTarget float64 `json:"shareTarget,omitempty" validate:"omitempty,between=0.001 1000" fieldcheck:"notzero"`
	// KeyDigests are the SHA-256 digests, in lower-case hexadecimal, of the
	// bearer keys of the workspace's callers. Each belongs to one workspace
	// only.
	KeyDigests []string `json:"keyDigests" validate:"dive,keydigest"`
	// AllowedRegions are the regions in which the workspace's calls may run. Default:
	// all.
	AllowedRegions []Region `json:"allowedRegions,omitempty" validate:"dive,label"`
}

// PlannedStop requests the graceful stop of one daemon.
type PlannedStop struct {
	// VM is the daemon's VM.
	VM VMName `json:"vm" validate:"name"`
	// NotBefore is the earliest time at which the stop begins. Default: at once.
	NotBefore time.Time `json:"notBefore,omitzero"`
}
