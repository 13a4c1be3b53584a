package configuration

import (
	"maps"
	"time"
)

// Defaults of optional fields of the document.
const (
	// DefaultEngineMaxInFlight is the MaxInFlight of a model engine, in requests.
	DefaultEngineMaxInFlight = 32
	// DefaultPlainMaxInFlight is the MaxInFlight of a plain service, in requests.
	DefaultPlainMaxInFlight = 8
	// DefaultProgressWithin is the ProgressWithin of a service.
	DefaultProgressWithin = Duration(10 * time.Second)
	// DefaultShareTarget is the ShareTarget of a workspace.
	DefaultShareTarget = 1.0
)

// WithDefaults returns a copy of the document in which absent fields of services
// and workspaces have their default values.
func (d Document) WithDefaults() Document {
	d.Services = maps.Clone(d.Services)
	d.Workspaces = maps.Clone(d.Workspaces)
	for name, service := range d.Services {
		d.Services[name] = service.WithDefaults()
	}
	for id, workspace := range d.Workspaces {
		d.Workspaces[id] = workspace.WithDefaults()
	}
	return d
}

// WithDefaults returns the service with default values for MaxInFlight and
// ProgressWithin if they are absent.
func (s Service) WithDefaults() Service {
	if s.MaxInFlight == 0 {
		s.MaxInFlight = DefaultPlainMaxInFlight
		if s.Kind == ServiceKindEngine {
			s.MaxInFlight = DefaultEngineMaxInFlight
		}
	}
	if s.ProgressWithin == 0 {
		s.ProgressWithin = DefaultProgressWithin
	}
	return s
}

// WithDefaults returns the workspace with the default ShareTarget if it is
// absent.
func (w Workspace) WithDefaults() Workspace {
	if w.ShareTarget == 0 {
		w.ShareTarget = DefaultShareTarget
	}
	return w
}
