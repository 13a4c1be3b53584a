package operationstest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
)

func TestAcceptedRevisionComesIntoForceOnEveryDaemon(t *testing.T) {
	f := fleet.StartTest(t, options(9))
	apply(t, f, f.Daemons[8:], "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
	apply(t, f, f.Daemons[:1], "2", 51*time.Second)
	awaitRevision(t, f.Daemons, 3)
}

func TestPartitionedDaemonKeepsItsRevisionAndCatchesUp(t *testing.T) {
	opts := options(6)
	opts.Links = fleet.LinkOptions{Proxied: true, PlatformProxied: true}
	f := fleet.StartTest(t, opts)
	isolated, remaining := f.Daemons[0], f.Daemons[1:]
	f.IsolateDaemon(isolated)
	apply(t, f, remaining, "1", 50*time.Second)
	apply(t, f, remaining, "2", 51*time.Second)
	awaitRevision(t, remaining, 3)
	if got := revisionInForce(isolated); got != 1 {
		t.Errorf("the cut-off daemon is at revision %d", got)
	}
	f.ReconnectDaemon(isolated)
	awaitRevision(t, f.Daemons, 3)
}

// All daemons of one failure domain lose their connections to the platform, but not
// those to their peers.
func TestDomainWithoutPlatformGetsRevisionFromPeers(t *testing.T) {
	opts := options(6)
	opts.Links = fleet.LinkOptions{PlatformProxied: true}
	f := fleet.StartTest(t, opts)
	var remaining []*fleet.Daemon
	for _, daemon := range f.Daemons {
		if daemon.VM.Domain != "domain-1" {
			remaining = append(remaining, daemon)
			continue
		}
		f.Network.Link(string(daemon.ID()), fleet.EndpointObjectAPI).BlockBoth()
	}
	apply(t, f, remaining, "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
}

// The watch connections stall for good. A revision that is written directly to the
// platform, so that no daemon can report it to its peers, still comes into force.
func TestStalledWatchIsReplaced(t *testing.T) {
	opts := options(2)
	opts.Domains = []fleet.Domain{{Name: "domain-1", Region: "region-1"}}
	opts.Links = fleet.LinkOptions{PlatformProxied: true}
	f := fleet.StartTest(t, opts)
	// The first watch of each daemon is answered at once, so the second one waits.
	fleet.Eventually(t, "both daemons have a waiting watch", func() bool { return f.Objects.Counts().Watches >= 4 })
	for _, daemon := range f.Daemons {
		f.Network.Link(string(daemon.ID()), fleet.EndpointObjectAPI).StallOpenConnections()
	}
	value, _ := f.Objects.Get(configuration.ObjectName)
	chain, err := configuration.ParseChain(value)
	if err != nil {
		t.Fatal(err)
	}
	next, err := chain.Append(configuration.Edit{Base: 1, ApplyID: "other", Document: f.Document()}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if value, err = next.Encode(); err != nil {
		t.Fatal(err)
	}
	f.Objects.Put(configuration.ObjectName, value)
	written := time.Now()
	awaitRevision(t, f.Daemons, 2)
	t.Logf("in force after %s", time.Since(written))
}

func TestRevisionStaysInForceWhilePlatformIsDown(t *testing.T) {
	f := fleet.StartTest(t, options(3))
	f.Objects.SetDown(true)
	code, _, stderr := runCtl(t, f.Daemons, "apply", "-base", "1", writeChangedDocument(t, f, 50*time.Second))
	if code != 1 || !strings.Contains(stderr, "platform-unavailable") {
		t.Errorf("exit code %d: %s", code, stderr)
	}
	for _, daemon := range f.Daemons {
		if _, status, err := daemon.Get(t.Context(), "/readyz"); err != nil || status != http.StatusOK {
			t.Errorf("%s: %d, %v", daemon.ID(), status, err)
		}
		if got := revisionInForce(daemon); got != 1 {
			t.Errorf("%s is at revision %d", daemon.ID(), got)
		}
	}
	f.Objects.SetDown(false)
	apply(t, f, f.Daemons, "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
}

func TestDaemonStartingWithoutPlatformGetsRevisionFromPeer(t *testing.T) {
	f := fleet.PrepareTest(t, options(3))
	t.Cleanup(func() { killAll(f.Daemons) })
	for _, daemon := range f.Daemons[:2] {
		if err := daemon.Start(); err != nil {
			t.Fatal(err)
		}
		if err := daemon.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	f.Objects.SetDown(true)
	if err := f.Daemons[2].Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.Daemons[2].WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestDaemonStartingWithoutPlatformAndPeersReportsWhyItIsNotReady(t *testing.T) {
	f := fleet.PrepareTest(t, options(1))
	t.Cleanup(func() { killAll(f.Daemons) })
	f.Objects.SetDown(true)
	daemon := f.Daemons[0]
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the daemon reports why it is not ready", func() bool {
		body, status, err := daemon.Get(t.Context(), "/readyz")
		return err == nil && status == http.StatusServiceUnavailable && strings.Contains(string(body), "platform unavailable")
	})
	f.Objects.SetDown(false)
	if err := daemon.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// killAll kills the running daemons among the given ones and waits for their exit.
func killAll(daemons []*fleet.Daemon) {
	for _, daemon := range daemons {
		if daemon.Running() {
			_ = daemon.Kill()
			<-daemon.Exited()
		}
	}
}
