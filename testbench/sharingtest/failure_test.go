package sharingtest

import (
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

// maxServiceRatio is the greatest ratio of the costs served for two workspaces
// that both have waiting calls all the time, measured over a few hundred calls.
const maxServiceRatio = 1.5

func TestSuccessorGrantsSlotsOfKilledShardOwner(t *testing.T) {
	f := startFleet(t, 6)
	killed := shardOwner(t, f)
	remaining := others(f, killed)
	alpha := startLoad(t, "alpha", 30, remaining...)
	beta := startLoad(t, "beta", 30, remaining...)
	awaitServed(t, f, "alpha", time.Now(), 50)
	if err := killed.Kill(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := ownedSlots(remaining...)
		return servers == engines
	})
	from := time.Now()
	fleet.Eventually(t, "all engines run calls again", func() bool {
		_, servers := servedCost(f, "alpha", from)
		_, betaServers := servedCost(f, "beta", from)
		for name := range betaServers {
			servers[name] = true
		}
		return len(servers) == engines
	})
	awaitServed(t, f, "alpha", from, 50)
	awaitServed(t, f, "beta", from, 50)
	alpha.finish()
	beta.finish()
	awaitSlotsReleased(t, remaining...)
}

func TestSlotsAreConsistentAfterShardOwnerIsPausedAndResumed(t *testing.T) {
	f := startFleet(t, 6)
	paused := shardOwner(t, f)
	remaining := others(f, paused)
	alpha := startLoad(t, "alpha", 30, remaining...)
	beta := startLoad(t, "beta", 30, remaining...)
	awaitServed(t, f, "alpha", time.Now(), 50)
	if err := paused.Pause(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := ownedSlots(remaining...)
		return servers == engines
	})
	if err := paused.Resume(); err != nil {
		t.Fatal(err)
	}
	from := time.Now()
	awaitServed(t, f, "alpha", from, 100)
	awaitServed(t, f, "beta", from, 100)
	alpha.finish()
	beta.finish()
	awaitSlotsReleased(t, f.Daemons...)
}

func TestSlotsAreConsistentAfterShardOwnerIsPartitioned(t *testing.T) {
	f := startFleet(t, 6)
	isolated := shardOwner(t, f)
	remaining := others(f, isolated)
	alpha := startLoad(t, "alpha", 30, remaining...)
	beta := startLoad(t, "beta", 30, remaining...)
	awaitServed(t, f, "alpha", time.Now(), 50)
	f.IsolateDaemon(isolated)
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := ownedSlots(remaining...)
		return servers == engines
	})
	from := time.Now()
	awaitServed(t, f, "alpha", from, 50)
	awaitServed(t, f, "beta", from, 50)
	f.ReconnectDaemon(isolated)
	from = time.Now()
	awaitServed(t, f, "alpha", from, 100)
	awaitServed(t, f, "beta", from, 100)
	alpha.finish()
	beta.finish()
	awaitSlotsReleased(t, f.Daemons...)
}

func TestFloodDoesNotReduceShareOfAnotherWorkspace(t *testing.T) {
	f := startFleet(t, 3)
	alphaLoad := startLoad(t, "alpha", 200, f.Daemons[0])
	betaLoad := startLoad(t, "beta", 40, f.Daemons...)
	from := time.Now()
	awaitServed(t, f, "beta", from, 400)
	alpha, _ := servedCost(f, "alpha", from)
	beta, _ := servedCost(f, "beta", from)
	if alpha > maxServiceRatio*beta {
		t.Errorf("cost served for the flooding workspace: %v, for the other: %v", alpha, beta)
	}
	betaLoad.finish()
	alphaLoad.finish()
	awaitSlotsReleased(t, f.Daemons...)
}

func TestWorkspaceCallingASingleDaemonGetsItsShare(t *testing.T) {
	f := startFleet(t, 3)
	alphaLoad := startLoad(t, "alpha", 40, f.Daemons[0])
	betaLoad := startLoad(t, "beta", 120, f.Daemons...)
	from := time.Now()
	awaitServed(t, f, "alpha", from, 400)
	alpha, servers := servedCost(f, "alpha", from)
	beta, _ := servedCost(f, "beta", from)
	if beta > maxServiceRatio*alpha {
		t.Errorf("cost served for the workspace that calls one daemon: %v, for the one that calls all: %v", alpha, beta)
	}
	if len(servers) != engines {
		t.Errorf("the workspace that calls one daemon was served by %d engines, want all %d", len(servers), engines)
	}
	alphaLoad.finish()
	betaLoad.finish()
	awaitSlotsReleased(t, f.Daemons...)
}

func TestEmptyVMListDoesNotAffectCalls(t *testing.T) {
	f := startFleet(t, 3)
	f.VMs.SetEmpty(true)
	alpha := startLoad(t, "alpha", 30, f.Daemons...)
	reads := f.VMs.ReadCount()
	fleet.Eventually(t, "every daemon has read the empty list", func() bool {
		return f.VMs.ReadCount() >= reads+3*len(f.Daemons)
	})
	from := time.Now()
	awaitServed(t, f, "alpha", from, 100)
	alpha.finish()
	for _, outcome := range alpha.caller.Outcomes() {
		if !outcome.Complete {
			t.Errorf("a call ended with status %d, reason %s, error %v", outcome.Status, outcome.Reason, outcome.Err)
		}
	}
	awaitSlotsReleased(t, f.Daemons...)
}
