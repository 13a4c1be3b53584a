package clustertest

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

const (
	service = ports.ServiceName("sds-drafter")
	// serversPerDomain is high enough for each failure domain to have its own shard.
	serversPerDomain = 4
	domains          = 3
	statusTimeout    = 2 * time.Second
	callTimeout      = 30 * time.Second
	// minProbeAcks is the number of answered probes after which a daemon has
	// probed every peer that it monitors.
	minProbeAcks = 3
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// threeRegions places each failure domain in its own region.
var threeRegions = []fleet.Domain{
	{Name: "ub-a", Region: "ub"},
	{Name: "dalanzadgad-a", Region: "gobi"},
	{Name: "zu-a", Region: "zu"},
}

func options(daemons int) fleet.Options {
	return fleet.Options{
		Daemons: daemons,
		Domains: threeRegions,
		Engines: []fleet.EngineService{{Name: service, Servers: domains * serversPerDomain}},
		Links:   fleet.LinkOptions{Proxied: true},
	}
}

// maxParallelFleets is the number of fleets that may run at the same time.
const maxParallelFleets = 3

var fleetSlots = make(chan struct{}, maxParallelFleets)

// runInParallel runs a test in parallel with others, and blocks while
// maxParallelFleets tests are running.
func runInParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// startFleet starts a fleet and waits until its daemons agree on the members and
// know the incarnations of their peers. Tests that use it run in parallel.
func startFleet(t *testing.T, daemons int) *fleet.Fleet {
	t.Helper()
	return startFleetWith(t, options(daemons))
}

// startFleetWith is startFleet with the given options.
func startFleetWith(t *testing.T, options fleet.Options) *fleet.Fleet {
	t.Helper()
	runInParallel(t)
	f := fleet.StartTest(t, options)
	awaitAgreement(t, "start", f.Daemons...)
	for _, d := range f.Daemons {
		fleet.Eventually(t, "the daemon's probes are answered", func() bool {
			return sumMetric(t, []*fleet.Daemon{d}, "peer_received_messages", "kind", "probe-ack") >= minProbeAcks
		})
	}
	return f
}

// status returns a daemon's status, and false when it does not answer.
func status(d *fleet.Daemon) (fleet.Status, bool) {
	if !d.Running() {
		return fleet.Status{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := d.Status(ctx)
	return s, err == nil
}

func ids(daemons ...*fleet.Daemon) []ports.DaemonID {
	var daemonIDs []ports.DaemonID
	for _, d := range daemons {
		daemonIDs = append(daemonIDs, d.ID())
	}
	slices.Sort(daemonIDs)
	return daemonIDs
}

// considersAlive reports whether a daemon considers exactly the given members
// alive.
func considersAlive(d *fleet.Daemon, members []ports.DaemonID) bool {
	s, ok := status(d)
	if !ok {
		return false
	}
	var daemonIDs []ports.DaemonID
	for _, vm := range s.Daemons {
		daemonIDs = append(daemonIDs, vm.Name)
	}
	slices.Sort(daemonIDs)
	return slices.Equal(daemonIDs, members)
}

// agreeOnMembers reports whether each of the daemons considers exactly these
// daemons alive.
func agreeOnMembers(daemons ...*fleet.Daemon) bool {
	members := ids(daemons...)
	for _, d := range daemons {
		if !considersAlive(d, members) {
			return false
		}
	}
	return true
}

// shardOwners returns the daemons that report owning each shard.
func shardOwners(daemons ...*fleet.Daemon) map[ports.ShardID][]ports.DaemonID {
	owned := make(map[ports.ShardID][]ports.DaemonID)
	for _, d := range daemons {
		s, _ := status(d)
		for _, serviceStatus := range s.Services {
			for _, shard := range serviceStatus.Owned {
				owned[shard.Shard] = append(owned[shard.Shard], d.ID())
			}
		}
	}
	return owned
}

// eachShardHasOneOwner reports whether every failure domain's shard has exactly
// one owner among the daemons.
func eachShardHasOneOwner(daemons ...*fleet.Daemon) bool {
	owned := shardOwners(daemons...)
	for _, daemonIDs := range owned {
		if len(daemonIDs) != 1 {
			return false
		}
	}
	return len(owned) == domains
}

func awaitAgreement(t *testing.T, what string, daemons ...*fleet.Daemon) {
	t.Helper()
	startedAt := time.Now()
	fleet.Eventually(t, what+": the daemons agree on which daemons are alive", func() bool { return agreeOnMembers(daemons...) })
	fleet.Eventually(t, what+": each shard has one owner", func() bool { return eachShardHasOneOwner(daemons...) })
	t.Logf("%s: agreed after %s", what, time.Since(startedAt).Round(time.Millisecond))
}

// closedSessions returns the number of sessions that the daemons closed for the
// given reason.
func closedSessions(t *testing.T, reason string, daemons ...*fleet.Daemon) float64 {
	t.Helper()
	return sumMetric(t, daemons, "peer_sessions_closed", "reason", reason)
}

// openSessions returns the number of open sessions that the daemons dialled.
func openSessions(t *testing.T, daemons ...*fleet.Daemon) float64 {
	t.Helper()
	return sumMetric(t, daemons, "peer_sessions_opened") - sumMetric(t, daemons, "peer_sessions_closed", "side", "dialled")
}

// sumMetric returns the sum of a metric over the daemons.
func sumMetric(t *testing.T, daemons []*fleet.Daemon, name string, labels ...string) float64 {
	t.Helper()
	var sum float64
	for _, d := range daemons {
		metrics, err := d.Metrics(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sum += metrics.SumBySuffix(name, labels...)
	}
	return sum
}

const (
	shortCallTokens = 3
	longCallTokens  = 500
)

func callOnce(d *fleet.Daemon) error { return call(d, shortCallTokens) }

func callLong(d *fleet.Daemon) error { return call(d, longCallTokens) }

// call makes one call at a daemon and returns an error unless the answer is
// complete.
func call(d *fleet.Daemon, tokens int) error {
	caller := fleet.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	outcome := caller.Do(ctx, d, fleet.Call{Workspace: "alpha", Service: service, Tokens: tokens, Stream: true})
	if !outcome.Complete {
		return fmt.Errorf("call at %s: status %d, run %s, reason %s, %w", d.ID(), outcome.Status, outcome.Run, outcome.Reason, outcome.Err)
	}
	return nil
}

// checkServed reports a test error for each daemon that does not serve a call.
func checkServed(t *testing.T, daemons ...*fleet.Daemon) {
	t.Helper()
	for _, d := range daemons {
		if err := callOnce(d); err != nil {
			t.Error(err)
		}
	}
}

// countFailures checks a condition every 50 ms until stop is called, which
// returns the number of failed checks.
func countFailures(holds func() bool) (stop func() (failures int)) {
	done := make(chan struct{})
	result := make(chan int)
	go func() {
		failures := 0
		for {
			if !holds() {
				failures++
			}
			select {
			case <-done:
				result <- failures
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

func sortedShards(owned map[ports.ShardID][]ports.DaemonID) []ports.ShardID {
	return slices.Sorted(maps.Keys(owned))
}
