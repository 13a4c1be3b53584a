// Package experiment runs seeded load and faults against real daemon processes
// and checks the results, also in comparison with baselines that get the same
// arrivals. The experiment command and package slopes import it.
package experiment

import (
	"context"
	"fmt"
	"sort"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
)

// Config configures one run.
type Config struct {
	Scenario string
	Daemons  int
	Seed     uint64
	// LoadDuration is how long calls are made.
	LoadDuration time.Duration
	// Mix is the deployment that the run models.
	Mix Mix
	// Experimental goes into the daemons' settings.
	Experimental settings.Experimental
	// Logf logs progress.
	Logf func(format string, values ...any)
}

// Scenario is one kind of experiment. Each file with scenarios registers them in
// its init function.
type Scenario struct {
	Name    string
	Summary string
	// Plan returns the plan of a run.
	Plan func(Config) Plan
}

// setExperimental adds the experimental settings to those of the plan's daemons.
func (p *Plan) setExperimental(experimental settings.Experimental) {
	adjust := p.FleetOptions.AdjustSettings
	p.FleetOptions.AdjustSettings = func(s *settings.Settings) {
		if adjust != nil {
			adjust(s)
		}
		s.Experimental = experimental
	}
}

// Plan describes what one run does and how it is evaluated.
type Plan struct {
	FleetOptions fleet.Options
	Arrivals     []Arrival
	// Service is the service whose fairness and utilisation are measured.
	Service ports.ServiceName
	// MeasureFrom and MeasureUntil bound the part of the load in which fairness and
	// utilisation are measured, as offsets from its start.
	MeasureFrom  time.Duration
	MeasureUntil time.Duration
	// SteadyLoad adds the bounds of a steady load: on the median fairness gap, on
	// utilisation, on control traffic and on the ratios to the central queue.
	SteadyLoad bool
	// NoBaselines runs the fleet without the baselines.
	NoBaselines bool
	// GracePeriod is how long callers wait for answers after the load before they
	// cancel their calls.
	GracePeriod time.Duration
	// DuringLoad runs concurrently with the load, for example to inject faults. It
	// may be nil.
	DuringLoad func(ctx context.Context, e *Experiment) error
	// RunCustom replaces the load and its evaluation when it is not nil. Only the
	// guarantees are checked after it.
	RunCustom func(ctx context.Context, e *Experiment, result *Result) error
	// Evaluate adds the scenario's figures and violations to the result. It may be
	// nil.
	Evaluate func(e *Experiment, result *Result)
}

var scenarioRegistry = make(map[string]Scenario)

// RegisterScenario adds a scenario. It panics when the name is taken.
func RegisterScenario(scenario Scenario) {
	if _, found := scenarioRegistry[scenario.Name]; found {
		panic(fmt.Sprintf("scenario %s is registered twice", scenario.Name))
	}
	scenarioRegistry[scenario.Name] = scenario
}

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario {
	var all []Scenario
	for _, scenario := range scenarioRegistry {
		all = append(all, scenario)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// FindScenario returns the scenario with a name and whether there is one.
func FindScenario(name string) (Scenario, bool) {
	scenario, found := scenarioRegistry[name]
	return scenario, found
}
