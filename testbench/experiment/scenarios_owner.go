package experiment

import (
	"context"
	"fmt"
	"time"

	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
)

// recoveryTime is the time after a fault from which on the usual bounds hold again.
const recoveryTime = 5 * time.Second

func init() {
	RegisterScenario(Scenario{
		Name:    "owner-crash",
		Summary: "a shard owner is killed and later started again",
		Plan:    planOwnerCrash,
	})
	RegisterScenario(Scenario{
		Name:    "owner-pause",
		Summary: "a shard owner is paused for longer than the suspicion timeout, then resumed",
		Plan:    planOwnerPause,
	})
	RegisterScenario(Scenario{
		Name:    "cold-start",
		Summary: "all daemons are killed and started again at once",
		Plan:    planColdStart,
	})
}

// newFaultPlan returns a plan with the uneven overload and a fault that duringLoad
// injects.
func newFaultPlan(config Config, duringLoad func(context.Context, *Experiment) error) Plan {
	sources := config.Mix.overloadSources()
	config.Mix.pinWorkspaces(sources, config.Daemons)
	plan := config.Mix.newPlan(config, sources)
	plan.DuringLoad = duringLoad
	return plan
}

// thirds returns count thirds of the load's duration.
func (c Config) thirds(count int) time.Duration {
	return time.Duration(count) * c.LoadDuration / 3
}

// selectShardOwner returns a shard owner of the measured service. The seed decides
// which one.
func (e *Experiment) selectShardOwner(ctx context.Context) (*fleet.Daemon, error) {
	owners := e.ShardOwners(ctx, e.Plan.Service)
	if len(owners) == 0 {
		return nil, fmt.Errorf("no daemon reports that it owns a shard of %s", e.Plan.Service)
	}
	return owners[int(e.Config.Seed)%len(owners)], nil
}

func planOwnerCrash(config Config) Plan {
	plan := newFaultPlan(config, func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		owner, err := e.selectShardOwner(ctx)
		if err != nil {
			return err
		}
		if err := e.Kill(owner); err != nil {
			return err
		}
		e.WaitUntil(ctx, config.thirds(2)-recoveryTime/2)
		config.Logf("start %s", owner.ID())
		return owner.Start()
	})
	plan.Evaluate = func(e *Experiment, result *Result) { checkRecovery(e, result, config.thirds(2)+recoveryTime/2) }
	return plan
}

// daemonPauseTime is longer than it takes until peers suspect a daemon.
const daemonPauseTime = 5 * time.Second

func planOwnerPause(config Config) Plan {
	plan := newFaultPlan(config, func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		owner, err := e.selectShardOwner(ctx)
		if err != nil {
			return err
		}
		config.Logf("pause %s", owner.ID())
		if err := owner.Pause(); err != nil {
			return err
		}
		time.Sleep(min(daemonPauseTime, config.thirds(1)))
		config.Logf("resume %s", owner.ID())
		return owner.Resume()
	})
	plan.Evaluate = func(e *Experiment, result *Result) {
		checkRecovery(e, result, config.thirds(1)+daemonPauseTime+recoveryTime)
	}
	return plan
}

func planColdStart(config Config) Plan {
	var readyAfter time.Duration
	plan := newFaultPlan(config, func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		for _, daemon := range e.Fleet.Daemons {
			if err := e.Kill(daemon); err != nil {
				return err
			}
		}
		for _, daemon := range e.Fleet.Daemons {
			<-daemon.Exited()
			if err := daemon.Start(); err != nil {
				return err
			}
		}
		for _, daemon := range e.Fleet.Daemons {
			if err := daemon.WaitReady(ctx); err != nil {
				return err
			}
		}
		readyAfter = time.Since(e.LoadStart) - config.thirds(1)
		return nil
	})
	plan.Evaluate = func(e *Experiment, result *Result) {
		result.AddFigure("ready_after_seconds", readyAfter.Seconds())
		checkRecovery(e, result, config.thirds(1)+readyAfter+recoveryTime)
	}
	return plan
}

// checkRecovery checks the usual bounds on utilisation and the median fairness gap
// from an offset from the start of the load to the end of the measurement.
func checkRecovery(e *Experiment, result *Result, from time.Duration) {
	if from+time.Second > e.Plan.MeasureUntil {
		result.AddViolation("the load is too short to check the recovery")
		return
	}
	measureStart, measureEnd := e.LoadStart.Add(from), e.LoadStart.Add(e.Plan.MeasureUntil)
	utilisation := audit.MeasureUtilisation(e.Evidence, e.Plan.Service, e.capacities(), measureStart, measureEnd)
	gap := audit.FairnessGap(e.Evidence, e.Plan.Service, measureStart, measureEnd)
	result.AddFigure("utilisation_recovered", utilisation.UsedFraction)
	result.AddFigure("fairness_gap_median_recovered", gap.Median)
	result.AddFigure("fairness_gap_max_recovered", gap.Max)
	result.CheckAtLeast("utilisation_recovered", utilisation.UsedFraction, minUtilisation)
	result.CheckAtMost("fairness_gap_median_recovered", gap.Median, maxMedianGapCostFactor*result.LargestCost)
}
