package experiment

import (
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
)

// warmUpTime is the time at the start of the load that is not measured. Short
// loads exclude less.
const warmUpTime = 3 * time.Second

func init() {
	RegisterScenario(Scenario{
		Name:    "uneven",
		Summary: "overload with workspaces spread unevenly over the daemons",
		Plan:    planUneven,
	})
	RegisterScenario(Scenario{
		Name:    "flood",
		Summary: "one workspace floods one daemon in the second half of the load",
		Plan:    planFlood,
	})
	RegisterScenario(Scenario{
		Name:    "long-drafts",
		Summary: "large workspaces send long drafts only, the others short questions",
		Plan:    planLongDrafts,
	})
}

// newPlan returns a plan with the mix's fleet and the arrivals of sources.
func (m Mix) newPlan(config Config, sources []LoadSource) Plan {
	return Plan{
		FleetOptions: m.fleetOptions(config.Daemons),
		Arrivals:     GenerateArrivals(config.Seed, config.Daemons, config.LoadDuration, sources),
		Service:      m.ModelService,
		MeasureFrom:  min(warmUpTime, config.LoadDuration/4),
	}
}

// pinWorkspaces makes the sources of every other workspace prefer one daemon, and
// those of the first two, which are large, the same one.
func (m Mix) pinWorkspaces(sources []LoadSource, daemonCount int) {
	pinnedDaemon := make(map[ports.WorkspaceID]int)
	for i, name := range m.Workspaces() {
		if i < 2 {
			pinnedDaemon[name] = 0
		} else if i%2 == 0 {
			pinnedDaemon[name] = i % daemonCount
		}
	}
	for i := range sources {
		if daemon, found := pinnedDaemon[sources[i].Workspace]; found {
			sources[i].DaemonIndexes = []int{daemon}
		}
	}
}

func planUneven(config Config) Plan {
	sources := config.Mix.overloadSources()
	config.Mix.pinWorkspaces(sources, config.Daemons)
	plan := config.Mix.newPlan(config, sources)
	plan.SteadyLoad = true
	return plan
}

// The loads of the flood scenario, as fractions of the model's capacity: that of
// all workspaces that the flood must not harm, and that of the flood.
const (
	backgroundLoadFraction = 0.6
	floodLoadFraction      = 1.5
)

func planFlood(config Config) Plan {
	mix := config.Mix
	floodingWorkspace := mix.Large[0]
	var sources []LoadSource
	others := mix.Workspaces()[1:]
	for _, name := range others {
		fraction := backgroundLoadFraction / float64(len(others))
		sources = append(sources, mix.draftSource(name, fraction/2), mix.questionSource(name, fraction/2))
	}
	flood := mix.draftSource(floodingWorkspace, floodLoadFraction)
	flood.From = config.LoadDuration / 2
	flood.DaemonIndexes = []int{0}
	plan := mix.newPlan(config, append(sources, flood))
	plan.Evaluate = func(e *Experiment, result *Result) { evaluateFlood(e, result, floodingWorkspace) }
	return plan
}

// evaluateFlood compares the other workspaces' median waits before and during the
// flood. The fair wait is that of the same calls at the central queue.
func evaluateFlood(e *Experiment, result *Result, floodingWorkspace ports.WorkspaceID) {
	floodStart := e.LoadStart.Add(e.Config.LoadDuration / 2)
	before := medianWait(e.Evidence, floodingWorkspace, e.LoadStart.Add(e.Plan.MeasureFrom), floodStart)
	during := medianWait(e.Evidence, floodingWorkspace, floodStart, floodStart.Add(e.Config.LoadDuration))
	fair := medianWait(e.CentralEvidence, floodingWorkspace, floodStart, floodStart.Add(e.Config.LoadDuration))
	result.AddFigure("wait_p50_ms_before", before)
	result.AddFigure("wait_p50_ms_during", during)
	result.AddFigure("wait_p50_ms_fair", fair)
	result.CheckAtMost("increase of the other workspaces' median wait (ms)", during-before, maxFloodWaitIncreaseFactor*fair)
	result.CheckAtLeast("utilisation", result.Utilisation, minUtilisation)
}

// medianWait returns the median wait, in milliseconds, of the calls that all
// workspaces except one sent within a range of time.
func medianWait(evidence audit.Evidence, excluded ports.WorkspaceID, from, until time.Time) float64 {
	var selected []fleet.Outcome
	for _, outcome := range evidence.Outcomes {
		if outcome.Call.Workspace != excluded && outcome.SentAt.After(from) && outcome.SentAt.Before(until) {
			selected = append(selected, outcome)
		}
	}
	median, _ := waitPercentiles(selected)
	return median
}

func planLongDrafts(config Config) Plan {
	mix := config.Mix
	var sources []LoadSource
	for _, name := range mix.Large {
		sources = append(sources, mix.draftSource(name, 1.0/float64(len(mix.Large))))
	}
	others := append(append([]ports.WorkspaceID(nil), mix.Medium...), mix.Small...)
	for _, name := range others {
		sources = append(sources, mix.questionSource(name, 0.4/float64(len(others))))
	}
	plan := mix.newPlan(config, sources)
	plan.SteadyLoad = true
	return plan
}
