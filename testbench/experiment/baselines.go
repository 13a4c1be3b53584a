package experiment

import (
	"context"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/baseline"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
)

// baselineRun is one baseline: routers in front of engines of their own, which get
// the same calls of the measured service as the fleet.
type baselineRun struct {
	engines []*engine.Engine
	runLog  *standin.RunLog
	caller  *fleet.Caller
	// routerURLs are the routers' base URLs.
	routerURLs []string
	closers    []func()
}

// startBaselineEngines starts one baseline's engines, with the number and
// configuration of the plan's model.
func startBaselineEngines(plan *Plan) (*baselineRun, []baseline.Backend, error) {
	b := &baselineRun{runLog: &standin.RunLog{}, caller: fleet.NewCaller()}
	model := measuredModel(plan)
	var backends []baseline.Backend
	for range model.Servers {
		config := model.Engine
		config.Name = "paired"
		config.Service = string(model.Name)
		config.Log = b.runLog
		started, err := engine.Start(config)
		if err != nil {
			b.close()
			return nil, nil, err
		}
		b.engines = append(b.engines, started)
		backends = append(backends, baseline.Backend{URL: started.URL(), BatchSize: config.BatchSize})
	}
	return b, backends, nil
}

// measuredModel returns the plan's service under measurement, or the zero value
// when it is not a model.
func measuredModel(plan *Plan) fleet.EngineService {
	for _, model := range plan.FleetOptions.Engines {
		if model.Name == plan.Service {
			return model
		}
	}
	return fleet.EngineService{}
}

// startCentralBaseline starts one router with a central queue.
func startCentralBaseline(plan *Plan) (*baselineRun, error) {
	b, backends, err := startBaselineEngines(plan)
	if err != nil {
		return nil, err
	}
	router, err := baseline.StartCentralRouter(backends)
	if err != nil {
		b.close()
		return nil, err
	}
	b.routerURLs = []string{router.URL()}
	b.closers = append(b.closers, router.Close)
	return b, nil
}

// startIndependentBaseline starts one independent router for each daemon.
func startIndependentBaseline(plan *Plan) (*baselineRun, error) {
	b, backends, err := startBaselineEngines(plan)
	if err != nil {
		return nil, err
	}
	for i := range plan.FleetOptions.Daemons {
		router, err := baseline.StartIndependentRouter(backends, i*len(backends)/plan.FleetOptions.Daemons)
		if err != nil {
			b.close()
			return nil, err
		}
		b.routerURLs = append(b.routerURLs, router.URL())
		b.closers = append(b.closers, router.Close)
	}
	return b, nil
}

func (b *baselineRun) close() {
	b.caller.Close()
	for _, closer := range b.closers {
		closer()
	}
	for _, started := range b.engines {
		started.Close()
	}
}

// issueCalls makes the plan's calls of the measured service at the routers, and
// returns when all have ended.
func (b *baselineRun) issueCalls(ctx context.Context, start time.Time, plan *Plan) {
	var arrivals []Arrival
	for _, arrival := range plan.Arrivals {
		if arrival.Call.Service == plan.Service {
			arrivals = append(arrivals, arrival)
		}
	}
	issueCalls(ctx, start, arrivals, func(ctx context.Context, arrival Arrival) {
		b.caller.DoDirect(ctx, b.routerURLs[arrival.PreferredDaemon%len(b.routerURLs)], arrival.Call)
	})
}

func (b *baselineRun) evidence(document configuration.Document) audit.Evidence {
	return audit.Evidence{Runs: b.runLog.Runs(), Outcomes: b.caller.Outcomes(), Document: document}
}
