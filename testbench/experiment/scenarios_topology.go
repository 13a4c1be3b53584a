package experiment

import (
	"context"
	"sort"
	"time"

	"hawthornstream/internal/ports"
)

func init() {
	RegisterScenario(Scenario{
		Name:    "partition-region",
		Summary: "a region is cut off from the other regions and reconnected",
		Plan:    planPartitionRegion,
	})
	RegisterScenario(Scenario{
		Name:    "leaving-server",
		Summary: "the VM list marks two engines as leaving",
		Plan:    planLeavingServer,
	})
	RegisterScenario(Scenario{
		Name:    "burst-idle",
		Summary: "small workspaces are idle except for bursts, one after the other",
		Plan:    planBurstIdle,
	})
}

// partitionTime is longer than the interval of the exchange between shard owners.
const partitionTime = 5 * time.Second

// interruptionTail is how long after the end of a partition the answers that it
// interrupted may end.
const interruptionTail = 15 * time.Second

func planPartitionRegion(config Config) Plan {
	region := string(config.Mix.Domains[len(config.Mix.Domains)-1].Region)
	plan := newFaultPlan(config, func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		config.Logf("cut %s off", region)
		e.ExpectInterruptionsAcross(e.Fleet.InRegion(region), time.Now().Add(partitionTime+interruptionTail))
		e.Fleet.IsolateRegion(region)
		time.Sleep(min(partitionTime, config.thirds(1)))
		config.Logf("heal %s", region)
		e.Fleet.ReconnectRegion(region)
		return nil
	})
	plan.Evaluate = func(e *Experiment, result *Result) {
		checkRecovery(e, result, config.thirds(1)+partitionTime+recoveryTime)
	}
	return plan
}

// maxLeavingSeconds bounds the time from when the VM list shows a server as leaving
// until it gets its last new request.
const maxLeavingSeconds = 3.0

// vmListLag is the delay with which the VM list shows changes in leaving-server.
const vmListLag = time.Second

func planLeavingServer(config Config) Plan {
	listedLeavingAt := make(map[string]time.Time)
	plan := newFaultPlan(config, func(ctx context.Context, e *Experiment) error {
		e.Fleet.VMs.SetLag(vmListLag)
		e.WaitUntil(ctx, config.thirds(1))
		var names []string
		for name := range e.Fleet.Engines {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names[:2] {
			listedLeavingAt[name] = e.Fleet.VMs.MarkLeaving(ports.VMName(name))
			e.RemoveCapacity(name, listedLeavingAt[name])
			config.Logf("%s is leaving", name)
		}
		return nil
	})
	plan.Evaluate = func(e *Experiment, result *Result) {
		result.AddFigure("last_new_work_after_seconds", lastNewWork(e, listedLeavingAt))
		result.CheckAtMost("seconds until the last new work at a leaving server", lastNewWork(e, listedLeavingAt), maxLeavingSeconds)
		checkRecovery(e, result, config.thirds(1)+vmListLag+recoveryTime)
	}
	return plan
}

// lastNewWork returns the seconds from when the VM list showed a server as leaving
// until it got its last new request, at most over all leaving servers.
func lastNewWork(e *Experiment, listedLeavingAt map[string]time.Time) float64 {
	var latest float64
	for _, run := range e.Evidence.Runs {
		if listedAt, leaving := listedLeavingAt[run.Server]; leaving {
			latest = max(latest, run.ArrivedAt.Sub(listedAt).Seconds())
		}
	}
	return latest
}

// The bursts of burst-idle: each small workspace is idle except for one burst in
// each period. The load of a burst is a fraction of the model's capacity.
const (
	burstPeriod       = 5 * time.Second
	burstDuration     = time.Second
	burstLoadFraction = 0.3
)

func planBurstIdle(config Config) Plan {
	mix := config.Mix
	var sources []LoadSource
	for _, name := range mix.Large {
		sources = append(sources, mix.draftSource(name, 1.0/float64(len(mix.Large))))
	}
	for i, name := range mix.Small {
		offset := burstPeriod * time.Duration(i) / time.Duration(len(mix.Small))
		for from := offset; from < config.LoadDuration; from += burstPeriod {
			burst := mix.questionSource(name, burstLoadFraction)
			burst.From = from
			burst.Until = from + burstDuration
			sources = append(sources, burst)
		}
	}
	plan := mix.newPlan(config, sources)
	plan.SteadyLoad = true
	return plan
}
