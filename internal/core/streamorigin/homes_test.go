package streamorigin

import (
	"fmt"
	"slices"
	"testing"

	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

// fleetOf returns count daemons in three failure domains, two of them in one region.
func fleetOf(count int) []ports.VM {
	places := []ports.VM{{Domain: "z1", Region: "r1"}, {Domain: "z2", Region: "r1"}, {Domain: "z3", Region: "r2"}}
	var daemons []ports.VM
	for i := range count {
		vm := places[i%len(places)]
		vm.Name = ports.VMName(fmt.Sprint("d", i))
		daemons = append(daemons, vm)
	}
	return daemons
}

func without(daemons []ports.VM, isGone func(ports.VM) bool) []ports.VM {
	return slices.DeleteFunc(slices.Clone(daemons), isGone)
}

// The daemon that relays the streams is lost, alone, with a home, or with its whole
// failure domain. Their callers return to any daemon that is left, which may not have
// noticed the loss yet.
func TestOriginIsFoundAfterLossOfDaemons(t *testing.T) {
	for _, count := range []int{2, 3, 7, 60} {
		all := fleetOf(count)
		for number := range 20 {
			attempt := ports.RequestID(fmt.Sprint("attempt-", number))
			recorder := all[number%count]
			homes := Homes(recorder, placement.NewRendezvousHash(all), attempt, everywhere)
			losses := map[string]func(ports.VM) bool{
				"the recorder":       func(vm ports.VM) bool { return vm.Name == recorder.Name },
				"its failure domain": func(vm ports.VM) bool { return vm.Domain == recorder.Domain },
			}
			if len(homes) == 2 {
				losses["the recorder and a home"] = func(vm ports.VM) bool {
					return vm.Name == recorder.Name || vm.Name == homes[number%2]
				}
			}
			for loss, isGone := range losses {
				left := without(all, isGone)
				for _, asker := range left {
					for view, daemons := range map[string][]ports.VM{"old": all, "new": left} {
						asked := append(Candidates(asker, placement.NewRendezvousHash(daemons), attempt), asker.Name)
						found := slices.ContainsFunc(left, func(vm ports.VM) bool {
							return slices.Contains(homes, vm.Name) && slices.Contains(asked, vm.Name)
						})
						if !found {
							t.Fatalf("%d daemons, %s lost, %s view: %s does not reach a home of %v", count, loss, view, asker.Name, homes)
						}
					}
				}
			}
		}
	}
}

// Bytes between regions cost most: where the own region has another failure domain, no
// origin leaves it.
func TestHomesStayInTheRegion(t *testing.T) {
	all := fleetOf(9)
	for number := range 50 {
		homes := Homes(all[0], placement.NewRendezvousHash(all), ports.RequestID(fmt.Sprint(number)), everywhere)
		if len(homes) != 2 {
			t.Fatalf("got %v", homes)
		}
		for i, domain := range []ports.FailureDomain{"z1", "z2"} {
			at := slices.IndexFunc(all, func(vm ports.VM) bool { return vm.Name == homes[i] })
			if all[at].Domain != domain || homes[i] == all[0].Name {
				t.Errorf("home %d is %s in %s", i, homes[i], all[at].Domain)
			}
		}
	}
}

func everywhere(ports.Region) bool { return true }

// The origins of streams that may run in one region stay there, in different failure
// domains, wherever the caller has connected.
func TestHomesLieInAllowedRegions(t *testing.T) {
	all := fleetOf(24)
	for _, allowed := range []ports.Region{all[0].Region, all[len(all)-1].Region} {
		allows := func(region ports.Region) bool { return region == allowed }
		domains := make(map[ports.FailureDomain]bool)
		for _, vm := range all {
			if allows(vm.Region) {
				domains[vm.Domain] = true
			}
		}
		for number, recorder := range all {
			homes := Homes(recorder, placement.NewRendezvousHash(all), ports.RequestID(fmt.Sprint(number)), allows)
			used := make(map[ports.FailureDomain]bool)
			for _, name := range homes {
				home := all[slices.IndexFunc(all, func(vm ports.VM) bool { return vm.Name == name })]
				if !allows(home.Region) {
					t.Errorf("%s records at %s in %s", recorder.Name, name, home.Region)
				}
				used[home.Domain] = true
			}
			if len(homes) != 2 || len(used) != min(2, len(domains)) {
				t.Errorf("%s has homes %v", recorder.Name, homes)
			}
		}
	}
	none := Homes(all[0], placement.NewRendezvousHash(all), "a", func(ports.Region) bool { return false })
	if len(none) > 0 {
		t.Errorf("homes %v although no region is allowed", none)
	}
}
