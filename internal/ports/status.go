package ports

import "time"

// ReadinessCheck is one condition for accepting calls. The checks are collected
// in the fx value group "readiness".
type ReadinessCheck struct {
	// Name identifies the check in /readyz.
	Name string
	// Reason returns why the daemon is not ready, or "" if the check passes.
	Reason func() string
}

// ServiceStatus is the sharing of one service as one daemon sees it.
type ServiceStatus struct {
	Service ServiceName `json:"service"`
	// Queued counts the calls that wait at this daemon, by workspace.
	Queued map[WorkspaceID]int `json:"queued"`
	// Running counts the calls of this daemon that hold a slot.
	Running int `json:"running"`
	// Cold counts the backend servers that this daemon takes to be cold.
	Cold int `json:"cold,omitempty"`
	// Flows are the parts of the calls of this daemon's failure domain that run in other
	// domains; none without spillover.
	Flows map[FailureDomain]float64 `json:"flows,omitempty"`
	// Owned are the shards whose slots this daemon grants.
	Owned []ShardStatus `json:"owned"`
	// Levels are the levels (service counters) of the backlogged workspaces: cost
	// divided by share target. The difference between the highest and the lowest is the
	// fairness gap as this daemon sees it.
	Levels map[WorkspaceID]float64 `json:"levels"`
}

// ShardStatus is the state of one shard at its owner.
type ShardStatus struct {
	Shard   ShardID        `json:"shard"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the state of one backend server at its shard owner.
type ServerStatus struct {
	VM       VMName `json:"vm"`
	InUse    int    `json:"inUse"`
	Window   int    `json:"window"`
	Leaving  bool   `json:"leaving,omitempty"`
	Excluded bool   `json:"excluded,omitempty"`
}

// SharingView provides the state of sharing for operators.
type SharingView interface {
	// Services returns the status of every configured service, sorted by name.
	Services() []ServiceStatus
}

// CallEvent is one step in the processing of a call.
type CallEvent struct {
	At   time.Time `json:"at"`
	Name string    `json:"event"`
	// Detail holds key=value pairs, separated by spaces.
	Detail string `json:"detail,omitempty"`
}

// CallTrace lists the recorded events of one recent call.
type CallTrace struct {
	ID        RequestID   `json:"requestID"`
	Workspace WorkspaceID `json:"workspace"`
	Service   ServiceName `json:"service"`
	Class     ClassName   `json:"class"`
	Events    []CallEvent `json:"events"`
}

// CallHistory provides the traces of recent calls for operators.
type CallHistory interface {
	// Explain returns the trace of a recent call, or false if the daemon does not
	// know the call or no longer keeps its trace.
	Explain(id RequestID) (CallTrace, bool)
}
