package operationstest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
)

func TestAnAcceptedRevisionIsInForceOnEveryDaemon(t *testing.T) {
	f := fleet.StartTest(t, options(9))
	apply(t, f, f.Daemons[8:], "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
	apply(t, f, f.Daemons[:1], "2", 51*time.Second)
	awaitRevision(t, f.Daemons, 3)
}

func TestACutOffDaemonKeepsItsRevisionAndMovesUpLater(t *testing.T) {
	o := options(6)
	o.Links = fleet.LinkOptions{Proxied: true, PlatformProxied: true}
	f := fleet.StartTest(t, o)
	cut, rest := f.Daemons[0], f.Daemons[1:]
	f.IsolateDaemon(cut)
	apply(t, f, rest, "1", 50*time.Second)
	apply(t, f, rest, "2", 51*time.Second)
	awaitRevision(t, rest, 3)
	if got := revision(cut); got != 1 {
		t.Errorf("the cut-off daemon is at revision %d", got)
	}
	f.ReconnectDaemon(cut)
	awaitRevision(t, f.Daemons, 3)
}

// All daemons of one failure domain lose the platform, but not their peers.
func TestADomainWithoutPlatformLearnsFromTheOthers(t *testing.T) {
	o := options(6)
	o.Links = fleet.LinkOptions{PlatformProxied: true}
	f := fleet.StartTest(t, o)
	var rest []*fleet.Daemon
	for _, daemon := range f.Daemons {
		if daemon.VM.Domain != "domain-1" {
			rest = append(rest, daemon)
			continue
		}
		f.Network.Link(string(daemon.ID()), fleet.EndpointObjectAPI).BlockBoth()
	}
	apply(t, f, rest, "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
}

// The connections on which the watchers wait go silent for good. A revision that
// is written past the daemons, so that none of them can tell the others, comes in
// force all the same.
func TestASilentWatchIsReplaced(t *testing.T) {
	o := options(2)
	o.Domains = []fleet.Domain{{Name: "domain-1", Region: "region-1"}}
	o.Links = fleet.LinkOptions{PlatformProxied: true}
	f := fleet.StartTest(t, o)
	// The first watch of each daemon is answered at once.
	fleet.Eventually(t, "both daemons wait", func() bool { return f.Objects.Counts().Watches >= 4 })
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

func TestWithoutThePlatformWhatIsInForceGoesOn(t *testing.T) {
	f := fleet.StartTest(t, options(3))
	f.Objects.SetDown(true)
	code, _, stderr := ctl(t, f.Daemons, "apply", "-base", "1", changedFile(t, f, 50*time.Second))
	if code != 1 || !strings.Contains(stderr, "platform-unavailable") {
		t.Errorf("exit code %d: %s", code, stderr)
	}
	for _, daemon := range f.Daemons {
		if _, status, err := daemon.Get(t.Context(), "/readyz"); err != nil || status != http.StatusOK {
			t.Errorf("%s: %d, %v", daemon.ID(), status, err)
		}
		if got := revision(daemon); got != 1 {
			t.Errorf("%s is at revision %d", daemon.ID(), got)
		}
	}
	f.Objects.SetDown(false)
	apply(t, f, f.Daemons, "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)
}

func TestAColdDaemonWithoutThePlatformAsksAPeer(t *testing.T) {
	f := fleet.PrepareTest(t, options(3))
	t.Cleanup(func() { kill(f.Daemons) })
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

func TestAColdDaemonWithNeitherIsNotReadyAndSaysWhy(t *testing.T) {
	f := fleet.PrepareTest(t, options(1))
	t.Cleanup(func() { kill(f.Daemons) })
	f.Objects.SetDown(true)
	daemon := f.Daemons[0]
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	fleet.Eventually(t, "the daemon says why it is not ready", func() bool {
		body, status, err := daemon.Get(t.Context(), "/readyz")
		return err == nil && status == http.StatusServiceUnavailable && strings.Contains(string(body), "platform unavailable")
	})
	f.Objects.SetDown(false)
	if err := daemon.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func kill(daemons []*fleet.Daemon) {
	for _, daemon := range daemons {
		if daemon.Running() {
			_ = daemon.Kill()
			<-daemon.Exited()
		}
	}
}
