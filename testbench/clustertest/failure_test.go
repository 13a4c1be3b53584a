package clustertest

import (
	"slices"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
)

func TestKilledDaemonsRolesAreTakenOverAndGivenBack(t *testing.T) {
	f := startFleet(t, 3)
	before := owners(f.Daemons...)
	if err := f.Daemons[1].Kill(); err != nil {
		t.Fatal(err)
	}
	<-f.Daemons[1].Exited()
	eventuallyAgree(t, "killed", f.Daemons[0], f.Daemons[2])
	mustServe(t, f.Daemons[0], f.Daemons[2])
	if err := f.Daemons[1].Start(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "restarted", f.Daemons...)
	after := owners(f.Daemons...)
	for _, shard := range sortedShards(before) {
		if !slices.Equal(before[shard], after[shard]) {
			t.Errorf("shard %s belongs to %v, before the fault to %v", shard, after[shard], before[shard])
		}
	}
	mustServe(t, f.Daemons...)
}

func TestPausedDaemonIsReplacedAndRefutesWhenItResumes(t *testing.T) {
	f := startFleet(t, 3)
	if err := f.Daemons[0].Pause(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "paused", f.Daemons[1], f.Daemons[2])
	mustServe(t, f.Daemons[1], f.Daemons[2])
	if err := f.Daemons[0].Resume(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "resumed", f.Daemons...)
	mustServe(t, f.Daemons...)
}

func TestShortPauseIsForgiven(t *testing.T) {
	f := startFleet(t, 3)
	live := ids(f.Daemons...)
	stop := watch(func() bool { return believes(f.Daemons[1], live) && believes(f.Daemons[2], live) })
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
		t.Errorf("a daemon paused for less than the suspicion time was dropped in %d looks", failures)
	}
	eventuallyAgree(t, "after the pauses", f.Daemons...)
}

func TestDaemonCutOffBothWaysRejoins(t *testing.T) {
	f := startFleet(t, 3)
	f.IsolateDaemon(f.Daemons[2])
	eventuallyAgree(t, "the others", f.Daemons[0], f.Daemons[1])
	eventuallyAgree(t, "the daemon alone", f.Daemons[2])
	mustServe(t, f.Daemons[0], f.Daemons[1])
	f.ReconnectDaemon(f.Daemons[2])
	eventuallyAgree(t, "healed", f.Daemons...)
	mustServe(t, f.Daemons...)
}

// cutOneWay holds back what one daemon sends to the others, on the connections
// that it opens and on those that it accepts.
func cutOneWay(f *fleet.Fleet, d *fleet.Daemon) {
	for _, other := range f.Daemons {
		if other == d {
			continue
		}
		f.Network.Link(string(d.ID()), string(other.ID())).Block(faultproxy.Upstream)
		f.Network.Link(string(other.ID()), string(d.ID())).Block(faultproxy.Downstream)
	}
}

func TestDaemonThatOnlyHearsIsReplacedAndRejoins(t *testing.T) {
	f := startFleet(t, 3)
	cutOneWay(f, f.Daemons[1])
	eventuallyAgree(t, "the others", f.Daemons[0], f.Daemons[2])
	mustServe(t, f.Daemons[0], f.Daemons[2])
	f.ReconnectDaemon(f.Daemons[1])
	eventuallyAgree(t, "healed", f.Daemons...)
	mustServe(t, f.Daemons...)
}

func TestOneCutLinkDropsNobody(t *testing.T) {
	f := startFleet(t, 4)
	live := ids(f.Daemons...)
	between := faultproxy.Between(faultproxy.Named("daemon-1"), faultproxy.Named("daemon-2"))
	for _, link := range f.Network.Links(between) {
		link.BlockBoth()
	}
	stop := watch(func() bool { return believes(f.Daemons[0], live) && believes(f.Daemons[2], live) })
	time.Sleep(8 * time.Second)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon that others reach was dropped in %d looks", failures)
	}
	eventuallyAgree(t, "one link cut", f.Daemons...)
}

func TestRegionsThatLoseEachOtherRejoin(t *testing.T) {
	f := startFleet(t, 6)
	inside := []*fleet.Daemon{f.Daemons[0], f.Daemons[3]}
	outside := []*fleet.Daemon{f.Daemons[1], f.Daemons[2], f.Daemons[4], f.Daemons[5]}
	f.IsolateRegion("ub")
	eventuallyAgree(t, "the region that is cut off", inside...)
	eventuallyAgree(t, "the other regions", outside...)
	mustServe(t, f.Daemons...)
	f.ReconnectRegion("ub")
	eventuallyAgree(t, "rejoined", f.Daemons...)
	mustServe(t, f.Daemons...)
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
	eventuallyAgree(t, "cold start", f.Daemons...)
	mustServe(t, f.Daemons...)
}

func TestListThatIsStaleEmptyOrDownDropsNobody(t *testing.T) {
	f := startFleet(t, 3)
	live := ids(f.Daemons...)
	stop := watch(func() bool { return believes(f.Daemons[0], live) })
	reads := func(more int) func() bool {
		until := f.VMs.ReadCount() + more
		return func() bool { return f.VMs.ReadCount() >= until }
	}
	f.VMs.SetEmpty(true)
	fleet.Eventually(t, "the empty list was read", reads(12))
	f.VMs.SetEmpty(false)
	f.VMs.SetDown(true)
	fleet.Eventually(t, "the list was down for some reads", reads(12))
	mustServe(t, f.Daemons...)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon was dropped in %d looks", failures)
	}
	if err := f.Daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "killed while the list is down", f.Daemons[0], f.Daemons[1])
	f.VMs.SetDown(false)
	f.VMs.SetFrozen(true)
	if err := f.Daemons[2].Start(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "restarted while the list is stale", f.Daemons...)
}

func TestDaemonThatTheListDropsStaysWhileItAnswers(t *testing.T) {
	f := startFleet(t, 3)
	live := ids(f.Daemons...)
	f.VMs.Remove(f.Daemons[2].ID())
	stop := watch(func() bool { return believes(f.Daemons[0], live) && believes(f.Daemons[1], live) })
	time.Sleep(3 * time.Second)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon that answers was dropped in %d looks", failures)
	}
	if err := f.Daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	eventuallyAgree(t, "not listed and killed", f.Daemons[0], f.Daemons[1])
}

func TestSilentConnectionsBetweenDaemonsAreReplaced(t *testing.T) {
	f := startFleet(t, 3)
	live := ids(f.Daemons...)
	daemons := faultproxy.NamedWithPrefix("daemon-")
	links := f.Network.Links(func(from, to string) bool { return daemons(from) && daemons(to) })
	fleet.Eventually(t, "a session is open on each link", func() bool {
		return open(t, f.Daemons...) == float64(len(links))
	})
	stop := watch(func() bool { return believes(f.Daemons[0], live) })
	for _, link := range links {
		link.StallOpenConnections()
	}
	fleet.Eventually(t, "the silent sessions are closed", func() bool {
		return closed(t, "silent", f.Daemons...) >= float64(len(links))
	})
	eventuallyAgree(t, "after the silence", f.Daemons...)
	mustServe(t, f.Daemons...)
	if failures := stop(); failures > 0 {
		t.Errorf("a daemon with silent connections was dropped in %d looks", failures)
	}
}

func TestLeavingDaemonHandsItsRolesOver(t *testing.T) {
	f := startFleet(t, 3)
	long := make(chan error, 1)
	go func() { long <- callLong(f.Daemons[0]) }()
	fleet.Eventually(t, "the long call runs", func() bool { return running(f.Daemons[0]) == 1 })
	if err := f.Daemons[0].Terminate(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the others own all shards while the call runs", func() bool {
		return eachShardHasOneOwner(f.Daemons[1], f.Daemons[2]) && f.Daemons[0].Running()
	})
	if err := <-long; err != nil {
		t.Error(err)
	}
	fleet.Eventually(t, "the daemon exits", func() bool { return !f.Daemons[0].Running() })
	eventuallyAgree(t, "stopped", f.Daemons[1], f.Daemons[2])
}

// running returns how many calls of a daemon hold a slot.
func running(d *fleet.Daemon) int {
	s, _ := status(d)
	count := 0
	for _, of := range s.Services {
		count += of.Running
	}
	return count
}
