package experiment

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// settleTime is the time between readiness and load, in which the processor time
// of idle daemons is measured.
const settleTime = 1500 * time.Millisecond

// startDelay is the time between the last preparation and the start of the load.
const startDelay = 50 * time.Millisecond

// Run runs the scenario that config names and checks its results. Violated bounds
// and guarantees are in the result; an error says that the run itself failed.
func Run(ctx context.Context, config Config) (*Result, error) {
	scenario, found := FindScenario(config.Scenario)
	if !found {
		return nil, fmt.Errorf("unknown scenario %q", config.Scenario)
	}
	plan := scenario.Plan(config)
	plan.setDefaults(config)
	plan.setExperimental(config.Experimental)
	f, err := fleet.Start(ctx, plan.FleetOptions)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	e := newExperiment(config, &plan, f)
	defer e.Caller.Close()
	config.Logf("%d daemons are ready; the first serves operators at %s", len(f.Daemons), f.Daemons[0].OperatorsURL())
	if plan.RunCustom != nil {
		return e.runCustom(ctx)
	}
	return e.run(ctx)
}

func (p *Plan) setDefaults(config Config) {
	if p.MeasureUntil == 0 {
		p.MeasureUntil = config.LoadDuration
	}
}

// run plays the plan's arrivals and evaluates the results.
func (e *Experiment) run(ctx context.Context) (*Result, error) {
	var central, independent *baselineRun
	if !e.Plan.NoBaselines {
		var err error
		if central, err = startCentralBaseline(e.Plan); err != nil {
			return nil, err
		}
		defer central.close()
		if independent, err = startIndependentBaseline(e.Plan); err != nil {
			return nil, err
		}
		defer independent.close()
	}
	idleStart := measureUsage(ctx, e.Fleet)
	time.Sleep(settleTime)
	loadStart := measureUsage(ctx, e.Fleet)
	e.LoadStart = time.Now().Add(startDelay)
	loadEnd, err := e.runLoad(ctx, central, independent)
	if err != nil {
		return nil, err
	}
	result := e.collectResult(idleStart, loadStart, loadEnd)
	e.checkGuarantees(result)
	e.evaluateFleet(result)
	if !e.Plan.NoBaselines {
		e.evaluateBaselines(result, central, independent)
	}
	result.checkBounds(e.Plan)
	if e.Plan.Evaluate != nil {
		e.Plan.Evaluate(e, result)
	}
	return result, nil
}

// runCustom runs a scenario that makes its own calls.
func (e *Experiment) runCustom(ctx context.Context) (*Result, error) {
	e.LoadStart = time.Now()
	result := &Result{
		Scenario:   e.Config.Scenario,
		Mix:        e.Config.Mix.Name,
		Daemons:    e.Plan.FleetOptions.Daemons,
		Seed:       e.Config.Seed,
		Refused:    make(map[string]int),
		Violations: []string{},
	}
	if err := e.Plan.RunCustom(ctx, e, result); err != nil {
		return nil, err
	}
	e.collectEvidence()
	result.Requests = len(e.Evidence.Outcomes)
	e.checkGuarantees(result)
	return result, nil
}

// runLoad sends the arrivals to the fleet and, at the same times, to the
// baselines, while the plan's DuringLoad runs. It waits for all calls to end and
// returns the daemons' usage at the end of the load. A baseline may be nil.
func (e *Experiment) runLoad(ctx context.Context, central, independent *baselineRun) (usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadCtx, cancelCalls := context.WithDeadline(ctx, e.LoadStart.Add(e.Config.LoadDuration+e.Plan.GracePeriod))
	defer cancelCalls()
	go e.balancer.pollAllReadiness(ctx)
	duringLoadError := make(chan error, 1)
	go func() { duringLoadError <- e.runDuringLoad(loadCtx) }()
	var group sync.WaitGroup
	group.Go(func() {
		issueCalls(loadCtx, e.LoadStart, e.Plan.Arrivals, func(ctx context.Context, arrival Arrival) { e.Send(ctx, arrival) })
	})
	for _, baseline := range []*baselineRun{central, independent} {
		if baseline != nil {
			group.Go(func() { baseline.issueCalls(loadCtx, e.LoadStart, e.Plan) })
		}
	}
	sleepUntil(ctx, e.LoadStart.Add(e.Config.LoadDuration))
	loadEnd := measureUsage(ctx, e.Fleet)
	e.Config.Logf("the load has ended")
	group.Wait()
	return loadEnd, <-duringLoadError
}

func (e *Experiment) runDuringLoad(ctx context.Context) error {
	if e.Plan.DuringLoad == nil {
		return nil
	}
	return e.Plan.DuringLoad(ctx, e)
}

// collectResult collects the evidence and returns the result with its counts,
// waits and resource use.
func (e *Experiment) collectResult(idleStart, loadStart, loadEnd usage) *Result {
	result := &Result{
		Scenario:   e.Config.Scenario,
		Mix:        e.Config.Mix.Name,
		Daemons:    e.Plan.FleetOptions.Daemons,
		Seed:       e.Config.Seed,
		Refused:    make(map[string]int),
		Violations: []string{},
	}
	e.collectEvidence()
	result.Requests = len(e.Evidence.Outcomes)
	for _, outcome := range e.Evidence.Outcomes {
		if outcome.Reason != "" {
			result.Refused[outcome.Reason]++
		}
		if outcome.CanceledByCaller() {
			result.GivenUp++
		}
	}
	loadSeconds := e.Config.LoadDuration.Seconds()
	daemonCount := float64(len(e.Fleet.Daemons))
	requestCount := max(1, float64(result.Requests))
	controlBytes, processorTime := loadEnd.since(loadStart)
	_, idleProcessorTime := loadStart.since(idleStart)
	result.ControlBytesPerRequest = controlBytes / requestCount
	result.ControlBytesPerSecondPerDaemon = controlBytes / loadSeconds / daemonCount
	result.ControlCPUFraction = processorTime.Seconds() / loadSeconds / daemonCount
	result.IdleCPUFraction = idleProcessorTime.Seconds() / settleTime.Seconds() / daemonCount
	result.CrossRegionBytesPerRequest = float64(loadEnd.crossRegionBytes-loadStart.crossRegionBytes) / requestCount
	result.WaitP50, result.WaitP95 = waitPercentiles(e.Evidence.Outcomes)
	return result
}

// checkGuarantees counts the violated guarantees and adds the first few of each
// kind to the violations.
func (e *Experiment) checkGuarantees(result *Result) {
	violations := audit.FindViolations(e.Evidence)
	result.DoubleRuns = len(violations.DoubleRuns)
	result.FalseNotRun = len(violations.FalseNotRun)
	result.WrongAnswers = len(violations.WrongAnswers)
	result.CutCalls = len(violations.CutCalls)
	const maxListed = 3
	for _, lines := range [][]string{violations.DoubleRuns, violations.FalseNotRun, violations.WrongAnswers, violations.CutCalls} {
		result.Violations = append(result.Violations, lines[:min(maxListed, len(lines))]...)
	}
}

// evaluateFleet sets the fleet's fairness gap, its bound and the utilisation.
func (e *Experiment) evaluateFleet(result *Result) {
	from, until := e.LoadStart.Add(e.Plan.MeasureFrom), e.LoadStart.Add(e.Plan.MeasureUntil)
	gap := audit.FairnessGap(e.Evidence, e.Plan.Service, from, until)
	result.FairnessGapMax = gap.Max
	result.FairnessGapMedian = gap.Median
	result.FairnessIntervals = gap.IntervalCount
	if gap.IntervalCount > 0 {
		e.Config.Logf("largest fairness gap %.0f: %s got more service than %s from %.1fs to %.1fs", gap.Max, gap.MaxPair[0], gap.MaxPair[1],
			gap.MaxFrom.Sub(e.LoadStart).Seconds(), gap.MaxTo.Sub(e.LoadStart).Seconds())
	}
	result.LargestCost = largestCost(e.Evidence.Runs, e.Plan)
	model := measuredModel(e.Plan)
	slots := float64(model.Servers * model.Engine.BatchSize)
	bound := slots*result.LargestCost + maxGapCapacitySeconds*slots*model.Engine.TokensPerSecond
	result.FairnessGapBound = bound / smallestShare(e.Evidence.Document)
	utilisation := audit.MeasureUtilisation(e.Evidence, e.Plan.Service, e.capacities(), from, until)
	result.Utilisation = utilisation.UsedFraction
	result.WaitedSeconds = utilisation.BacklogTime.Seconds()
	e.logUtilisation()
	e.logLongestWait()
	e.logServerQueues()
}

// evaluateBaselines sets the same figures for the baselines.
func (e *Experiment) evaluateBaselines(result *Result, central, independent *baselineRun) {
	from, until := e.LoadStart.Add(e.Plan.MeasureFrom), e.LoadStart.Add(e.Plan.MeasureUntil)
	model := measuredModel(e.Plan)
	capacities := []audit.ServerCapacity{{Server: "paired", Slots: model.Servers * model.Engine.BatchSize}}
	e.CentralEvidence = central.evidence(e.Evidence.Document)
	gap := audit.FairnessGap(e.CentralEvidence, e.Plan.Service, from, until)
	result.FairnessGapMaxCentral, result.FairnessGapMedianCentral = gap.Max, gap.Median
	result.UtilisationCentral = audit.MeasureUtilisation(e.CentralEvidence, e.Plan.Service, capacities, from, until).UsedFraction
	result.WaitP50Central, _ = waitPercentiles(e.CentralEvidence.Outcomes)
	independentEvidence := independent.evidence(e.Evidence.Document)
	gap = audit.FairnessGap(independentEvidence, e.Plan.Service, from, until)
	result.FairnessGapMaxIndependent, result.FairnessGapMedianIndependent = gap.Max, gap.Median
	result.UtilisationIndependent = audit.MeasureUtilisation(independentEvidence, e.Plan.Service, capacities, from, until).UsedFraction
}

// largestCost returns the largest cost of one request of the measured service.
func largestCost(runs []standin.Run, plan *Plan) float64 {
	var largest float64
	for i := range runs {
		if runs[i].Service == string(plan.Service) {
			largest = max(largest, runs[i].Cost())
		}
	}
	return largest
}

// waitPercentiles returns the median and the 95th percentile of the times to the
// first byte of an answer, in milliseconds. Calls without an answer don't count.
func waitPercentiles(outcomes []fleet.Outcome) (p50, p95 float64) {
	var waits []float64
	for i := range outcomes {
		if !outcomes[i].FirstByteAt.IsZero() {
			waits = append(waits, outcomes[i].TimeToFirstByte().Seconds()*1000)
		}
	}
	return percentile(waits, 0.5), percentile(waits, 0.95)
}

// percentile returns the value at a fraction of the sorted values, from 0 for the
// smallest to 1 for the largest, or 0 when there are none. It sorts values.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(fraction*float64(len(values)-1))]
}
