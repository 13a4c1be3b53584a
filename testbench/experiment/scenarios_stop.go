package experiment

import (
	"context"
	"time"

	"hawthornstream/testbench/fleet"
)

func init() {
	RegisterScenario(Scenario{
		Name:    "planned-stop",
		Summary: "planned stop of a shard owner under load",
		Plan:    planPlannedStop,
	})
	RegisterScenario(Scenario{
		Name:    "rolling-replace",
		Summary: "planned stop and restart of all daemons, a third at a time",
		Plan:    planRollingReplace,
	})
}

// moderateLoadFraction is the load of scenarios below capacity, as a fraction of
// the model's capacity. Queues stay short, so that a planned stop does not wait
// for them.
const moderateLoadFraction = 0.75

// moderateSources returns a load below capacity, spread over all workspaces and
// daemons.
func (m Mix) moderateSources() []LoadSource {
	var all []LoadSource
	names := m.Workspaces()
	for _, name := range names {
		fraction := moderateLoadFraction / float64(len(names))
		all = append(all, m.draftSource(name, fraction/2), m.questionSource(name, fraction/2), m.orderSource(name, ordersPerSecond))
	}
	return all
}

func planPlannedStop(config Config) Plan {
	plan := config.Mix.newPlan(config, config.Mix.moderateSources())
	var stopTime time.Duration
	plan.GracePeriod = recoveryTime
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		owner, err := e.selectShardOwner(ctx)
		if err != nil {
			return err
		}
		config.Logf("planned stop of %s", owner.ID())
		stopStart := time.Now()
		err = owner.Stop(ctx)
		stopTime = time.Since(stopStart)
		return err
	}
	plan.Evaluate = func(_ *Experiment, result *Result) { result.AddFigure("stop_seconds", stopTime.Seconds()) }
	return plan
}

func planRollingReplace(config Config) Plan {
	plan := config.Mix.newPlan(config, config.Mix.moderateSources())
	var replaceTime time.Duration
	plan.GracePeriod = recoveryTime
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1)/2)
		replaceStart := time.Now()
		batch := max(1, len(e.Fleet.Daemons)/3)
		for first := 0; first < len(e.Fleet.Daemons); first += batch {
			end := min(first+batch, len(e.Fleet.Daemons))
			if err := restartDaemons(ctx, e.Fleet.Daemons[first:end]); err != nil {
				return err
			}
		}
		replaceTime = time.Since(replaceStart)
		return nil
	}
	plan.Evaluate = func(_ *Experiment, result *Result) { result.AddFigure("replace_seconds", replaceTime.Seconds()) }
	return plan
}

// restartDaemons does a planned stop of all given daemons at the same time, starts
// them again and waits until they are ready.
func restartDaemons(ctx context.Context, daemons []*fleet.Daemon) error {
	for _, daemon := range daemons {
		if err := daemon.Terminate(); err != nil {
			return err
		}
	}
	for _, daemon := range daemons {
		if err := daemon.Wait(ctx); err != nil {
			return err
		}
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	for _, daemon := range daemons {
		if err := daemon.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
