// Package settings holds the start-up settings of a daemon: what it must know
// before it can read the configuration. Of the project's packages it imports only
// internal/core/configuration, internal/core/fieldcheck, internal/core/retry and
// internal/ports; the commands, internal/app and the adapters may import it.
package settings

import (
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Settings are the start-up settings of one daemon, read from one JSON file.
type Settings struct {
	// VM identifies the VM that the daemon runs on.
	VM VM `json:"vm"`
	// Listen holds the addresses that the daemon listens on.
	Listen Listen `json:"listen"`
	// Platform locates the platform's services.
	Platform Platform `json:"platform"`
	// Operators holds the operators' access keys.
	Operators Operators `json:"operators"`
	// Limits bounds the resources that callers may use.
	Limits Limits `json:"limits"`
	// Stop bounds a graceful stop.
	Stop Stop `json:"stop"`
	// Retries is the fleet's retry budget. Optional.
	Retries Retries `json:"retries,omitzero"`
	// WarmUp is how far cold backend servers bear more requests than their services'
	// warm-up rate. Optional.
	WarmUp WarmUp `json:"warmUp,omitzero"`
	// Log configures logging.
	Log Log `json:"log"`
	// TLS names the certificate and key files. Optional.
	TLS TLS `json:"tls,omitzero"`
	// Experimental is for measurements only. Optional.
	Experimental Experimental `json:"experimental,omitzero"`
}

// VM identifies the VM that the daemon runs on.
type VM struct {
	// Name is the VM's name in the platform's VM list. Required.
	Name ports.VMName `json:"name" validate:"name"`
	// FailureDomain is the failure domain that the VM runs in. Required.
	FailureDomain ports.FailureDomain `json:"failureDomain" validate:"name"`
	// Region is the failure domain's region. Required.
	Region ports.Region `json:"region" validate:"name"`
}

// Listen holds the "ip:port" addresses that the daemon listens on.
type Listen struct {
	// Callers is the address for calls. Required.
	Callers string `json:"callers" validate:"ipport"`
	// Operators is the address for operators, health checks and metrics.
	// Required.
	Operators string `json:"operators" validate:"ipport"`
	// Peers is the address for other daemons. Required.
	Peers string `json:"peers" validate:"ipport"`
	// Readiness is the address on which the platform's load balancer checks
	// whether the daemon takes calls. Required by the interface "objects", else
	// unused.
	Readiness string `json:"readiness,omitempty" validate:"omitempty,ipport"`
	// Handover is the address on which other daemons of the failure domain hand
	// callers' connections over, as "ip:port" or "ip:first-last"; of a range, the
	// first free port is taken that is not in another of these addresses. Interface
	// "objects" only. Default: no connections are handed over.
	Handover string `json:"handover,omitempty" validate:"omitempty,ipports"`
}

// Values of Platform.Interface.
const (
	// InterfaceOwn selects the protocols that this project defines for callers,
	// operators, backend servers and the platform.
	InterfaceOwn = "own"
	// InterfaceObjects selects the protocols of package platform, in which
	// operators, backend servers and daemons write objects to the platform's
	// store.
	InterfaceObjects = "objects"
)

// Platform locates the platform's services.
type Platform struct {
	// Interface selects the protocols of callers, backend servers and the
	// platform: "own" or "objects". Default: "own".
	Interface string `json:"interface,omitempty" validate:"oneof=own objects"`
	// ObjectAPI is the base URL of the object API. Required.
	ObjectAPI string `json:"objectAPI" validate:"http_url"`
	// VMList is the URL of the VM list. Required by the interface "own", else
	// unused.
	VMList string `json:"vmList,omitempty" validate:"required_if=Interface own,omitempty,http_url"`
	// VMListPeriod is the time between two reads of the VM list. Default: 1s;
	// 100ms to 1m.
	VMListPeriod configuration.Duration `json:"vmListPeriod,omitempty" validate:"between=100ms 1m"`
	// Regions maps each failure domain to its region. Default: none; without it
	// the interface "objects" finds no backend servers.
	Regions map[ports.FailureDomain]ports.Region `json:"regions,omitempty" validate:"dive,keys,name,endkeys,name"`
	// EvacuateWithin is the time after which the backend servers of a failure domain that
	// an operator evacuates in the store get no more calls. Default: no evacuations are
	// read; 2s to 1m. Used by the interface "objects".
	EvacuateWithin configuration.Duration `json:"evacuateWithin,omitempty" validate:"omitempty,between=2s 1m"`
	// Spillover takes the place of the section of the same name where the configuration has
	// none. Default: none.
	Spillover *configuration.Spillover `json:"spillover,omitempty"`
}

// Operators holds the operators' access keys.
type Operators struct {
	// KeyDigests are the SHA-256 digests, in lower-case hexadecimal, of the
	// operators' bearer keys, by the operator's name. Required by the interface
	// "own"; with "objects" a daemon may have none and serves health checks,
	// status and metrics only.
	KeyDigests map[string]string `json:"keyDigests,omitempty" validate:"dive,keys,name,endkeys,keydigest"`
}

// Limits bounds the resources that callers may use.
type Limits struct {
	// MaxHeaderSize bounds a request header. Default: 16KiB; 1KiB to 1MiB.
	MaxHeaderSize Size `json:"header,omitempty" validate:"between=1KiB 1MiB"`
	// MaxBodySize bounds a request body. Default: 1MiB; 1KiB to 64MiB.
	MaxBodySize Size `json:"body,omitempty" validate:"between=1KiB 64MiB"`
	// MaxReplayedAnswerSize is the largest answer of a plain service that is
	// stored for replay to a repeated idempotency key. Default: 16KiB; 0B to
	// 64KiB.
	MaxReplayedAnswerSize Size `json:"answer,omitempty" validate:"between=0B 64KiB"`
	// QueueMemory bounds the memory of all queued requests. Default: 64MiB; 1MiB
	// to 1GiB.
	QueueMemory Size `json:"queueMemory,omitempty" validate:"between=1MiB 1GiB"`
	// WorkspaceQueueMemory bounds the memory of one workspace's queued requests.
	// Default: 16MiB; 64KiB to 1GiB.
	WorkspaceQueueMemory Size `json:"workspaceQueueMemory,omitempty" validate:"between=64KiB 1GiB"`
	// MaxConnections bounds the open connections of callers. Default: 4096; 1 to
	// 65536.
	MaxConnections int `json:"connections,omitempty" validate:"between=1 65536"`
	// MaxOpenFiles is the process's limit of open file descriptors. Default: no
	// limit; 64 to 1048576.
	MaxOpenFiles int `json:"files,omitempty" validate:"omitempty,between=64 1048576"`
	// IdleTimeout is how long a caller's connection without a request stays open.
	// Default: 2m; 1s to 1h.
	IdleTimeout configuration.Duration `json:"idle,omitempty" validate:"between=1s 1h"`
	// ReceiveTimeout is the time within which a request must arrive completely.
	// Default: 10s; 100ms to 10m.
	ReceiveTimeout configuration.Duration `json:"receiveWithin,omitempty" validate:"between=100ms 10m"`
	// MaxProcessorWait is the longest time that a call may wait for the processor,
	// summed over all its scheduling delays, before requests are shed. Default:
	// 200ms; 1ms to 10s.
	MaxProcessorWait configuration.Duration `json:"processorWait,omitempty" validate:"between=1ms 10s"`
	// Processors is the processor time per second that the process may use, in
	// cores. Default: the number of processors that it sees; 0.01 to 1024.
	Processors float64 `json:"processors,omitempty" validate:"omitempty,between=0.01 1024"`
	// Memory is the process's memory limit; garbage collection becomes more
	// frequent well below it. Default: no limit; 16MiB to 1024GiB.
	Memory Size `json:"memory,omitempty" validate:"omitempty,between=16MiB 1024GiB"`
}

// Retries is the fleet's retry budget for a service over ten seconds.
type Retries struct {
	// Ratio is the largest number of retries per call. Default: 0.1; 0 to 10.
	Ratio float64 `json:"part,omitempty" validate:"between=0 10"`
	// MinFleetRetries is the number of retries that all daemons together may
	// always make. Default: 0, which gives each daemon a minimum of its own; 0 to
	// 1000000.
	MinFleetRetries float64 `json:"fleetFloor,omitempty" validate:"between=0 1000000"`
}

// WarmUp is how far a cold backend server bears more requests in one second than its
// service's warmUpRate, from all daemons together.
type WarmUp struct {
	// Tolerance is the factor by which it bears more. Default: 1; 1 to 10.
	Tolerance float64 `json:"tolerance,omitempty" validate:"between=1 10"`
	// Excess is the number of requests that it bears beyond that. Default: 0; 0 to 1000.
	Excess float64 `json:"excess,omitempty" validate:"between=0 1000"`
}

// Stop bounds a graceful stop.
type Stop struct {
	// Timeout is the time after which a graceful stop cuts off calls in progress.
	// Default: 15m; 1s to 24h.
	Timeout configuration.Duration `json:"within,omitempty" validate:"between=1s 24h"`
	// KillAfter is the time after the stop signal at which the platform kills the
	// process; a longer Timeout is shortened to end before it, and AnnouncePeriod to
	// half of that. Default: never; 1s to 24h.
	KillAfter configuration.Duration `json:"killedAfter,omitempty" validate:"omitempty,between=1s 24h"`
	// AnnouncePeriod is the time between reporting not ready and refusing new
	// connections, in which load balancers stop sending calls. Default: 2s; 0s to
	// 1m.
	AnnouncePeriod configuration.Duration `json:"announce,omitempty" validate:"between=0s 1m"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default: "info".
	Level string `json:"level,omitempty" validate:"oneof=debug info warn error"`
}

// TLS names the certificate and key files. An address without a key pair is
// served without encryption.
type TLS struct {
	// Callers is the key pair of the callers' address. Default: none.
	Callers *KeyPair `json:"callers,omitempty"`
	// Operators is the key pair of the operators' address. Default: none.
	Operators *KeyPair `json:"operators,omitempty"`
	// Peers enables mutual TLS between daemons. Either all daemons have it or
	// none. Default: none.
	Peers *PeerKeys `json:"peers,omitempty"`
}

// PeerKeys names the PEM files for mutual TLS between daemons. Changed files are
// reloaded.
type PeerKeys struct {
	// Certificate is the path of this daemon's certificate chain. The certificate
	// has the VM's name as a DNS name and is valid for servers and clients.
	// Required.
	Certificate string `json:"certificate" validate:"required"`
	// Key is the path of the private key. Required.
	Key string `json:"key" validate:"required"`
	// Authority is the path of the certificate authorities that sign the
	// certificates of all daemons. Required.
	Authority string `json:"authority" validate:"required"`
}

// KeyPair names the PEM files of a server. Changed files are reloaded.
type KeyPair struct {
	// Certificate is the path of the certificate chain, the server's certificate
	// first. Required.
	Certificate string `json:"certificate" validate:"required"`
	// Key is the path of the private key. Required.
	Key string `json:"key" validate:"required"`
}
