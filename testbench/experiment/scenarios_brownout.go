package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

func init() {
	RegisterScenario(Scenario{
		Name:    "brownout",
		Summary: "half of the requests to the engines fail for a third of the load",
		Plan:    planBrownout,
	})
	RegisterScenario(Scenario{
		Name:    "storm",
		Summary: "seeded random faults of all kinds, overlapping and repeated",
		Plan:    planStorm,
	})
}

// maxAttemptsPerCall bounds the requests to backend servers per call.
const maxAttemptsPerCall = 1.1

// planBrownout makes half of the requests to engines fail. Every other call is
// declared not repeatable and is not retried, to compare goodput with and without
// retries.
func planBrownout(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	withoutRetries := false
	for i := range plan.Arrivals {
		call := &plan.Arrivals[i].Call
		if call.Kind == configuration.ServiceKindPlain {
			continue
		}
		call.Stream = false
		if withoutRetries = !withoutRetries; withoutRetries {
			call.Repeatable = "false"
		}
	}
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		e.WaitUntil(ctx, config.thirds(1))
		for e.WaitUntil(ctx, config.thirds(1)) && time.Since(e.LoadStart) < config.thirds(2) {
			for _, engine := range e.Fleet.Engines {
				engine.ClearFaults()
				for range brownoutFaultsPerInterval {
					engine.ScheduleFault(standin.Fault{Kind: standin.FaultResetBefore, Count: 1})
					engine.ScheduleFault(standin.Fault{Kind: standin.FaultNone, Count: 1})
				}
			}
			sleepUntil(ctx, time.Now().Add(faultInterval))
		}
		for _, engine := range e.Fleet.Engines {
			engine.ClearFaults()
		}
		return nil
	}
	plan.Evaluate = evaluateBrownout
	return plan
}

// brownoutFaultsPerInterval is the number of failing requests that are set up at
// each engine for one fault interval, with as many good ones in between.
const brownoutFaultsPerInterval = 64

// evaluateBrownout evaluates the calls from the start of the brownout to the end of
// the load, since many calls wait until the brownout is over.
func evaluateBrownout(e *Experiment, result *Result) {
	addOutcomeFigures(e, result)
	brownoutStart := e.LoadStart.Add(e.Config.thirds(1))
	callCount, repeatable, notRepeatable := 0, goodput{}, goodput{}
	for _, outcome := range e.Evidence.Outcomes {
		if outcome.Call.Kind == configuration.ServiceKindPlain || outcome.SentAt.Before(brownoutStart) {
			continue
		}
		callCount++
		if outcome.Call.Repeatable == "false" {
			notRepeatable.add(outcome)
		} else {
			repeatable.add(outcome)
		}
	}
	attempts := 0
	for _, engine := range e.Fleet.Engines {
		attempts += engine.InjectedCount(standin.FaultResetBefore)
	}
	for _, run := range e.Evidence.Runs {
		if run.Service == string(e.Plan.Service) && run.ArrivedAt.After(brownoutStart) {
			attempts++
		}
	}
	perCall := float64(attempts) / float64(max(1, callCount))
	result.AddFigure("brownout_calls", float64(callCount))
	result.AddFigure("attempts_per_call", perCall)
	result.AddFigure("goodput_with_retries", repeatable.fraction())
	result.AddFigure("goodput_without_retries", notRepeatable.fraction())
	result.CheckAtMost("attempts_per_call", perCall, maxAttemptsPerCall)
	result.CheckAtLeast("goodput_with_retries", repeatable.fraction(), notRepeatable.fraction())
}

// goodput counts calls and those of them with a whole answer.
type goodput struct {
	calls, wholeAnswers int
}

func (g *goodput) add(outcome fleet.Outcome) {
	g.calls++
	if outcome.Complete {
		g.wholeAnswers++
	}
}

func (g *goodput) fraction() float64 {
	return float64(g.wholeAnswers) / float64(max(1, g.calls))
}

// stormFaultInterval is the time between two rounds of faults in the storm.
const stormFaultInterval = 400 * time.Millisecond

func planStorm(config Config) Plan {
	plan := config.Mix.newOutcomePlan(config)
	plan.FleetOptions.Links.Proxied = true
	plan.FleetOptions.Links.PlatformProxied = true
	plan.DuringLoad = func(ctx context.Context, e *Experiment) error {
		s := &stormInjector{experiment: e, ctx: ctx}
		e.injectPeriodically(ctx, stormFaultInterval, s.injectFault)
		e.Fleet.Objects.SetDown(false)
		e.Fleet.Objects.SetLatency(0)
		e.WaitUntil(ctx, config.LoadDuration)
		e.retryKeyedCalls(ctx)
		return nil
	}
	return plan
}

// stormInjector injects random faults. At most one daemon is paused or killed at a
// time, so that callers find another.
type stormInjector struct {
	experiment *Experiment
	ctx        context.Context
	// daemonFaultUntil is until when the last fault of a daemon lasts.
	daemonFaultUntil time.Time
}

// injectFault injects one round of faults: one at a plain server, one at an engine
// and one of the platform, of links or of a daemon.
func (s *stormInjector) injectFault(random *rand.Rand) {
	e := s.experiment
	e.injectServerFault(random, standin.FaultResetBefore, standin.FaultResetDuring, standin.FaultResetAfter,
		standin.FaultResetAnswer, standin.FaultSilentRan, standin.FaultWrongRequestID, standin.FaultOverloaded, standin.FaultOverlong)
	e.injectEngineFault(random, standin.FaultResetAfter, standin.FaultResetAnswer, standin.FaultTruncated,
		standin.FaultSilentAnswer, standin.FaultWrongRequestID, standin.FaultOverlong, standin.FaultOverloaded)
	switch random.IntN(8) {
	case 0:
		e.Fleet.Objects.LoseWriteAnswers(1 + random.IntN(3))
	case 1:
		e.Fleet.Objects.SetDown(true)
	case 2, 3:
		e.Fleet.Objects.SetDown(false)
		e.Fleet.Objects.SetLatency(0)
	case 4:
		e.Fleet.Objects.SetLatency(time.Duration(random.IntN(300)) * time.Millisecond)
	case 5:
		s.silenceLinks(random)
	case 6:
		s.pauseDaemon(random)
	case 7:
		s.killDaemon(random)
	}
}

func (s *stormInjector) silenceLinks(random *rand.Rand) {
	links := s.experiment.Fleet.Network.Links(func(string, string) bool { return true })
	for range max(1, len(links)/20) {
		links[random.IntN(len(links))].StallOpenConnections()
	}
}

// selectDaemon selects a random daemon for a fault of the given duration. It
// returns nil when the daemon is not running or an earlier fault still lasts.
func (s *stormInjector) selectDaemon(random *rand.Rand, duration time.Duration) *fleet.Daemon {
	daemon := s.experiment.Fleet.Daemons[random.IntN(len(s.experiment.Fleet.Daemons))]
	if time.Now().Before(s.daemonFaultUntil) || !daemon.Running() {
		return nil
	}
	s.daemonFaultUntil = time.Now().Add(duration + time.Second)
	return daemon
}

func (s *stormInjector) pauseDaemon(random *rand.Rand) {
	daemon := s.selectDaemon(random, daemonPauseTime)
	if daemon == nil {
		return
	}
	s.experiment.Config.Logf("pause %s", daemon.ID())
	_ = daemon.Pause()
	time.AfterFunc(time.Duration(500+random.IntN(2500))*time.Millisecond, func() { _ = daemon.Resume() })
}

func (s *stormInjector) killDaemon(random *rand.Rand) {
	daemon := s.selectDaemon(random, daemonPauseTime)
	if daemon == nil || s.experiment.Kill(daemon) != nil {
		return
	}
	<-daemon.Exited()
	_ = daemon.Start()
}
