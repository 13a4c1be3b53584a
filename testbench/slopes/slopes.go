// Package slopes measures the resource use of one idle daemon against the number of
// daemons in its fleet, with real processes. Only the experiment command imports it.
package slopes

import (
	"context"
	"fmt"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/experiment"
	"hawthornstream/testbench/fleet"
)

// Config configures the measurements.
type Config struct {
	// DaemonCounts holds the number of daemons of each measured fleet. Default:
	// DefaultDaemonCounts.
	DaemonCounts []int
	// SettleTime is the time between the start of a fleet and its measurement.
	// Default: 20s.
	SettleTime time.Duration
	// MeasureTime is the duration of each measurement. Default: 15s.
	MeasureTime time.Duration
	// Logf reports progress. Default: nothing is reported.
	Logf func(format string, values ...any)
}

// DefaultDaemonCounts is the default of Config.DaemonCounts.
var DefaultDaemonCounts = []int{3, 9, 27, 60}

const (
	defaultSettleTime  = 20 * time.Second
	defaultMeasureTime = 15 * time.Second
	serviceName        = ports.ServiceName("sds-drafter")
	serverCount        = 12
)

// Point is the resource use of the daemons of one fleet without calls.
type Point struct {
	Daemons int `json:"daemons"`
	// The summaries below are over the daemons: bytes and messages that a daemon
	// sends per second, bytes per second of VM lists that it receives, the fraction
	// of one core, bytes of resident memory, and open sessions that it dialled.
	SentBytes     Summary `json:"sent_bytes_per_second"`
	SentMessages  Summary `json:"sent_messages_per_second"`
	VMListBytes   Summary `json:"vm_list_bytes_per_second"`
	CoreFraction  Summary `json:"processor_part"`
	ResidentBytes Summary `json:"resident_bytes"`
	Sessions      Summary `json:"sessions"`
	// Suspicions and Deaths count how often a running daemon was considered suspect
	// or dead, over the whole fleet since its start.
	Suspicions float64 `json:"suspicions"`
	Deaths     float64 `json:"deaths"`
	// LiveDaemons is the number of daemons that each daemon considers alive at the
	// end.
	LiveDaemons Summary `json:"live"`
	// SentBytesByKind is the mean number of bytes that a daemon sends per second, by
	// kind of message.
	SentBytesByKind map[string]float64 `json:"sent_bytes_per_second_by_kind"`
}

// Result holds one point per fleet and, by the name of each quantity, a line fitted to
// its means over the number of daemons.
type Result struct {
	Points []Point                   `json:"points"`
	Fits   map[string]experiment.Fit `json:"lines"`
}

// Run measures fleets of all sizes, one after the other. It fails with the first error
// of a fleet.
func Run(ctx context.Context, config Config) (Result, error) {
	config.setDefaults()
	var result Result
	for _, daemonCount := range config.DaemonCounts {
		point, err := measureFleet(ctx, config, daemonCount)
		if err != nil {
			return Result{}, fmt.Errorf("%d daemons: %w", daemonCount, err)
		}
		config.Logf("%d daemons: %.0f B/s sent, %.4f of a core, %.1f MB", daemonCount,
			point.SentBytes.Mean, point.CoreFraction.Mean, point.ResidentBytes.Mean/1e6)
		result.Points = append(result.Points, point)
	}
	result.Fits = fitLines(result.Points)
	return result, nil
}

func (c *Config) setDefaults() {
	if len(c.DaemonCounts) == 0 {
		c.DaemonCounts = DefaultDaemonCounts
	}
	if c.SettleTime == 0 {
		c.SettleTime = defaultSettleTime
	}
	if c.MeasureTime == 0 {
		c.MeasureTime = defaultMeasureTime
	}
	if c.Logf == nil {
		c.Logf = func(string, ...any) {}
	}
}

// failureDomains returns three failure domains in each of five regions.
func failureDomains() []fleet.Domain {
	var domains []fleet.Domain
	for domain := range 3 {
		for region := range 5 {
			domains = append(domains, fleet.Domain{
				Name:   ports.FailureDomain(fmt.Sprintf("region-%d-%d", region+1, domain+1)),
				Region: ports.Region(fmt.Sprintf("region-%d", region+1)),
			})
		}
	}
	return domains
}

// measureFleet starts a fleet without calls and measures it.
func measureFleet(ctx context.Context, config Config, daemonCount int) (Point, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		Daemons: daemonCount,
		Domains: failureDomains(),
		Engines: []fleet.EngineService{{Name: serviceName, Servers: serverCount}},
	})
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	if err := sleep(ctx, config.SettleTime); err != nil {
		return Point{}, err
	}
	before, err := sampleDaemons(ctx, f.Daemons)
	if err != nil {
		return Point{}, err
	}
	if err := sleep(ctx, config.MeasureTime); err != nil {
		return Point{}, err
	}
	after, err := sampleDaemons(ctx, f.Daemons)
	if err != nil {
		return Point{}, err
	}
	return newPoint(before, after), nil
}

// sleep waits for the duration, or returns the error of ctx when that ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
