package experiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

func init() {
	RegisterScenario(Scenario{
		Name:    "overhead",
		Summary: "one daemon on one core: added latency, streamed calls per second, memory of an idle stream",
		Plan:    planOverhead,
	})
}

// The bounds on one daemon on one core.
const (
	maxAddedMilliseconds = 1.0
	minCallsPerSecond    = 1000.0
)

// The sizes of the three measurements: latency by pairs of direct and relayed
// calls, throughput with short calls, and memory with idle streams. Short calls
// have few tokens, which engines produce so fast that they are mostly idle.
const (
	overheadEngineCount     = 64
	overheadEngineBatch     = 64
	overheadTokensPerSecond = 5000
	callPairs               = 400
	warmUpCallPairs         = 20
	shortCallTokens         = 4
	throughputWorkers       = 96
	rampUpTime              = 2 * time.Second
	throughputTime          = 4 * time.Second
	idleStreamCount         = 400
	idleTokensPerSecond     = 0.05
)

func planOverhead(config Config) Plan {
	mix := config.Mix
	options := mix.fleetOptions(1)
	options.Links = fleet.LinkOptions{}
	options.Environment = []string{"GOMAXPROCS=1"}
	options.Domains = mix.Domains[:1]
	options.Engines[0].Servers = overheadEngineCount
	options.Engines[0].MaxInFlight = overheadEngineBatch
	options.Engines[0].Engine = engine.Config{BatchSize: overheadEngineBatch, TokensPerSecond: overheadTokensPerSecond}
	options.AdjustSettings = func(s *settings.Settings) {
		s.Limits.MaxConnections = connectionLimit
		s.Log.Level = "warn"
	}
	options.AdjustDocument = allowSilentStreams(mix)
	return Plan{FleetOptions: options, Service: mix.ModelService, NoBaselines: true, RunCustom: runOverhead}
}

// allowSilentStreams raises the progress timeout of the model, so that streams may
// be silent for a minute.
func allowSilentStreams(mix Mix) func(*configuration.Document) {
	return func(document *configuration.Document) {
		service := document.Services[mix.ModelService]
		service.ProgressWithin = configuration.Duration(time.Minute)
		document.Services[mix.ModelService] = service
	}
}

func runOverhead(ctx context.Context, e *Experiment, result *Result) error {
	if err := measureAddedLatency(ctx, e, result); err != nil {
		return err
	}
	if err := measureThroughput(ctx, e, result); err != nil {
		return err
	}
	return measureIdleStreams(ctx, e, result)
}

// shortCall returns a streamed call of the measured service.
func (e *Experiment) shortCall(tokens int) fleet.Call {
	names := e.Config.Mix.Workspaces()
	return fleet.Call{
		Workspace: names[0],
		Service:   e.Plan.Service,
		Stream:    true,
		Tokens:    tokens,
	}
}

// measureAddedLatency alternates between direct calls of an engine and calls
// through the daemon, and compares their median times to the first byte.
func measureAddedLatency(ctx context.Context, e *Experiment, result *Result) error {
	directCaller := fleet.NewCaller()
	defer directCaller.Close()
	var engineURL string
	for _, started := range e.Fleet.Engines {
		engineURL = started.URL()
	}
	var directTimes, relayedTimes []float64
	for i := range callPairs {
		directOutcome := directCaller.DoDirect(ctx, engineURL, e.shortCall(1))
		relayedOutcome := e.Caller.Do(ctx, e.Fleet.Daemons[0], e.shortCall(1))
		if !directOutcome.Complete || !relayedOutcome.Complete {
			return fmt.Errorf("call pair %d: direct call complete %v, error %v; relayed call complete %v, refusal %s", i, directOutcome.Complete, directOutcome.Err, relayedOutcome.Complete, relayedOutcome.Reason)
		}
		if i >= warmUpCallPairs {
			directTimes = append(directTimes, directOutcome.TimeToFirstByte().Seconds()*1000)
			relayedTimes = append(relayedTimes, relayedOutcome.TimeToFirstByte().Seconds()*1000)
		}
	}
	addedMilliseconds := percentile(relayedTimes, 0.5) - percentile(directTimes, 0.5)
	result.AddFigure("first_byte_ms_direct", percentile(directTimes, 0.5))
	result.AddFigure("first_byte_ms_relayed", percentile(relayedTimes, 0.5))
	result.AddFigure("first_byte_ms_relayed_p95", percentile(relayedTimes, 0.95))
	result.CheckAtMost("added time to the first byte (ms)", addedMilliseconds, maxAddedMilliseconds)
	return nil
}

// measureThroughput keeps the daemon busy with short streamed calls and counts
// those that are answered in full.
func measureThroughput(ctx context.Context, e *Experiment, result *Result) error {
	daemon := e.Fleet.Daemons[0]
	ctx, cancel := context.WithTimeout(ctx, rampUpTime+throughputTime)
	defer cancel()
	measureStart := time.Now().Add(rampUpTime)
	var completed atomic.Int64
	var group sync.WaitGroup
	for range throughputWorkers {
		group.Go(func() {
			for ctx.Err() == nil {
				outcome := e.Caller.Do(ctx, daemon, e.shortCall(shortCallTokens))
				if outcome.Complete && outcome.SentAt.After(measureStart) {
					completed.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Until(measureStart))
	before, err := daemon.CPUTime()
	if err != nil {
		return err
	}
	time.Sleep(throughputTime - throughputReadMargin)
	after, err := daemon.CPUTime()
	if err != nil {
		return err
	}
	group.Wait()
	perSecond := float64(completed.Load()) / throughputTime.Seconds()
	result.AddFigure("streamed_calls_per_second", perSecond)
	result.AddFigure("daemon_cores_used", (after-before).Seconds()/(throughputTime-throughputReadMargin).Seconds())
	result.CheckAtLeast("streamed calls per second on one core", perSecond, minCallsPerSecond)
	return nil
}

// throughputReadMargin ensures that the processor time is read before the load
// ends.
const throughputReadMargin = 200 * time.Millisecond

// measureIdleStreams measures the daemon's memory before and while streams are
// open that have delivered their first token and wait for the next.
func measureIdleStreams(ctx context.Context, e *Experiment, result *Result) error {
	daemon := e.Fleet.Daemons[0]
	time.Sleep(settleTime)
	before, err := daemon.ResidentBytes()
	if err != nil {
		return err
	}
	for _, started := range e.Fleet.Engines {
		started.SetTokensPerSecond(idleTokensPerSecond)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range idleStreamCount {
		group.Go(func() { e.Caller.Do(ctx, daemon, e.shortCall(shortCallTokens)) })
	}
	running, err := waitForRunning(ctx, e, idleStreamCount)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	after, err := daemon.ResidentBytes()
	if err != nil {
		return err
	}
	result.AddFigure("idle_streams", float64(running))
	result.AddFigure("resident_bytes_before", float64(before))
	result.AddFigure("resident_bytes_per_idle_stream", float64(after-before)/float64(max(1, running)))
	return nil
}

// idleStreamsTimeout bounds the time until all idle streams run.
const idleStreamsTimeout = 8 * time.Second

// waitForRunning waits until a number of requests run at the backend servers, for
// at most idleStreamsTimeout, and returns how many run then.
func waitForRunning(ctx context.Context, e *Experiment, wantCount int) (int, error) {
	running := 0
	for deadline := time.Now().Add(idleStreamsTimeout); time.Now().Before(deadline); {
		if !sleepUntil(ctx, time.Now().Add(readinessCheckInterval)) {
			return 0, ctx.Err()
		}
		running = 0
		for _, run := range e.Fleet.RunLog.Runs() {
			if !run.StartedAt.IsZero() && run.EndedAt.IsZero() {
				running++
			}
		}
		if running >= wantCount {
			break
		}
	}
	return running, nil
}
