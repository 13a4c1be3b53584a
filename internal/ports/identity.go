package ports

import "hawthornstream/internal/core/configuration"

// The identifiers of configured objects are those of the configuration package.
type (
	// WorkspaceID names a workspace.
	WorkspaceID = configuration.WorkspaceID
	// ServiceName names a service that backend servers offer.
	ServiceName = configuration.ServiceName
	// ClassName names a class of calls with common targets.
	ClassName = configuration.ClassName
	// VMName names one VM, whether it runs a daemon or a backend server.
	VMName = configuration.VMName
	// FailureDomain names a set of VMs that fail together.
	FailureDomain = configuration.FailureDomain
	// Region names a set of failure domains with low-latency links between them.
	Region = configuration.Region
	// RouteName names a route.
	RouteName = configuration.RouteName
)

// DaemonID identifies a daemon by the name of its VM.
type DaemonID = VMName

// ShardID identifies a shard: a group of backend servers of one service whose
// slots are granted by one owner.
type ShardID string

// RequestID identifies one caller's request across logs, answers and model
// engines.
type RequestID string

// SlotID identifies one granted slot. It is unique within one incarnation of the
// owner that granted it.
type SlotID uint64

// Incarnation distinguishes the starts of one daemon. A later start has a higher
// number.
type Incarnation uint64

// Cost is the work done for a call in cost units: generated tokens for model
// engines, milliseconds of run time for plain services.
type Cost int64
