package experiment

import (
	"context"
	"fmt"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

// Slope is what each additional unit of a dimension costs a daemon, fitted over
// several sizes. All values are means over the fleet's daemons.
type Slope struct {
	Dimension string    `json:"of"`
	Sizes     []float64 `json:"sizes"`
	// Fits holds the fit of each measured value, by the value's name.
	Fits map[string]Fit `json:"fits"`
}

// The names of the measured values.
const (
	valueControlBytes    = "control_bytes_per_second"
	valueControlMessages = "control_messages_per_second"
	valueCoreFraction    = "core_fraction"
	valueResidentBytes   = "resident_bytes"
	valuePlatformCalls   = "platform_calls_per_second"
)

// sentMessagesSuffix is the suffix of the metric that counts messages sent to
// peers.
const sentMessagesSuffix = "peer_sent_messages"

const (
	// slopeMeasureTime is the duration of one measurement, and slopeSettleTime the
	// time before it.
	slopeMeasureTime = 5 * time.Second
	slopeSettleTime  = 1500 * time.Millisecond
)

// dimension is a quantity whose cost for each additional unit is measured.
type dimension struct {
	name  string
	sizes []float64
	// prepare returns the fleet and the arrivals for a size.
	prepare func(size float64) (fleet.Options, []Arrival)
	// duringLoad runs concurrently with the measurement until ctx ends. It may be
	// nil.
	duringLoad func(ctx context.Context, e *Experiment, size float64)
}

// slopeDaemonCount is the number of daemons when it is not the dimension. It
// exceeds the number of the mix's failure domains, so that most slots belong to
// other daemons than the one that needs them.
const slopeDaemonCount = 9

// configurationChangeDaemonCount is the number of daemons for the measurement of
// configuration changes. It exceeds the number of watchers, which receive a
// change from the platform; the other daemons receive it from peers.
const configurationChangeDaemonCount = 12

// MeasureSlopes measures all dimensions, one after the other.
func MeasureSlopes(ctx context.Context, config Config) ([]Slope, error) {
	var slopes []Slope
	for _, d := range dimensions(config) {
		slope, err := d.measure(ctx, config)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", d.name, err)
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

func dimensions(config Config) []dimension {
	return []dimension{
		{name: "peer", sizes: []float64{3, 6, 12, 24}, prepare: config.peerFleet},
		{name: "backend server", sizes: []float64{12, 24, 48, 96}, prepare: config.serverFleet},
		{name: "request a second at a daemon", sizes: []float64{5, 10, 20, 40}, prepare: config.requestFleet},
		{name: "backlogged workspace", sizes: []float64{4, 8, 16, 32}, prepare: config.backloggedFleet},
		{name: "configuration change a second", sizes: []float64{0, 1, 2, 4}, prepare: config.fixedFleet(configurationChangeDaemonCount), duringLoad: changeConfiguration},
	}
}

// measure measures all sizes of the dimension and fits a line to each value.
func (d dimension) measure(ctx context.Context, config Config) (Slope, error) {
	values := make(map[string][]float64)
	for _, size := range d.sizes {
		measured, err := d.measureAtSize(ctx, config, size)
		if err != nil {
			return Slope{}, err
		}
		for name, value := range measured {
			values[name] = append(values[name], value)
		}
	}
	slope := Slope{Dimension: d.name, Sizes: d.sizes, Fits: make(map[string]Fit)}
	for name, points := range values {
		slope.Fits[name] = FitLine(d.sizes, points)
	}
	return slope, nil
}

// measureAtSize runs a fleet of one size and returns the measured values by name.
func (d dimension) measureAtSize(ctx context.Context, config Config, size float64) (map[string]float64, error) {
	options, arrivals := d.prepare(size)
	plan := Plan{FleetOptions: options, Arrivals: arrivals, Service: config.Mix.ModelService}
	f, err := fleet.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	e := newExperiment(config, &plan, f)
	defer e.Caller.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.LoadStart = time.Now()
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		issueCalls(ctx, e.LoadStart, arrivals, func(ctx context.Context, arrival Arrival) { e.Send(ctx, arrival) })
	}()
	if d.duringLoad != nil {
		go d.duringLoad(ctx, e, size)
	}
	time.Sleep(slopeSettleTime)
	before := readFleetCosts(ctx, f)
	measureStart := time.Now()
	time.Sleep(slopeMeasureTime)
	after := readFleetCosts(ctx, f)
	measured := after.perDaemonSince(before, time.Since(measureStart), len(f.Daemons))
	cancel()
	<-loadEnded
	config.Logf("%s %v: %.0f B/s, %.4f of a core", d.name, size, measured[valueControlBytes], measured[valueCoreFraction])
	return measured, nil
}

// fleetCosts is the resource use of a fleet so far, summed over its daemons.
// residentBytes is the present value.
type fleetCosts struct {
	usage         usage
	sentMessages  float64
	residentBytes float64
	platformCalls float64
}

func readFleetCosts(ctx context.Context, f *fleet.Fleet) fleetCosts {
	costs := fleetCosts{usage: measureUsage(ctx, f)}
	for _, daemon := range f.Daemons {
		if metrics, err := daemon.Metrics(ctx); err == nil {
			costs.sentMessages += metrics.SumBySuffix(sentMessagesSuffix)
		}
		if resident, err := daemon.ResidentBytes(); err == nil {
			costs.residentBytes += float64(resident)
		}
	}
	counts := f.Objects.Counts()
	costs.platformCalls = float64(counts.Reads + counts.Writes + counts.Watches + f.VMs.ReadCount())
	return costs
}

// perDaemonSince returns the measured values by name: the resident memory per
// daemon, and the other costs per daemon and second since before.
func (c fleetCosts) perDaemonSince(before fleetCosts, elapsed time.Duration, daemonCount int) map[string]float64 {
	controlBytes, processorTime := c.usage.since(before.usage)
	perDaemon := 1 / float64(daemonCount)
	perSecond := perDaemon / elapsed.Seconds()
	return map[string]float64{
		valueControlBytes:    controlBytes * perSecond,
		valueControlMessages: (c.sentMessages - before.sentMessages) * perSecond,
		valueCoreFraction:    processorTime.Seconds() * perSecond,
		valueResidentBytes:   c.residentBytes * perDaemon,
		valuePlatformCalls:   (c.platformCalls - before.platformCalls) * perSecond,
	}
}

func (c Config) peerFleet(daemonCount float64) (fleet.Options, []Arrival) {
	return c.Mix.fleetOptions(int(daemonCount)), nil
}

// fixedFleet returns a function that ignores the size of the dimension.
func (c Config) fixedFleet(daemonCount int) func(float64) (fleet.Options, []Arrival) {
	return func(float64) (fleet.Options, []Arrival) { return c.Mix.fleetOptions(daemonCount), nil }
}

func (c Config) serverFleet(serverCount float64) (fleet.Options, []Arrival) {
	options := c.Mix.fleetOptions(slopeDaemonCount)
	options.Engines[0].Servers = int(serverCount)
	return options, nil
}

// requestFleet returns a fleet with the given rate of calls at each daemon. The
// calls are short and never wait, so that their size does not matter.
func (c Config) requestFleet(callsPerSecond float64) (fleet.Options, []Arrival) {
	options := c.Mix.fleetOptions(slopeDaemonCount)
	options.Engines[0].Engine.TokensPerSecond = overheadTokensPerSecond
	source := c.Mix.questionSource(c.Mix.Large[0], 0)
	source.Costs = CostDistribution{Median: shortCallTokens, Max: shortCallTokens}
	source.CallsPerSecond = callsPerSecond * slopeDaemonCount
	return options, GenerateArrivals(c.Seed, slopeDaemonCount, slopeSettleTime+slopeMeasureTime, []LoadSource{source})
}

// backloggedLoadFraction is the load of all backlogged workspaces together, as a
// fraction of the model's capacity.
const backloggedLoadFraction = 1.4

// backloggedFleet returns a fleet whose workspaces are all backlogged.
func (c Config) backloggedFleet(workspaceCount float64) (fleet.Options, []Arrival) {
	options := c.Mix.fleetOptions(slopeDaemonCount)
	options.Workspaces = nil
	var sources []LoadSource
	for i := range int(workspaceCount) {
		name := ports.WorkspaceID(fmt.Sprintf("workspace-%d", i+1))
		options.Workspaces = append(options.Workspaces, fleet.Workspace{Name: name})
		sources = append(sources, c.Mix.draftSource(name, backloggedLoadFraction/workspaceCount))
	}
	return options, GenerateArrivals(c.Seed, slopeDaemonCount, slopeSettleTime+slopeMeasureTime, sources)
}

// changeConfiguration applies a number of revisions per second until ctx ends.
func changeConfiguration(ctx context.Context, e *Experiment, perSecond float64) {
	if perSecond == 0 {
		return
	}
	client := newOperatorClient(e)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	baseRevision := configuration.RevisionNumber(1)
	for variant := 1; ; variant++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		attempt := applyAttempt{applyID: fmt.Sprintf("slope-%d", variant), baseRevision: baseRevision, variant: variant}
		outcome, err := client.apply(ctx, e.Fleet.Daemons[0], attempt)
		if err == nil && outcome.conflict == nil {
			baseRevision = outcome.accepted.Number
		}
	}
}
