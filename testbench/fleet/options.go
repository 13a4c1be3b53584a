package fleet

import (
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/standin/engine"
	"hawthornstream/testbench/standin/service"
)

// Options describe a fleet.
type Options struct {
	// Daemons is the number of daemons, spread evenly over the domains.
	// Default: 1.
	Daemons int
	// Domains are the failure domains. Default: three in one region.
	Domains []Domain
	// Engines and Services are the services with their backend servers.
	Engines  []EngineService
	Services []PlainService
	// Workspaces are those of the configuration. Default: "alpha" and "beta".
	Workspaces []Workspace
	// Classes are those of the configuration. Default: DefaultClasses.
	Classes map[ports.ClassName]configuration.Class
	// Links sets the delays and proxies between the processes.
	Links LinkOptions
	// Environment is added to the daemons' environment, such as "GOMAXPROCS=1".
	Environment []string
	// Binary is the path of the daemon's binary. If empty, the binary is built.
	Binary string
	// Directory is where settings and logs are written. If empty, a temporary
	// directory is used.
	Directory string
	// AdjustSettings, if set, edits the settings of each daemon.
	AdjustSettings func(*settings.Settings)
	// AdjustDocument, if set, edits the configuration document.
	AdjustDocument func(*configuration.Document)
	// NoConfiguration leaves the object API without a configuration, and the
	// daemons are not waited for.
	NoConfiguration bool
}

// Domain is a failure domain and its region.
type Domain struct {
	Name   ports.FailureDomain
	Region ports.Region
}

// EngineService is a model with its engines, which are spread evenly over the
// domains.
type EngineService struct {
	Name    ports.ServiceName
	Servers int
	// DefaultClass is the service's default class. Default: "question".
	DefaultClass ports.ClassName
	// MaxInFlight goes into the configuration.
	MaxInFlight int
	// Engine configures each engine. Its Name, Service and Log are overwritten.
	Engine engine.Config
}

// PlainService is a plain service with its servers, which are spread evenly over
// the domains.
type PlainService struct {
	Name    ports.ServiceName
	Servers int
	// DefaultClass is the service's default class. Default: "order".
	DefaultClass ports.ClassName
	// MaxInFlight goes into the configuration.
	MaxInFlight int
	// Server configures each server. Its Name, Service and Log are overwritten.
	Server service.Config
}

// Workspace is a workspace. CallerKey returns the key of its callers.
type Workspace struct {
	Name ports.WorkspaceID
	// ShareTarget is the target share, relative to other workspaces. Zero stands
	// for 1.
	ShareTarget float64
}

// LinkOptions set the one-way delays between processes and the links that have a
// proxy. A link between VMs has one if it has a delay or Proxied is set.
type LinkOptions struct {
	InterDomainDelay time.Duration
	InterRegionDelay time.Duration
	// Proxied puts a proxy on every link between daemons and from daemons to
	// backend servers, so that faults can be injected.
	Proxied bool
	// PlatformProxied puts a proxy on every link from a daemon to the platform.
	PlatformProxied bool
}

// The classes of DefaultClasses.
const (
	ClassDraft    ports.ClassName = "draft"
	ClassQuestion ports.ClassName = "question"
	ClassOrder    ports.ClassName = "order"
)

// DefaultClasses returns two repeatable classes, "draft" with a long and
// "question" with a short limit on the time to the first token, and "order",
// which is not repeatable.
func DefaultClasses() map[ports.ClassName]configuration.Class {
	return map[ports.ClassName]configuration.Class{
		ClassDraft: {
			FirstTokenWithin: configuration.Duration(time.Minute),
			AnswerWithin:     configuration.Duration(10 * time.Minute),
			Repeatable:       true,
		},
		ClassQuestion: {
			FirstTokenWithin: configuration.Duration(2 * time.Second),
			AnswerWithin:     configuration.Duration(2 * time.Minute),
			Repeatable:       true,
		},
		ClassOrder: {
			FirstTokenWithin: configuration.Duration(time.Second),
			AnswerWithin:     configuration.Duration(30 * time.Second),
		},
	}
}

func (o *Options) setDefaults() {
	if o.Daemons == 0 {
		o.Daemons = 1
	}
	if len(o.Domains) == 0 {
		o.Domains = []Domain{
			{Name: "domain-1", Region: "region-1"},
			{Name: "domain-2", Region: "region-1"},
			{Name: "domain-3", Region: "region-1"},
		}
	}
	if len(o.Workspaces) == 0 {
		o.Workspaces = []Workspace{{Name: "alpha"}, {Name: "beta"}}
	}
	if o.Classes == nil {
		o.Classes = DefaultClasses()
	}
	for i := range o.Engines {
		setDefault(&o.Engines[i].DefaultClass, ClassQuestion)
	}
	for i := range o.Services {
		setDefault(&o.Services[i].DefaultClass, ClassOrder)
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
