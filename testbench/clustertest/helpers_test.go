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
	// serversInDomain gives each failure domain a shard of its own.
	serversInDomain = 4
	domains         = 3
	statusTimeout   = 2 * time.Second
	callTimeout     = 30 * time.Second
	// enoughAcks is the number of answered probes after which a daemon has
	// probed each of the daemons that it watches.
	enoughAcks = 3
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// threeRegions puts each failure domain into a region of its own.
var threeRegions = []fleet.Domain{
	{Name: "ub-a", Region: "ub"},
	{Name: "dalanzadgad-a", Region: "gobi"},
	{Name: "zu-a", Region: "zu"},
}

func options(daemons int) fleet.Options {
	return fleet.Options{
		Daemons: daemons,
		Domains: threeRegions,
		Engines: []fleet.EngineService{{Name: service, Servers: domains * serversInDomain}},
		Links:   fleet.LinkOptions{Proxied: true},
	}
}

// fleetsAtOnce bounds the fleets that run at the same time.
const fleetsAtOnce = 3

var places = make(chan struct{}, fleetsAtOnce)

// takePlace lets a test run in parallel with a few others.
func takePlace(t *testing.T) {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
}

// startFleet runs a fleet until its daemons know each other's incarnations, in
// parallel with the fleets of a few other tests.
func startFleet(t *testing.T, daemons int) *fleet.Fleet {
	t.Helper()
	return startFleetOf(t, options(daemons))
}

func startFleetOf(t *testing.T, of fleet.Options) *fleet.Fleet {
	t.Helper()
	takePlace(t)
	f := fleet.StartTest(t, of)
	eventuallyAgree(t, "start", f.Daemons...)
	for _, d := range f.Daemons {
		fleet.Eventually(t, "the daemon's probes are answered", func() bool {
			return sum(t, []*fleet.Daemon{d}, "peer_received_messages", "kind", "probe-ack") >= enoughAcks
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
	var names []ports.DaemonID
	for _, d := range daemons {
		names = append(names, d.ID())
	}
	slices.Sort(names)
	return names
}

// believes says whether a daemon takes exactly the given ones to be live.
func believes(d *fleet.Daemon, live []ports.DaemonID) bool {
	s, ok := status(d)
	if !ok {
		return false
	}
	var names []ports.DaemonID
	for _, vm := range s.Daemons {
		names = append(names, vm.Name)
	}
	slices.Sort(names)
	return slices.Equal(names, live)
}

// agree says whether each of the daemons takes exactly these to be live.
func agree(daemons ...*fleet.Daemon) bool {
	live := ids(daemons...)
	for _, d := range daemons {
		if !believes(d, live) {
			return false
		}
	}
	return true
}

// owners returns who takes itself to be the owner of each shard.
func owners(daemons ...*fleet.Daemon) map[ports.ShardID][]ports.DaemonID {
	owned := make(map[ports.ShardID][]ports.DaemonID)
	for _, d := range daemons {
		s, _ := status(d)
		for _, of := range s.Services {
			for _, shard := range of.Owned {
				owned[shard.Shard] = append(owned[shard.Shard], d.ID())
			}
		}
	}
	return owned
}

// eachShardHasOneOwner says whether every failure domain's shard has exactly
// one owner among the daemons.
func eachShardHasOneOwner(daemons ...*fleet.Daemon) bool {
	owned := owners(daemons...)
	for _, names := range owned {
		if len(names) != 1 {
			return false
		}
	}
	return len(owned) == domains
}

func eventuallyAgree(t *testing.T, what string, daemons ...*fleet.Daemon) {
	t.Helper()
	begin := time.Now()
	fleet.Eventually(t, what+": the daemons agree on who is live", func() bool { return agree(daemons...) })
	fleet.Eventually(t, what+": each shard has one owner", func() bool { return eachShardHasOneOwner(daemons...) })
	t.Logf("%s: agreed after %s", what, time.Since(begin).Round(time.Millisecond))
}

// closed returns how many sessions the daemons closed for a reason.
func closed(t *testing.T, reason string, daemons ...*fleet.Daemon) float64 {
	t.Helper()
	return sum(t, daemons, "peer_sessions_closed", "reason", reason)
}

// open returns how many sessions the daemons have dialled and not closed.
func open(t *testing.T, daemons ...*fleet.Daemon) float64 {
	t.Helper()
	return sum(t, daemons, "peer_sessions_opened") - sum(t, daemons, "peer_sessions_closed", "side", "dialled")
}

// sum adds a metric over the daemons.
func sum(t *testing.T, daemons []*fleet.Daemon, name string, labels ...string) float64 {
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

// The lengths of a short and a long call in tokens.
const (
	shortCall = 3
	longCall  = 500
)

func callOnce(d *fleet.Daemon) error { return call(d, shortCall) }

func callLong(d *fleet.Daemon) error { return call(d, longCall) }

// call makes one call at a daemon and fails unless its answer was whole.
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

func mustServe(t *testing.T, daemons ...*fleet.Daemon) {
	t.Helper()
	for _, d := range daemons {
		if err := callOnce(d); err != nil {
			t.Error(err)
		}
	}
}

// watch records whether a condition ever failed until stop is called.
func watch(holds func() bool) (stop func() (failures int)) {
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
