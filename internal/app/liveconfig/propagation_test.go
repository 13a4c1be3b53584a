package liveconfig

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/goleak"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestAcceptedRevisionReachesEveryDaemon(t *testing.T) {
	f := newFleet(t, 3, 12)
	f.run()
	f.mustApply(f.managers[7], 0)
	f.awaitRevision(1)
	f.mustApply(f.managers[30], 1)
	f.awaitRevision(2)
}

func TestLaterRevisionsArePropagatedAsPatches(t *testing.T) {
	f := newFleet(t, 1, 12)
	f.run()
	f.mustApply(f.managers[0], 0)
	f.awaitRevision(1)
	for base := configuration.RevisionNumber(1); base < 10; base++ {
		f.mustApply(f.managers[0], base)
		f.awaitRevision(base + 1)
	}
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	if f.network.fullPushes != 0 || f.network.patchPushes == 0 {
		t.Errorf("%d whole documents and %d patches were sent, want patches only", f.network.fullPushes, f.network.patchPushes)
	}
}

func TestDomainWithoutPlatformGetsRevisionFromPeers(t *testing.T) {
	f := newFleet(t, 2, 8)
	for _, client := range f.clients[:8] {
		client.setDisconnected(true)
	}
	f.run()
	f.mustApply(f.managers[8], 0)
	f.awaitRevision(1)
}

func TestReconnectedDaemonCatchesUp(t *testing.T) {
	f := newFleet(t, 1, 6)
	f.run()
	f.mustApply(f.managers[0], 0)
	f.awaitRevision(1)
	disconnected := 5
	f.setDisconnected("vm-0-5", true)
	f.clients[disconnected].setDisconnected(true)
	// Accept more revisions than the peers keep as bases of patches.
	for base := configuration.RevisionNumber(1); base < maxRecentRevisions+4; base++ {
		f.mustApply(f.managers[0], base)
	}
	f.awaitRevision(maxRecentRevisions+4, f.managers[:disconnected]...)
	if got := f.managers[disconnected].currentNumber(); got != 1 {
		t.Fatalf("the disconnected daemon has revision %d in force, want 1", got)
	}
	f.setDisconnected("vm-0-5", false)
	f.awaitRevision(maxRecentRevisions + 4)
}

func TestColdStartFromPlatformOnly(t *testing.T) {
	f := newFleet(t, 1, 1)
	seed := newFleet(t, 1, 1)
	seed.mustApply(seed.managers[0], 0)
	f.platform.object = seed.platform.object
	f.run()
	f.awaitRevision(1)
}

func TestColdStartFromPeerOnly(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.mustApply(f.managers[0], 0)
	f.platform.setDown(true)
	f.run()
	f.awaitRevision(1)
}

func TestColdStartWithoutPlatformAndPeerIsNotReady(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.platform.setDown(true)
	f.run()
	check := f.managers[0].Readiness()
	awaitCondition(t, func() bool { return strings.Contains(check.Reason(), "platform unavailable") })
	f.platform.setDown(false)
	f.mustApply(f.managers[1], 0)
	awaitCondition(t, func() bool { return check.Reason() == "" })
}

func TestStaleDaemonCatchesUpFromPeers(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.mustApply(f.managers[0], 0)
	stale := f.managers[0].Current()
	f.mustApply(f.managers[0], 1)
	f.managers[2].adopt(stale, sourcePeer)
	f.platform.setDown(true)
	f.run()
	f.awaitRevision(2)
}

func TestRevisionStaysInForceWithoutPlatform(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.run()
	f.mustApply(f.managers[0], 0)
	f.awaitRevision(1)
	f.platform.setDown(true)
	awaitCondition(t, func() bool {
		f.managers[0].mu.Lock()
		defer f.managers[0].mu.Unlock()
		return f.managers[0].platformError != "" || !managerIsWatcher(f.managers[0])
	})
	for _, m := range f.managers {
		if m.currentNumber() != 1 || m.notReadyReason() != "" {
			t.Errorf("got revision %d in force and not-ready reason %q", m.currentNumber(), m.notReadyReason())
		}
	}
}

func managerIsWatcher(m *Manager) bool {
	self := m.directory.Self()
	return isWatcher(rankDaemons(m.directory.Daemons(), self.Domain), self.Name)
}

func TestInvalidPatchIsReplacedByWholeDocument(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.mustApply(f.managers[0], 0)
	f.awaitRevision(1)
	f.setDisconnected("vm-0-1", true)
	f.mustApply(f.managers[0], 1)
	f.setDisconnected("vm-0-1", false)
	push := newPush(f.managers[0].recentRevision(1), f.managers[0].Current())
	push.Patch = []byte(`{"classes":{"other":{"firstTokenWithin":"1s","answerWithin":"2s"}}}`)
	f.managers[1].handlePush("vm-0-0", push)
	f.awaitRevision(2)
	if f.managers[1].Current().Digest != f.managers[0].Current().Digest {
		t.Error("the daemons have different documents in force")
	}
}

// Revisions may arrive in any order and repeatedly. Only higher ones are
// adopted, callbacks get ascending numbers, and the highest revision is in
// force in the end.
func TestOnlyHigherRevisionsAreAdopted(t *testing.T) {
	const revisions = 8
	source := newFleet(t, 1, 1)
	var pushes []*ports.ConfigurationPush
	var accepted []*ports.Configuration
	for base := configuration.RevisionNumber(0); base < revisions; base++ {
		source.mustApply(source.managers[0], base)
		accepted = append(accepted, source.managers[0].Current())
		pushes = append(pushes, newPush(nil, source.managers[0].Current()))
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 50
	properties := gopter.NewProperties(parameters)
	properties.Property("the revision in force never decreases", prop.ForAll(
		func(order []int) bool {
			m := newFleet(t, 1, 1).managers[0]
			var notified []configuration.RevisionNumber
			m.OnChange(func(c *ports.Configuration) { notified = append(notified, c.Number) })
			highest := configuration.RevisionNumber(0)
			for position, i := range order {
				if position%2 == 0 {
					m.adopt(accepted[i], sourcePlatform)
				} else {
					m.handlePush("vm-0-0", pushes[i])
				}
				highest = max(highest, pushes[i].Number)
				if m.currentNumber() != highest {
					return false
				}
			}
			return isStrictlyIncreasing(notified)
		},
		gen.SliceOf(gen.IntRange(0, revisions-1)),
	))
	properties.TestingRun(t)
}

func isStrictlyIncreasing(numbers []configuration.RevisionNumber) bool {
	for i := 1; i < len(numbers); i++ {
		if numbers[i] <= numbers[i-1] {
			return false
		}
	}
	return true
}

func TestForwardingTreeReachesEveryDaemon(t *testing.T) {
	for size := 1; size <= 60; size++ {
		daemons := newFleet(t, 1, size).network.nodes["vm-0-0"].daemons
		ranked := rankDaemons(daemons, "domain-0")
		reached := map[ports.DaemonID]bool{ranked[0]: true}
		frontier := []ports.DaemonID{ranked[0]}
		for len(frontier) > 0 {
			next := frontier[0]
			frontier = frontier[1:]
			for _, child := range children(ranked, next) {
				if !reached[child] {
					reached[child] = true
					frontier = append(frontier, child)
				}
			}
		}
		if len(reached) != size {
			t.Errorf("%d of %d daemons reached", len(reached), size)
		}
	}
}
