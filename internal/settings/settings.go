// Package settings holds the start-up settings of a daemon: what it must know
// before it can read the configuration. It imports only
// internal/core/configuration, internal/core/fieldcheck and internal/ports; the
// commands, internal/app and the adapters may import it.
package settings

import (
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Settings are the start-up settings of one daemon, read from one JSON file.
type Settings struct {
	// VM is what the daemon is told of its own VM.
	VM VM `json:"vm"`
	// Listen are the addresses that the daemon serves on.
	Listen Listen `json:"listen"`
	// Platform is where the platform's services are.
	Platform Platform `json:"platform"`
	// Operators are the operators' access rights.
	Operators Operators `json:"operators"`
	// Limits bound what callers may use up.
	Limits Limits `json:"limits"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// Retries bound what the fleet sends more than once. Optional.
	Retries Retries `json:"retries,omitzero"`
	// Log says what is logged.
	Log Log `json:"log"`
	// TLS names the files for encrypted connections. Optional.
	TLS TLS `json:"tls,omitzero"`
	// Experimental is for measurements only. Optional.
	Experimental Experimental `json:"experimental,omitzero"`
}

// VM is what the daemon is told of its own VM.
type VM struct {
	// Name is the VM's name in the platform's VM list. Required.
	Name ports.VMName `json:"name" validate:"name"`
	// FailureDomain is where the VM runs. Required.
	FailureDomain ports.FailureDomain `json:"failureDomain" validate:"name"`
	// Region is the failure domain's region. Required.
	Region ports.Region `json:"region" validate:"name"`
}

// Listen are the "ip:port" addresses that the daemon serves on.
type Listen struct {
	// Callers is the address for callers. Required.
	Callers string `json:"callers" validate:"ipport"`
	// Operators is the address for operators, health checks and metrics.
	// Required.
	Operators string `json:"operators" validate:"ipport"`
	// Peers is the address for other daemons. Required.
	Peers string `json:"peers" validate:"ipport"`
	// Readiness is the address on which the platform's balancer asks whether the
	// daemon takes calls. Required by the interface "objects", else unused.
	Readiness string `json:"readiness,omitempty" validate:"omitempty,ipport"`
}

// The interfaces of a platform.
const (
	// InterfaceOwn is the daemon's own interface towards callers, operators,
	// backend servers and the platform.
	InterfaceOwn = "own"
	// InterfaceObjects is the interface of package platform: operators, backend
	// servers and daemons write objects to the platform's store.
	InterfaceObjects = "objects"
)

// Platform is where the platform's services are.
type Platform struct {
	// Interface says how callers, backend servers and the platform speak: "own"
	// or "objects". Default: "own".
	Interface string `json:"interface,omitempty" validate:"oneof=own objects"`
	// ObjectAPI is the base URL of the object API. Required.
	ObjectAPI string `json:"objectAPI" validate:"http_url"`
	// VMList is the URL of the VM list. Required by the interface "own", else
	// unused.
	VMList string `json:"vmList,omitempty" validate:"required_if=Interface own,omitempty,http_url"`
	// VMListPeriod is the time between two reads of the VM list. Default: 1s;
	// 100ms to 1m.
	VMListPeriod configuration.Duration `json:"vmListPeriod,omitempty" validate:"between=100ms 1m"`
	// Regions are the regions of all failure domains. Default: none; without it
	// the interface "objects" finds no backend servers.
	Regions map[ports.FailureDomain]ports.Region `json:"regions,omitempty" validate:"dive,keys,name,endkeys,name"`
}

// Operators are the operators' access rights.
type Operators struct {
	// KeyDigests are the SHA-256 digests, in lower-case hexadecimal, of the
	// operators' bearer keys, by the operator's name. Required by the interface
	// "own"; with "objects" a daemon may have none and serves health checks,
	// status and metrics only.
	KeyDigests map[string]string `json:"keyDigests,omitempty" validate:"dive,keys,name,endkeys,keydigest"`
}

// Limits bound what callers may use up.
type Limits struct {
	// Header is the largest request header. Default: 16KiB; 1KiB to 1MiB.
	Header Size `json:"header,omitempty" validate:"between=1KiB 1MiB"`
	// Body is the largest request body. Default: 1MiB; 1KiB to 64MiB.
	Body Size `json:"body,omitempty" validate:"between=1KiB 64MiB"`
	// Answer is the largest answer of a plain service that is held whole for
	// an idempotent replay. Default: 16KiB; 0B to 64KiB.
	Answer Size `json:"answer,omitempty" validate:"between=0B 64KiB"`
	// QueueMemory is the memory of all queued requests. Default: 64MiB; 1MiB
	// to 1GiB.
	QueueMemory Size `json:"queueMemory,omitempty" validate:"between=1MiB 1GiB"`
	// WorkspaceQueueMemory is the memory of one workspace's queued requests.
	// Default: 16MiB; 64KiB to 1GiB.
	WorkspaceQueueMemory Size `json:"workspaceQueueMemory,omitempty" validate:"between=64KiB 1GiB"`
	// Connections is the most open connections of callers. Default: 4096; 1 to
	// 65536.
	Connections int `json:"connections,omitempty" validate:"between=1 65536"`
	// Files is the most descriptors of the process. Default: no limit; 64 to
	// 1048576.
	Files int `json:"files,omitempty" validate:"omitempty,between=64 1048576"`
	// Idle is how long a caller's connection without a request is kept. Default:
	// 2m; 1s to 1h.
	Idle configuration.Duration `json:"idle,omitempty" validate:"between=1s 1h"`
	// ReceiveWithin is the time in which a request must arrive whole. Default:
	// 10s; 100ms to 10m.
	ReceiveWithin configuration.Duration `json:"receiveWithin,omitempty" validate:"between=100ms 10m"`
	// ProcessorWait is the time that a call may wait for the processor, its turns
	// added up, before requests are turned away. Default: 200ms; 1ms to 10s.
	ProcessorWait configuration.Duration `json:"processorWait,omitempty" validate:"between=1ms 10s"`
	// Memory is what the process may use; the collector works harder well below
	// it. Default: no limit; 16MiB to 1GiB.
	Memory Size `json:"memory,omitempty" validate:"omitempty,between=16MiB 1GiB"`
}

// Retries bound what the fleet sends to a service more than once, over ten
// seconds.
type Retries struct {
	// Part is the most retries as a part of the calls. Default: 0.1; 0 to 10.
	Part float64 `json:"part,omitempty" validate:"between=0 10"`
	// FleetFloor is the number of retries that all daemons together may always
	// make. Default: 0, a floor for each daemon; 0 to 1000000.
	FleetFloor int `json:"fleetFloor,omitempty" validate:"between=0 1000000"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Within is the time after which a planned stop gives up on calls in
	// progress. Default: 15m; 1s to 24h.
	Within configuration.Duration `json:"within,omitempty" validate:"between=1s 24h"`
	// KilledAfter is the time after the signal at which the platform kills the
	// process; Within ends before it. Default: never; 1s to 24h.
	KilledAfter configuration.Duration `json:"killedAfter,omitempty" validate:"omitempty,between=1s 24h"`
	// Announce is the time between not being ready and refusing new
	// connections, in which the balancer notices. Default: 2s; 0s to 1m.
	Announce configuration.Duration `json:"announce,omitempty" validate:"between=0s 1m"`
}

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default: "info".
	Level string `json:"level,omitempty" validate:"oneof=debug info warn error"`
}

// TLS names the files for encrypted connections. An address without a key pair
// is served in plain text.
type TLS struct {
	// Callers is the key pair of the callers' address. Default: none.
	Callers *KeyPair `json:"callers,omitempty"`
	// Operators is the key pair of the operators' address. Default: none.
	Operators *KeyPair `json:"operators,omitempty"`
	// Peers makes the daemons prove to each other who they are. All daemons
	// need it or none. Default: none.
	Peers *PeerKeys `json:"peers,omitempty"`
}

// PeerKeys names the PEM files of mutual TLS between daemons. They are read
// again when they change.
type PeerKeys struct {
	// Certificate is the path of this daemon's certificate chain. It names the
	// VM as a DNS name and serves as server and as client. Required.
	Certificate string `json:"certificate" validate:"required"`
	// Key is the path of the private key. Required.
	Key string `json:"key" validate:"required"`
	// Authority is the path of the certificates that sign those of all
	// daemons. Required.
	Authority string `json:"authority" validate:"required"`
}

// KeyPair names two PEM files. They are read again when they change.
type KeyPair struct {
	// Certificate is the path of the certificate chain, the server's own
	// first. Required.
	Certificate string `json:"certificate" validate:"required"`
	// Key is the path of the private key. Required.
	Key string `json:"key" validate:"required"`
}
