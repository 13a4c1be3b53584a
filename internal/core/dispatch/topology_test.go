package dispatch

import (
	"fmt"
	"testing"

	"hawthornstream/internal/ports"
)

// fleetOf returns the daemons of a fleet with the given number in each domain.
func fleetOf(domains, perDomain int) []ports.VM {
	var daemons []ports.VM
	for domain := range domains {
		for i := range perDomain {
			daemons = append(daemons, ports.VM{
				Name: ports.VMName(fmt.Sprintf("d%d-%d", domain, i)), Domain: ports.FailureDomain(fmt.Sprintf("z%d", domain)),
			})
		}
	}
	return daemons
}

func TestAggregatorsAreTheFirstOfTheirDomain(t *testing.T) {
	daemons := append(fleetOf(1, 4), ports.VM{Name: "e", Domain: "z9"})
	aggregators := 0
	for _, self := range daemons {
		topology := NewTopology(self, daemons)
		if want := map[ports.FailureDomain]int{"z0": 3, "z9": 0}[self.Domain]; len(topology.SameDomain) != want {
			t.Errorf("%s has %d other daemons in its domain, want %d", self.Name, len(topology.SameDomain), want)
		}
		if topology.IsAggregator && self.Domain == "z0" {
			aggregators++
		}
		if topology.IsAggregator != (len(topology.Counterparts) == 1) {
			t.Errorf("%s: aggregator %t with counterparts %v", self.Name, topology.IsAggregator, topology.Counterparts)
		}
	}
	if aggregators != aggregatorsPerDomain {
		t.Errorf("%d aggregators in a domain of four", aggregators)
	}
}

// The messages between domains must not grow with the daemons of a domain, and each
// domain must be reached over two daemons.
func TestCrossDomainMessagesGrowWithDomainsAlone(t *testing.T) {
	const domains = 6
	for _, perDomain := range []int{2, 10, 60} {
		daemons := fleetOf(domains, perDomain)
		domainOf := make(map[ports.VMName]ports.FailureDomain)
		for _, daemon := range daemons {
			domainOf[daemon.Name] = daemon.Domain
		}
		messages := 0
		receivers := make(map[[2]ports.FailureDomain]map[ports.VMName]bool)
		for _, self := range daemons {
			for _, counterpart := range NewTopology(self, daemons).Counterparts {
				messages++
				way := [2]ports.FailureDomain{self.Domain, domainOf[counterpart.Name]}
				if receivers[way] == nil {
					receivers[way] = make(map[ports.VMName]bool)
				}
				receivers[way][counterpart.Name] = true
			}
		}
		if want := aggregatorsPerDomain * domains * (domains - 1); messages != want {
			t.Errorf("%d daemons in a domain: %d messages, want %d", perDomain, messages, want)
		}
		if len(receivers) != domains*(domains-1) {
			t.Errorf("%d daemons in a domain: %d pairs of domains are connected", perDomain, len(receivers))
		}
		for way, names := range receivers {
			if len(names) != aggregatorsPerDomain {
				t.Errorf("%d daemons in a domain: %v is connected over %d daemons", perDomain, way, len(names))
			}
		}
	}
}
