package execution

import (
	"testing"
	"time"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// fleet is a directory with a number of daemons.
type fleet struct {
	ports.Directory
	daemons int
}

func (f *fleet) Daemons() []ports.VM { return make([]ports.VM, f.daemons) }

// Load pattern: backend servers fail for all daemons at once. What all of them
// retry together stays within the fleet's part and floor.
func TestDaemonsShareTheRetriesOfTheFleet(t *testing.T) {
	allowed := settings.Retries{Part: 0.2, FleetFloor: 158}
	for _, daemons := range []int{1, 9, 59, 84} {
		policy := newPolicyShare(allowed, &fleet{daemons: daemons}).policy
		now := time.Unix(1000, 0)
		const callsEach = 40
		retries := 0
		for range daemons {
			var budget retry.Budget
			for range callsEach {
				budget.RecordFirstTry(now)
			}
			for budget.AllowRetry(now, policy()) {
				retries++
			}
		}
		most := allowed.Part*float64(daemons*callsEach) + float64(allowed.FleetFloor)
		if float64(retries) > most {
			t.Errorf("%d daemons make %d retries, allowed are %.0f", daemons, retries, most)
		}
		if retries < daemons*callsEach/10 {
			t.Errorf("%d daemons make only %d retries", daemons, retries)
		}
	}
}

// Daemons that lose sight of each other keep to their part of the whole fleet's.
func TestRetriesDoNotGrowWhenDaemonsLoseSightOfEachOther(t *testing.T) {
	around := &fleet{daemons: 50}
	share := newPolicyShare(settings.Retries{Part: 0.2, FleetFloor: 500}, around)
	before := share.policy().MinRetries
	around.daemons = 1
	if after := share.policy().MinRetries; after != before {
		t.Errorf("a floor of %d among 50 and %d alone", before, after)
	}
}
