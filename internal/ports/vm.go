package ports

import (
	"context"
	"time"
)

// VMKind is what runs on a VM.
type VMKind string

// The kinds of VM.
const (
	VMKindDaemon  VMKind = "daemon"
	VMKindBackend VMKind = "backend"
)

// VM is one item of the platform's list of VMs, which lags behind the actual VMs.
type VM struct {
	Name    VMName        `json:"name"`
	Kind    VMKind        `json:"kind"`
	Domain  FailureDomain `json:"failureDomain"`
	Region  Region        `json:"region"`
	Service ServiceName   `json:"service,omitempty"`
	// Address is "ip:port": the peer address of a daemon or the HTTP address of a
	// backend server.
	Address string `json:"address"`
	// Slots is the number of calls that a backend server runs concurrently; zero
	// if unknown.
	Slots int `json:"slots,omitempty"`
	// StartedMillis is when a backend server started, in milliseconds since the
	// Unix epoch; zero if unknown. A server that was started again under the same
	// name has none of its earlier state.
	StartedMillis int64 `json:"started,omitempty"`
	// SoftwareVersion is the version of a backend server's software; empty if
	// unknown. Servers of several versions may serve side by side in one service.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	// ColdUntil is until when a backend server says that it is cold; zero if it doesn't.
	// It is by this daemon's clock: ServerListPush passes it on as a remaining time.
	ColdUntil time.Time `json:"-"`
	// Leaving is true once the platform plans to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList reads the platform's list of VMs, which lags behind the actual VMs.
type VMList interface {
	// List returns all VMs that the platform lists, those that are leaving
	// included. It fails with *PlatformUnavailableError.
	List(ctx context.Context) ([]VM, error)
}

// Directory is the fleet as this daemon sees it. A wrong view costs
// efficiency but breaks no guarantee.
type Directory interface {
	// Self returns this daemon's own VM.
	Self() VM
	// Incarnation returns this daemon's own incarnation.
	Incarnation() Incarnation
	// Daemons returns the daemons considered alive, this one included, sorted by
	// name.
	Daemons() []VM
	// Servers returns the backend servers of a service sorted by name, leaving ones
	// included and flagged.
	Servers(service ServiceName) []VM
	// Shards returns the shards of a service with their owners as this daemon sees
	// them.
	Shards(service ServiceName) []ShardView
	// KeyOwner returns the daemon that owns a key by rendezvous hashing over the
	// daemons considered alive.
	KeyOwner(key string) DaemonID
	// OnChange registers a callback for changes of any of the above. The callback
	// must not block. OnChange must be called before the start.
	OnChange(callback func())
}

// ShardView is one shard as this daemon sees it.
type ShardView struct {
	ID      ShardID
	Service ServiceName
	// Domain is empty if the shard spans its whole region.
	Domain  FailureDomain
	Region  Region
	Owner   DaemonID
	Servers []VM
}
