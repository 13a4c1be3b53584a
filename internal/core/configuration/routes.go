package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/core/fieldcheck"
)

// RouteName names a route.
type RouteName string

// Route sends the requests for a host and a path to services.
type Route struct {
	// Host is the host that callers name, without a port. Required.
	Host string `json:"host" validate:"required"`
	// PathPrefix begins the paths of the route. The longest prefix of a host
	// wins. Required; it begins and ends with "/".
	PathPrefix string `json:"pathPrefix" validate:"required,startswith=/,endswith=/"`
	// Class holds the targets of the route's calls. Required.
	Class ClassName `json:"class" validate:"name"`
	// Split divides the calls between services. Required.
	Split []RouteShare `json:"split" validate:"required,min=1,dive"`
	// MaxServers is the most backend servers that one call may be sent to.
	// Default: 1; 1 to 16.
	MaxServers int `json:"maxServers,omitempty" validate:"omitempty,between=1 16" fieldcheck:"notzero"`
	// Public routes take calls without a key. Default: false.
	Public bool `json:"public,omitempty"`
	// Stream says that the answer is a series of events. Default: false.
	Stream bool `json:"stream,omitempty"`
	// Resumable says that a broken stream may go on at another backend server.
	// Default: false.
	Resumable bool `json:"resumable,omitempty"`
	// PauseWithin is the target for the pauses between events. Default: none.
	PauseWithin Duration `json:"pauseWithin,omitempty" validate:"omitempty,between=1ms 24h" fieldcheck:"notzero"`
}

// RouteShare is the part of a route's calls that one service gets.
type RouteShare struct {
	Service ServiceName `json:"service" validate:"name"`
	// Weight is relative to the other services'. 0 to 1000000.
	Weight int `json:"weight" validate:"between=0 1000000"`
}

// Limits bound what callers may send.
type Limits struct {
	// TokensPerSecond is what all backend servers of the engines produce
	// together: each prompt token counts once, each generated one twice.
	// Default: unknown.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" validate:"omitempty,between=0 1000000000000"`
	// Body is the largest request body in bytes. Default: that of the daemon's
	// settings.
	Body int64 `json:"body,omitempty" validate:"omitempty,between=1 1073741824"`
}

// MatchedRoute is a route with its name and its class.
type MatchedRoute struct {
	Name RouteName
	Route
	Targets Class
}

// Route returns the route of a host and a path, and false when there is none.
// It works on revisions made by NewRevision.
func (r *Revision) Route(host, path string) (*MatchedRoute, bool) {
	for _, route := range r.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// indexRoutes returns the routes by host, the longest prefix first.
func indexRoutes(document Document) map[string][]*MatchedRoute {
	index := map[string][]*MatchedRoute{}
	for _, name := range sortedKeys(document.Routes) {
		route := document.Routes[name]
		host := strings.ToLower(route.Host)
		index[host] = append(index[host], &MatchedRoute{
			Name: name, Route: route, Targets: document.Classes[route.Class],
		})
	}
	for _, routes := range index {
		slices.SortStableFunc(routes, func(a, b *MatchedRoute) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return index
}

// ServiceFor returns the service that gets a call, by a hash of the call's id,
// so that each try of a call stays with its service.
func (m *MatchedRoute) ServiceFor(id string) ServiceName {
	total := 0
	for _, share := range m.Split {
		total += share.Weight
	}
	if total == 0 {
		return m.Split[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, share := range m.Split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return m.Split[len(m.Split)-1].Service
}

func checkRoutes(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for _, name := range sortedKeys(document.Routes) {
		route := document.Routes[name]
		if _, found := document.Classes[route.Class]; !found {
			path := fmt.Sprintf("routes[%s].class", name)
			faults = append(faults, fault(path, route.Class, "one of the classes"))
		}
		for i, share := range route.Split {
			if _, found := document.Services[share.Service]; !found {
				path := fmt.Sprintf("routes[%s].split[%d].service", name, i)
				faults = append(faults, fault(path, share.Service, "one of the services"))
			}
		}
	}
	return faults
}
