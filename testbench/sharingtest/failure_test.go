package sharingtest

import (
	"testing"
	"time"

	"hawthornstream/testbench/fleet"
)

// mostOverService bounds the service of a workspace by that of another one,
// which waits all the time as well, over a few hundred calls.
const mostOverService = 1.5

func TestSlotsOfAKilledOwnerAreGrantedByItsSuccessor(t *testing.T) {
	f := startFleet(t, 6)
	killed := owner(t, f)
	rest := others(f, killed)
	alpha := startLoad(t, "alpha", 30, rest...)
	beta := startLoad(t, "beta", 30, rest...)
	eventuallyServed(t, f, "alpha", time.Now(), 50)
	if err := killed.Kill(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := slots(rest...)
		return servers == engines
	})
	from := time.Now()
	fleet.Eventually(t, "all engines run calls again", func() bool {
		_, servers := served(f, "alpha", from)
		_, more := served(f, "beta", from)
		for name := range more {
			servers[name] = true
		}
		return len(servers) == engines
	})
	eventuallyServed(t, f, "alpha", from, 50)
	eventuallyServed(t, f, "beta", from, 50)
	alpha.finish()
	beta.finish()
	eventuallyRight(t, rest...)
}

func TestSlotsAreRightAfterAnOwnerWasPausedAndResumed(t *testing.T) {
	f := startFleet(t, 6)
	paused := owner(t, f)
	rest := others(f, paused)
	alpha := startLoad(t, "alpha", 30, rest...)
	beta := startLoad(t, "beta", 30, rest...)
	eventuallyServed(t, f, "alpha", time.Now(), 50)
	if err := paused.Pause(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := slots(rest...)
		return servers == engines
	})
	if err := paused.Resume(); err != nil {
		t.Fatal(err)
	}
	from := time.Now()
	eventuallyServed(t, f, "alpha", from, 100)
	eventuallyServed(t, f, "beta", from, 100)
	alpha.finish()
	beta.finish()
	eventuallyRight(t, f.Daemons...)
}

func TestSlotsAreRightAfterAnOwnerWasCutOff(t *testing.T) {
	f := startFleet(t, 6)
	cut := owner(t, f)
	rest := others(f, cut)
	alpha := startLoad(t, "alpha", 30, rest...)
	beta := startLoad(t, "beta", 30, rest...)
	eventuallyServed(t, f, "alpha", time.Now(), 50)
	f.IsolateDaemon(cut)
	fleet.Eventually(t, "a successor owns the servers", func() bool {
		servers, _ := slots(rest...)
		return servers == engines
	})
	from := time.Now()
	eventuallyServed(t, f, "alpha", from, 50)
	eventuallyServed(t, f, "beta", from, 50)
	f.ReconnectDaemon(cut)
	from = time.Now()
	eventuallyServed(t, f, "alpha", from, 100)
	eventuallyServed(t, f, "beta", from, 100)
	alpha.finish()
	beta.finish()
	eventuallyRight(t, f.Daemons...)
}

func TestFloodDoesNotTakeAnotherWorkspacesShare(t *testing.T) {
	f := startFleet(t, 3)
	flood := startLoad(t, "alpha", 200, f.Daemons[0])
	calm := startLoad(t, "beta", 40, f.Daemons...)
	from := time.Now()
	eventuallyServed(t, f, "beta", from, 400)
	alpha, _ := served(f, "alpha", from)
	beta, _ := served(f, "beta", from)
	if alpha > mostOverService*beta {
		t.Errorf("the flooding workspace was served %v, the other %v", alpha, beta)
	}
	calm.finish()
	flood.finish()
	eventuallyRight(t, f.Daemons...)
}

func TestWorkspaceWhoseCallsAllComeToOneDaemonGetsItsShare(t *testing.T) {
	f := startFleet(t, 3)
	single := startLoad(t, "alpha", 40, f.Daemons[0])
	spread := startLoad(t, "beta", 120, f.Daemons...)
	from := time.Now()
	eventuallyServed(t, f, "alpha", from, 400)
	alpha, servers := served(f, "alpha", from)
	beta, _ := served(f, "beta", from)
	if beta > mostOverService*alpha {
		t.Errorf("the workspace at one daemon was served %v, the one at all %v", alpha, beta)
	}
	if len(servers) != engines {
		t.Errorf("the workspace at one daemon ran on %d engines, want all %d", len(servers), engines)
	}
	single.finish()
	spread.finish()
	eventuallyRight(t, f.Daemons...)
}

func TestEmptyVMListChangesNothing(t *testing.T) {
	f := startFleet(t, 3)
	f.VMs.SetEmpty(true)
	alpha := startLoad(t, "alpha", 30, f.Daemons...)
	reads := f.VMs.ReadCount()
	fleet.Eventually(t, "every daemon reads the empty list", func() bool {
		return f.VMs.ReadCount() >= reads+3*len(f.Daemons)
	})
	from := time.Now()
	eventuallyServed(t, f, "alpha", from, 100)
	alpha.finish()
	for _, outcome := range alpha.caller.Outcomes() {
		if !outcome.Complete {
			t.Errorf("a call ended with %d %s %v", outcome.Status, outcome.Reason, outcome.Err)
		}
	}
	eventuallyRight(t, f.Daemons...)
}
