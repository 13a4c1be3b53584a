package clustertest

import (
	"slices"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
)

func TestRolesOfKilledDaemonAreTakenOverAndReturned(t *testing.T) {
	f := startFleet(t, 3)
	before := shardOwners(f.Daemons...)
	if err := f.Daemons[1].Kill(); err != nil {
		t.Fatal(err)
	}
	<-f.Daemons[1].Exited()
	awaitAgreement(t, "killed", f.Daemons[0], f.Daemons[2])
	checkServed(t, f.Daemons[0], f.Daemons[2])
	if err := f.Daemons[1].Start(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "restarted", f.Daemons...)
	after := shardOwners(f.Daemons...)
	for _, shard := range sortedShards(before) {
		if !slices.Equal(before[shard], after[shard]) {
			t.Errorf("shard %s is owned by %v, before the fault by %v", shard, after[shard], before[shard])
		}
	}
	checkServed(t, f.Daemons...)
}

func TestPausedDaemonIsReplacedAndRejoinsWhenResumed(t *testing.T) {
	f := startFleet(t, 3)
	if err := f.Daemons[0].Pause(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "paused", f.Daemons[1], f.Daemons[2])
	checkServed(t, f.Daemons[1], f.Daemons[2])
	if err := f.Daemons[0].Resume(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "resumed", f.Daemons...)
	checkServed(t, f.Daemons...)
}

func TestShortPauseDoesNotRemoveDaemon(t *testing.T) {
	f := startFleet(t, 3)
	members := ids(f.Daemons...)
	stop := countFailures(func() bool { return considersAlive(f.Daemons[1], members) && considersAlive(f.Daemons[2], members) })
	for range 2 {
		if err := f.Daemons[0].Pause(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := f.Daemons[0].Resume(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon paused for less than the suspicion time was removed from the members in %d checks", failures)
	}
	awaitAgreement(t, "after the pauses", f.Daemons...)
}

func TestDaemonPartitionedInBothDirectionsRejoins(t *testing.T) {
	f := startFleet(t, 3)
	f.IsolateDaemon(f.Daemons[2])
	awaitAgreement(t, "the others", f.Daemons[0], f.Daemons[1])
	awaitAgreement(t, "the isolated daemon", f.Daemons[2])
	checkServed(t, f.Daemons[0], f.Daemons[1])
	f.ReconnectDaemon(f.Daemons[2])
	awaitAgreement(t, "healed", f.Daemons...)
	checkServed(t, f.Daemons...)
}

// blockOutgoing blocks what a daemon sends to its peers, on the connections
// that it opens and on those that it accepts.
func blockOutgoing(f *fleet.Fleet, d *fleet.Daemon) {
	for _, other := range f.Daemons {
		if other == d {
			continue
		}
		f.Network.Link(string(d.ID()), string(other.ID())).Block(faultproxy.Upstream)
		f.Network.Link(string(other.ID()), string(d.ID())).Block(faultproxy.Downstream)
	}
}

func TestDaemonThatCannotSendIsReplacedAndRejoins(t *testing.T) {
	f := startFleet(t, 3)
	blockOutgoing(f, f.Daemons[1])
	awaitAgreement(t, "the others", f.Daemons[0], f.Daemons[2])
	checkServed(t, f.Daemons[0], f.Daemons[2])
	f.ReconnectDaemon(f.Daemons[1])
	awaitAgreement(t, "healed", f.Daemons...)
	checkServed(t, f.Daemons...)
}

func TestOneCutLinkRemovesNoDaemon(t *testing.T) {
	f := startFleet(t, 4)
	members := ids(f.Daemons...)
	between := faultproxy.Between(faultproxy.Named("daemon-1"), faultproxy.Named("daemon-2"))
	for _, link := range f.Network.Links(between) {
		link.BlockBoth()
	}
	stop := countFailures(func() bool { return considersAlive(f.Daemons[0], members) && considersAlive(f.Daemons[2], members) })
	time.Sleep(8 * time.Second)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon that others reach was removed from the members in %d checks", failures)
	}
	awaitAgreement(t, "one link cut", f.Daemons...)
}

func TestPartitionedRegionsRejoin(t *testing.T) {
	f := startFleet(t, 6)
	regionUB := []*fleet.Daemon{f.Daemons[0], f.Daemons[3]}
	otherRegions := []*fleet.Daemon{f.Daemons[1], f.Daemons[2], f.Daemons[4], f.Daemons[5]}
	f.IsolateRegion("ub")
	awaitAgreement(t, "the region that is cut off", regionUB...)
	awaitAgreement(t, "the other regions", otherRegions...)
	checkServed(t, f.Daemons...)
	f.ReconnectRegion("ub")
	awaitAgreement(t, "rejoined", f.Daemons...)
	checkServed(t, f.Daemons...)
}

func TestColdStartOfAllDaemons(t *testing.T) {
	f := startFleet(t, 5)
	for _, d := range f.Daemons {
		if err := d.Kill(); err != nil {
			t.Fatal(err)
		}
		<-d.Exited()
	}
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
	}
	awaitAgreement(t, "cold start", f.Daemons...)
	checkServed(t, f.Daemons...)
}

func TestStaleEmptyOrUnavailableVMListRemovesNoDaemon(t *testing.T) {
	f := startFleet(t, 3)
	members := ids(f.Daemons...)
	stop := countFailures(func() bool { return considersAlive(f.Daemons[0], members) })
	readsReached := func(count int) func() bool {
		until := f.VMs.ReadCount() + count
		return func() bool { return f.VMs.ReadCount() >= until }
	}
	f.VMs.SetEmpty(true)
	fleet.Eventually(t, "the empty list was read", readsReached(12))
	f.VMs.SetEmpty(false)
	f.VMs.SetDown(true)
	fleet.Eventually(t, "the list was unavailable for some reads", readsReached(12))
	checkServed(t, f.Daemons...)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon was removed from the members in %d checks", failures)
	}
	if err := f.Daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "killed while the list is unavailable", f.Daemons[0], f.Daemons[1])
	f.VMs.SetDown(false)
	f.VMs.SetFrozen(true)
	if err := f.Daemons[2].Start(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "restarted while the list is stale", f.Daemons...)
}

func TestUnlistedDaemonRemainsMemberWhileItAnswers(t *testing.T) {
	f := startFleet(t, 3)
	members := ids(f.Daemons...)
	f.VMs.Remove(f.Daemons[2].ID())
	stop := countFailures(func() bool { return considersAlive(f.Daemons[0], members) && considersAlive(f.Daemons[1], members) })
	time.Sleep(3 * time.Second)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon that answers was removed from the members in %d checks", failures)
	}
	if err := f.Daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, "not listed and killed", f.Daemons[0], f.Daemons[1])
}

func TestStalledConnectionsBetweenDaemonsAreReplaced(t *testing.T) {
	f := startFleet(t, 3)
	members := ids(f.Daemons...)
	daemons := faultproxy.NamedWithPrefix("daemon-")
	links := f.Network.Links(func(from, to string) bool { return daemons(from) && daemons(to) })
	fleet.Eventually(t, "a session is open on each link", func() bool {
		return openSessions(t, f.Daemons...) == float64(len(links))
	})
	stop := countFailures(func() bool { return considersAlive(f.Daemons[0], members) })
	for _, link := range links {
		link.StallOpenConnections()
	}
	fleet.Eventually(t, "the silent sessions are closed", func() bool {
		return closedSessions(t, "silent", f.Daemons...) >= float64(len(links))
	})
	awaitAgreement(t, "after the stall", f.Daemons...)
	checkServed(t, f.Daemons...)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon with stalled connections was removed from the members in %d checks", failures)
	}
}

func TestStoppingDaemonHandsOverItsShards(t *testing.T) {
	f := startFleet(t, 3)
	result := make(chan error, 1)
	go func() { result <- callLong(f.Daemons[0]) }()
	fleet.Eventually(t, "the long call is running", func() bool { return runningCalls(f.Daemons[0]) == 1 })
	if err := f.Daemons[0].Terminate(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the others own all shards while the call runs", func() bool {
		return eachShardHasOneOwner(f.Daemons[1], f.Daemons[2]) && f.Daemons[0].Running()
	})
	if err := <-result; err != nil {
		t.Error(err)
	}
	fleet.Eventually(t, "the daemon exits", func() bool { return !f.Daemons[0].Running() })
	awaitAgreement(t, "stopped", f.Daemons[1], f.Daemons[2])
}

// runningCalls returns the number of calls of a daemon that hold a slot.
func runningCalls(d *fleet.Daemon) int {
	s, _ := status(d)
	count := 0
	for _, serviceStatus := range s.Services {
		count += serviceStatus.Running
	}
	return count
}
