package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/core/fieldcheck"
)

// RouteName identifies a route.
type RouteName string

// Route assigns the requests for a host and path prefix to services.
type Route struct {
	// Host is the requested host, without a port. Case is ignored. Required.
	Host string `json:"host" validate:"required"`
	// PathPrefix is the prefix of the requested path. The longest matching prefix
	// of a host wins. Required; it begins and ends with "/".
	PathPrefix string `json:"pathPrefix" validate:"required,startswith=/,endswith=/"`
	// Class is the class of the route's calls. Required.
	Class ClassName `json:"class" validate:"label"`
	// Split distributes the calls among services by weight. Required.
	Split []WeightedService `json:"split" validate:"required,min=1,dive"`
	// MaxServers is the maximum number of backend servers that one call may be
	// sent to. Default: 1; 1 to 16.
	MaxServers int `json:"maxServers,omitempty" validate:"omitempty,between=1 16" fieldcheck:"notzero"`
	// Public is whether the route accepts calls without a key. Default: false.
	Public bool `json:"public,omitempty"`
	// Stream is whether the answer is a stream of events. Default: false.
	Stream bool `json:"stream,omitempty"`
	// Resumable is whether a broken stream may continue on another backend
	// server. Default: false.
	Resumable bool `json:"resumable,omitempty"`
	// PauseWithin is the target for the time between two events. Default: none;
	// 1ms to 24h.
	PauseWithin Duration `json:"pauseWithin,omitempty" validate:"omitempty,between=1ms 24h" fieldcheck:"notzero"`
	// AllowedRegions are the regions in which the route's calls may run. Where the
	// workspace names regions too, both lists bind. Default: all.
	AllowedRegions []Region `json:"allowedRegions,omitempty" validate:"dive,label"`
}

// WeightedService is a service with the weight that determines its part of a
// route's calls.
type WeightedService struct {
	Service ServiceName `json:"service" validate:"label"`
	// Weight is relative to the weights of the route's other services. 0 to
	// 1000000; when all are 0, the first service gets every call.
	Weight int `json:"weight" validate:"between=0 1000000"`
}

// Limits restrict what callers may send.
type Limits struct {
	// TokensPerSecond is the total throughput of the backend servers of all
	// engines. A prompt token counts once, a generated token twice. Default:
	// unknown.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" validate:"omitempty,between=0 1000000000000"`
	// Body is the maximum size of a request body in bytes. Default: the limit in
	// the daemon's settings; 1 to 1073741824.
	Body int64 `json:"body,omitempty" validate:"omitempty,between=1 1073741824"`
}

// MatchedRoute is a route with its name and the targets of its class.
type MatchedRoute struct {
	Name RouteName
	Route
	Targets Class
}

// MatchRoute returns the route with the longest prefix of the path at the host,
// and false when there is none. The revision must come from NewRevision.
func (r *Revision) MatchRoute(host, path string) (*MatchedRoute, bool) {
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// indexRoutes returns the routes by lower-case host, longest prefix first.
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

// SelectService returns the service for a call. It selects by a hash of the call
// ID, so that all attempts of a call go to the same service.
func (m *MatchedRoute) SelectService(callID string) ServiceName {
	totalWeight := 0
	for _, candidate := range m.Split {
		totalWeight += candidate.Weight
	}
	if totalWeight == 0 {
		return m.Split[0].Service
	}
	remaining := int(xxhash.Sum64String(callID) % uint64(totalWeight))
	for _, candidate := range m.Split {
		if remaining -= candidate.Weight; remaining < 0 {
			return candidate.Service
		}
	}
	return m.Split[len(m.Split)-1].Service
}

// checkRoutes reports routes that refer to undefined classes or services.
func checkRoutes(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for _, name := range sortedKeys(document.Routes) {
		faults = append(faults, checkRoute(fmt.Sprintf("routes[%s].", name), document.Routes[name], document)...)
	}
	return faults
}

// checkRoute reports undefined classes and services of a route. The paths of the faults
// begin with the prefix.
func checkRoute(prefix string, route Route, document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	if _, found := document.Classes[route.Class]; !found {
		faults = append(faults, newFault(prefix+"class", route.Class, "one of the classes"))
	}
	for i, target := range route.Split {
		if _, found := document.Services[target.Service]; !found {
			path := fmt.Sprintf("%ssplit[%d].service", prefix, i)
			faults = append(faults, newFault(path, target.Service, "one of the services"))
		}
	}
	return faults
}
