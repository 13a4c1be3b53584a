package experiment

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

func init() {
	RegisterScenario(Scenario{
		Name:    "lost-answer",
		Summary: "answers of backend servers and to platform writes are lost; callers retry",
		Plan:    planLostAnswer,
	})
	RegisterScenario(Scenario{
		Name:    "keyed-retry",
		Summary: "callers repeat keyed calls at other daemons while one daemon is paused and one is killed",
		Plan:    planKeyedRetry,
	})
	RegisterScenario(Scenario{
		Name:    "store-outage",
		Summary: "the platform is slow, then down for a third of the load",
		Plan:    planStoreOutage,
	})
	RegisterScenario(Scenario{
		Name:    "silent-connection",
		Summary: "open connections stop carrying data; new connections work",
		Plan:    planSilentConnection,
	})
	RegisterScenario(Scenario{
		Name:    "crossed-answers",
		Summary: "backend servers answer with the answers of other requests",
		Plan:    planCrossedAnswers,
	})
}

const (
	// orderDeadline is the deadline of orders in these scenarios.
	orderDeadline = 6 * time.Second
	// outcomeGracePeriod is how long callers wait for the last answers after the
	// load.
	outcomeGracePeriod = 10 * time.Second
	// faultInterval is the time between two faults.
	faultInterval = 200 * time.Millisecond
	// outcomeProgressTimeout is the longest time without progress of an answer.
	outcomeProgressTimeout = time.Second
	// maxRetries bounds the retries of a keyed call.
	maxRetries = 4
)

// newOutcomePlan returns a plan with a load below capacity that evaluates the
// outcomes of calls rather than fairness.
func (m Mix) newOutcomePlan(config Config) Plan {
	plan := m.newPlan(config, m.moderateSources())
	plan.NoBaselines = true
	plan.GracePeriod = outcomeGracePeriod
	for i := range plan.Arrivals {
		if plan.Arrivals[i].Call.Kind == configuration.ServiceKindPlain {
			plan.Arrivals[i].Call.Deadline = orderDeadline
		}
	}
	plan.FleetOptions.AdjustDocument = func(document *configuration.Document) {
		for name, service := range document.Services {
			service.ProgressWithin = configuration.Duration(outcomeProgressTimeout)
			document.Services[name] = service
		}
	}
	plan.Evaluate = addOutcomeFigures
	return plan
}

// addOutcomeFigures adds the fraction of calls with a whole answer and the number
// of platform writes per 1000 keyed calls.
func addOutcomeFigures(e *Experiment, result *Result) {
	wholeAnswers, keyedCalls := 0, 0
	for _, outcome := range e.Evidence.Outcomes {
		if outcome.Complete {
			wholeAnswers++
		}
		if outcome.Call.IdempotencyKey != "" {
			keyedCalls++
		}
	}
	result.AddFigure("whole_part", float64(wholeAnswers)/float64(max(1, len(e.Evidence.Outcomes))))
	result.AddFigure("keyed_calls", float64(keyedCalls))
	result.AddFigure("platform_writes_per_1000_keyed", float64(1000*e.Fleet.Objects.Counts().Writes)/float64(max(1, keyedCalls)))
}

// injectPeriodically calls inject periodically from a sixth of the load until its
// end.
func (e *Experiment) injectPeriodically(ctx context.Context, interval time.Duration, inject func(random *rand.Rand)) {
	random := rand.New(rand.NewPCG(e.Config.Seed, 1))
	for offset := e.Config.thirds(1) / 2; offset < e.Config.LoadDuration; offset += interval {
		if !e.WaitUntil(ctx, offset) {
			return
		}
		inject(random)
	}
}

// injectServerFault sets up a random one of the given faults for the next request to
// some plain server.
func (e *Experiment) injectServerFault(random *rand.Rand, kinds ...standin.FaultKind) {
	fault := standin.Fault{Kind: kinds[random.IntN(len(kinds))], Count: 1, After: random.IntN(4)}
	pickByName(random, e.Fleet.PlainServers).ScheduleFault(fault)
}

// pickByName returns a random value. The same seed picks the same name in each run,
// which the order of a map would not.
func pickByName[T any](random *rand.Rand, values map[string]T) T {
	names := slices.Sorted(maps.Keys(values))
	return values[names[random.IntN(len(names))]]
}

// injectEngineFault sets up a random one of the given faults for the next request to
// some engine.
func (e *Experiment) injectEngineFault(random *rand.Rand, kinds ...standin.FaultKind) {
	fault := standin.Fault{Kind: kinds[random.IntN(len(kinds))], Count: 1, After: random.IntN(4)}
	pickByName(random, e.Fleet.Engines).ScheduleFault(fault)
}

// retryKeyedCalls retries the keyed calls without a whole answer, at all daemons in
// turn, as callers do.
func (e *Experiment) retryKeyedCalls(ctx context.Context) {
	last := make(map[string]fleet.Outcome)
	for _, outcome := range e.Caller.Outcomes() {
		if outcome.Call.IdempotencyKey != "" {
			last[outcome.Call.Operation] = outcome
		}
	}
	var retries sync.WaitGroup
	for _, outcome := range last {
		if !outcome.Complete {
			retries.Go(func() { e.retryCall(ctx, outcome.Call) })
		}
	}
	retries.Wait()
}

// retryCall retries a call up to maxRetries times, until it has a whole answer or
// may have run.
func (e *Experiment) retryCall(ctx context.Context, call fleet.Call) {
	for attempt := range maxRetries {
		outcome := e.Send(ctx, Arrival{Call: call, PreferredDaemon: attempt % len(e.Fleet.Daemons)})
		if outcome.Complete || outcome.Run != "not-run" {
			return
		}
		if !sleepUntil(ctx, time.Now().Add(faultInterval)) {
			return
		}
	}
}

func planLostAnswer(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.injectPeriodically(ctx, faultInterval, func(random *rand.Rand) {
			e.injectServerFault(random, standin.FaultResetBefore, standin.FaultResetDuring, standin.FaultResetAfter,
				standin.FaultResetAnswer, standin.FaultSilentRan)
			e.injectEngineFault(random, standin.FaultResetAfter, standin.FaultResetAnswer, standin.FaultTruncated)
			e.Fleet.Objects.LoseWriteAnswers(1)
		})
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	return plan
}

func planKeyedRetry(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		var duplicateSenders sync.WaitGroup
		duplicateSenders.Go(func() { e.sendDuplicates(ctx) })
		paused, killed := e.Fleet.Daemons[1], e.Fleet.Daemons[len(e.Fleet.Daemons)-1]
		e.WaitUntil(ctx, config.thirds(1))
		config.Logf("pause %s", paused.ID())
		_ = paused.Pause()
		e.WaitUntil(ctx, config.thirds(1)+daemonPauseTime)
		_ = paused.Resume()
		e.WaitUntil(ctx, config.thirds(2))
		if err := e.Kill(killed); err != nil {
			return err
		}
		duplicateSenders.Wait()
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	return plan
}

// sendDuplicates sends one in three keyed calls, chosen at random, a second time:
// at another daemon and within 200 ms of the first.
func (e *Experiment) sendDuplicates(ctx context.Context) {
	random := rand.New(rand.NewPCG(e.Config.Seed, 2))
	var duplicates []Arrival
	for _, arrival := range e.Plan.Arrivals {
		if arrival.Call.IdempotencyKey == "" || random.IntN(3) > 0 {
			continue
		}
		arrival.Offset += time.Duration(random.IntN(200)) * time.Millisecond
		arrival.PreferredDaemon = (arrival.PreferredDaemon + 1) % len(e.Fleet.Daemons)
		duplicates = append(duplicates, arrival)
	}
	issueCalls(ctx, e.LoadStart, duplicates, func(ctx context.Context, arrival Arrival) { e.Send(ctx, arrival) })
}

func planStoreOutage(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1)/2)
		e.Fleet.Objects.SetLatency(300 * time.Millisecond)
		e.WaitUntil(ctx, config.thirds(1))
		e.Fleet.Objects.SetLatency(0)
		e.Fleet.Objects.SetDown(true)
		e.WaitUntil(ctx, config.thirds(2))
		e.Fleet.Objects.SetDown(false)
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	plan.Evaluate = func(experiment *Experiment, result *Result) {
		addOutcomeFigures(experiment, result)
		refused := 0
		for _, outcome := range experiment.Evidence.Outcomes {
			if outcome.Call.IdempotencyKey == "" && outcome.Reason != "" {
				refused++
			}
		}
		result.AddFigure("refused_without_key", float64(refused))
		result.CheckAtMost("refused calls without an idempotency key", float64(refused), 0)
	}
	return plan
}

func planSilentConnection(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.FleetOptions.Links.Proxied = true
	plan.FleetOptions.Links.PlatformProxied = true
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		links := e.Fleet.Network.Links(faultproxy.Between(faultproxy.NamedWithPrefix("daemon-"), faultproxy.AnyEndpoint))
		e.injectPeriodically(ctx, 5*faultInterval, func(random *rand.Rand) {
			for range max(1, len(links)/10) {
				links[random.IntN(len(links))].StallOpenConnections()
			}
		})
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	return plan
}

func planCrossedAnswers(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.injectPeriodically(ctx, faultInterval/2, func(random *rand.Rand) {
			e.injectServerFault(random, standin.FaultWrongRequestID, standin.FaultOverlong)
			e.injectEngineFault(random, standin.FaultWrongRequestID, standin.FaultOverlong, standin.FaultTruncated)
		})
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	return plan
}
