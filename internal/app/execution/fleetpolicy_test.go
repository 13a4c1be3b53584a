package execution

import (
	"testing"
	"time"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// fakeDirectory is a ports.Directory with a given number of daemons.
type fakeDirectory struct {
	ports.Directory
	daemons int
}

func (d *fakeDirectory) Daemons() []ports.VM { return make([]ports.VM, d.daemons) }

// longAgo returns the start of a daemon that knows its fleet.
func longAgo() time.Time { return time.Now().Add(-time.Hour) }

// When backend servers fail for all daemons at once, the retries of all daemons
// together stay within the ratio and the minimum that are set for the fleet.
func TestDaemonsStayWithinRetriesOfFleet(t *testing.T) {
	limits := settings.Retries{Ratio: 0.2, MinFleetRetries: 158}
	for _, daemons := range []int{1, 9, 59, 84} {
		policy := newFleetRetryPolicy(longAgo(), limits, &fakeDirectory{daemons: daemons}).daemonPolicy
		now := time.Unix(1000, 0)
		const callsPerDaemon = 40
		retries := 0
		for range daemons {
			var budget retry.Budget
			for range callsPerDaemon {
				budget.RecordFirstTry(now)
			}
			for budget.AllowRetry(now, policy()) {
				retries++
			}
		}
		allowed := limits.Ratio*float64(daemons*callsPerDaemon) + limits.MinFleetRetries
		if float64(retries) > allowed {
			t.Errorf("%d daemons make %d retries, want at most %.0f", daemons, retries, allowed)
		}
		if retries < daemons*callsPerDaemon/10 {
			t.Errorf("%d daemons make only %d retries", daemons, retries)
		}
	}
}

// During a network partition each daemon considers fewer daemons alive, but keeps to
// its share of the retries of the whole fleet.
func TestRetriesDoNotGrowDuringPartition(t *testing.T) {
	directory := &fakeDirectory{daemons: 50}
	policy := newFleetRetryPolicy(longAgo(), settings.Retries{Ratio: 0.2, MinFleetRetries: 500}, directory)
	before := policy.daemonPolicy().MinRetries
	directory.daemons = 1
	if after := policy.daemonPolicy().MinRetries; after != before {
		t.Errorf("the minimum of retries is %d among 50 daemons and %d alone", before, after)
	}
}

// A daemon that has just started knows no other yet. It must not take the minimum of retries
// of the whole fleet, which the others use.
func TestStartingDaemonDoesNotTakeRetriesOfFleet(t *testing.T) {
	limits := settings.Retries{Ratio: 0.2, MinFleetRetries: 160}
	policy := newFleetRetryPolicy(time.Now(), limits, &fakeDirectory{daemons: 1}).daemonPolicy()
	if most := limits.MinFleetRetries / 16; float64(policy.MinRetries) > most {
		t.Errorf("a daemon that starts takes %d retries of the fleet's %v", policy.MinRetries, limits.MinFleetRetries)
	}
}
