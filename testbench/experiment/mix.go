package experiment

import (
	"fmt"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
	"hawthornstream/testbench/standin/service"
)

// Mix describes one deployment: its failure domains, link delays, services and
// workspaces.
type Mix struct {
	Name         string
	Domains      []fleet.Domain
	Links        fleet.LinkOptions
	ModelService ports.ServiceName
	AppService   ports.ServiceName
	// Large, Medium and Small are the workspaces, grouped by their offered load.
	Large, Medium, Small []ports.WorkspaceID
}

// Agency and HoaMai are the deployments.
var (
	Agency = Mix{
		Name: "agency",
		Domains: []fleet.Domain{
			{Name: "ub-a", Region: "ulaanbaatar"},
			{Name: "dalanzadgad-a", Region: "gobi-south"},
			{Name: "zu-a", Region: "zamiin-uud"},
		},
		Links:        fleet.AgencyLinks,
		ModelService: "sds-drafter",
		AppService:   "sds-registry",
		Large:        workspaceNames("assessors", 3),
		Medium:       workspaceNames("mine", 5),
		Small:        workspaceNames("border-post", 8),
	}
	HoaMai = Mix{
		Name: "hoamai",
		Domains: []fleet.Domain{
			{Name: "hcm-a", Region: "ho-chi-minh-city"},
			{Name: "hanoi-a", Region: "hanoi"},
			{Name: "danang-a", Region: "da-nang"},
		},
		Links:        fleet.HoaMaiLinks,
		ModelService: "assist-llm",
		AppService:   "order-app",
		Large:        workspaceNames("gift-shop", 4),
		Medium:       workspaceNames("boutique", 4),
		Small:        workspaceNames("corner-shop", 8),
	}
)

// Mixes holds the deployments by name.
var Mixes = map[string]Mix{Agency.Name: Agency, HoaMai.Name: HoaMai}

func workspaceNames(prefix string, count int) []ports.WorkspaceID {
	var all []ports.WorkspaceID
	for i := range count {
		all = append(all, ports.WorkspaceID(fmt.Sprintf("%s-%d", prefix, i+1)))
	}
	return all
}

// The size of the stand-ins: twelve engines and three app servers, as the
// deployments have today, with costs scaled down so that a run of some ten
// seconds makes thousands of calls.
const (
	engineCount         = 12
	engineBatch         = 8
	slotTokensPerSecond = 50
	appServerCount      = 3
	appServerWorkers    = 4
	maxCallTokens       = 100
	firstTokenDelay     = 5 * time.Millisecond
)

// The capacity of the model: slots are concurrent requests.
const (
	modelSlots           = engineCount * engineBatch
	modelTokensPerSecond = modelSlots * slotTokensPerSecond
)

// connectionLimit lets a single daemon take the whole load.
const connectionLimit = 16384

// The costs of drafts and questions in tokens, and of orders in milliseconds.
var (
	draftCosts    = CostDistribution{Median: 32, Sigma: 0.8, Max: maxCallTokens}
	questionCosts = CostDistribution{Median: 6, Sigma: 0.8, Max: maxCallTokens}
	orderCosts    = CostDistribution{Median: 15, Sigma: 0.6, Max: 200}
)

// Workspaces returns all workspaces of the mix.
func (m Mix) Workspaces() []ports.WorkspaceID {
	all := append([]ports.WorkspaceID(nil), m.Large...)
	all = append(all, m.Medium...)
	return append(all, m.Small...)
}

// fleetOptions returns the options of a fleet with the mix's services and
// workspaces.
func (m Mix) fleetOptions(daemonCount int) fleet.Options {
	options := fleet.Options{
		Daemons: daemonCount,
		Domains: m.Domains,
		Links:   m.Links,
		Engines: []fleet.EngineService{{
			Name:    m.ModelService,
			Servers: engineCount,
			Engine: engine.Config{
				BatchSize:       engineBatch,
				TokensPerSecond: slotTokensPerSecond,
				FirstTokenDelay: firstTokenDelay,
			},
		}},
		Services: []fleet.PlainService{{
			Name:    m.AppService,
			Servers: appServerCount,
			Server:  service.Config{Workers: appServerWorkers},
		}},
		AdjustSettings: func(s *settings.Settings) { s.Limits.MaxConnections = connectionLimit },
	}
	for _, name := range m.Workspaces() {
		options.Workspaces = append(options.Workspaces, fleet.Workspace{Name: name})
	}
	return options
}

// draftSource returns a source of drafts whose mean load is the given fraction of
// the model's capacity.
func (m Mix) draftSource(workspace ports.WorkspaceID, fraction float64) LoadSource {
	return m.modelSource(workspace, fleet.ClassDraft, draftCosts, fraction)
}

// questionSource returns a source of questions whose mean load is the given
// fraction of the model's capacity.
func (m Mix) questionSource(workspace ports.WorkspaceID, fraction float64) LoadSource {
	return m.modelSource(workspace, fleet.ClassQuestion, questionCosts, fraction)
}

func (m Mix) modelSource(workspace ports.WorkspaceID, class ports.ClassName, costs CostDistribution, fraction float64) LoadSource {
	return LoadSource{
		Workspace:      workspace,
		Service:        m.ModelService,
		Kind:           configuration.ServiceKindEngine,
		Class:          class,
		Costs:          costs,
		CallsPerSecond: fraction * modelTokensPerSecond / costs.Mean(),
	}
}

// orderSource returns a source of orders, which are not repeatable and carry
// idempotency keys.
func (m Mix) orderSource(workspace ports.WorkspaceID, callsPerSecond float64) LoadSource {
	return LoadSource{
		Workspace:          workspace,
		Service:            m.AppService,
		Kind:               configuration.ServiceKindPlain,
		Class:              fleet.ClassOrder,
		Costs:              orderCosts,
		CallsPerSecond:     callsPerSecond,
		UseIdempotencyKeys: true,
	}
}

// The overload, which exceeds the model's capacity: each load fraction is what
// one group of workspaces offers together, as a fraction of that capacity. Large
// workspaces are always backlogged, medium ones often, small ones seldom.
// draftFraction is the drafts' fraction of the large workspaces' load, and
// ordersPerSecond the rate of each workspace.
const (
	largeLoadFraction  = 0.75
	mediumLoadFraction = 0.42
	smallLoadFraction  = 0.10
	draftFraction      = 0.7
	ordersPerSecond    = 2
)

// overloadSources returns the mix's overload.
func (m Mix) overloadSources() []LoadSource {
	var all []LoadSource
	for _, name := range m.Large {
		fraction := largeLoadFraction / float64(len(m.Large))
		all = append(all, m.draftSource(name, draftFraction*fraction), m.questionSource(name, (1-draftFraction)*fraction))
	}
	for _, name := range m.Medium {
		fraction := mediumLoadFraction / float64(len(m.Medium))
		all = append(all, m.draftSource(name, fraction/2), m.questionSource(name, fraction/2))
	}
	for _, name := range m.Small {
		all = append(all, m.questionSource(name, smallLoadFraction/float64(len(m.Small))))
	}
	for _, name := range m.Workspaces() {
		all = append(all, m.orderSource(name, ordersPerSecond))
	}
	return all
}
