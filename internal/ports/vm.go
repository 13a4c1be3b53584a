package ports

import "context"

// VMKind says what runs on a VM.
type VMKind string

// The kinds of VM.
const (
	VMKindDaemon  VMKind = "daemon"
	VMKindBackend VMKind = "backend"
)

// VM is one entry of the platform's lagging VM list.
type VM struct {
	Name    VMName        `json:"name"`
	Kind    VMKind        `json:"kind"`
	Domain  FailureDomain `json:"failureDomain"`
	Region  Region        `json:"region"`
	Service ServiceName   `json:"service,omitempty"`
	// Address is "ip:port": the peer address of a daemon, the HTTP address of
	// a backend server.
	Address string `json:"address"`
	// Slots is the number of calls that a backend server runs at once; zero for
	// unknown.
	Slots int `json:"slots,omitempty"`
	// StartedMillis is when a backend server started, in milliseconds since the Unix
	// epoch; zero for unknown. A later start under the same name knows nothing
	// of before.
	StartedMillis int64 `json:"started,omitempty"`
	// Leaving is true once the platform plans to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList reads the platform's lagging list of VMs.
type VMList interface {
	// List returns all VMs that the platform shows, live and leaving. It fails
	// with *PlatformUnavailableError.
	List(ctx context.Context) ([]VM, error)
}

// Directory is what this daemon believes about the fleet. A wrong belief costs
// efficiency, never a promise.
type Directory interface {
	// Self returns this daemon's own VM.
	Self() VM
	// Incarnation returns this daemon's own incarnation.
	Incarnation() Incarnation
	// Daemons returns the daemons believed live, self included, by name.
	Daemons() []VM
	// Servers returns the backend servers of a service, leaving ones included
	// and flagged, by name.
	Servers(service ServiceName) []VM
	// Shards returns the shards of a service with their believed owners.
	Shards(service ServiceName) []ShardView
	// KeyOwner returns the live daemon that a key belongs to by rendezvous
	// hashing.
	KeyOwner(key string) DaemonID
	// OnChange registers a callback for changes of any of the above. The
	// callback must not block. It must be registered before the start.
	OnChange(callback func())
}

// ShardView is one shard as a daemon sees it.
type ShardView struct {
	ID      ShardID
	Service ServiceName
	// Domain is empty when the shard spans its region.
	Domain  FailureDomain
	Region  Region
	Owner   DaemonID
	Servers []VM
}
