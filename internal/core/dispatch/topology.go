package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// aggregatorsPerDomain is the number of daemons of a failure domain that report its
// sums to the other domains: one more than needed, in case one is lost.
const aggregatorsPerDomain = 2

// Topology is whom one daemon of a fleet reports to.
//
// Load pattern: a fleet of hundreds of daemons, whose sums would cross the links
// between failure domains once for each receiver. An aggregator therefore reports its
// domain's sums to one daemon of each other domain, its counterpart, which relays them
// to the daemons there. The messages between domains grow with the number of domains
// alone.
type Topology struct {
	// SameDomain are the other daemons of this failure domain.
	SameDomain []ports.VM
	// Counterparts has one daemon of each other domain if this daemon is an
	// aggregator. It is the one of the same rank, so that the reports of two
	// aggregators take different ways.
	Counterparts []ports.VM
	// IsAggregator reports whether this daemon reports its domain's sums.
	IsAggregator bool
}

// NewTopology returns the topology as the daemon self sees it.
func NewTopology(self ports.VM, daemons []ports.VM) Topology {
	t := Topology{}
	rank := 0
	otherDomains := make(map[ports.FailureDomain][]ports.VM)
	for _, daemon := range daemons {
		switch {
		case daemon.Name == self.Name:
		case daemon.Domain != self.Domain:
			otherDomains[daemon.Domain] = append(otherDomains[daemon.Domain], daemon)
		default:
			t.SameDomain = append(t.SameDomain, daemon)
			if CompareByNameHash(daemon, self) < 0 {
				rank++
			}
		}
	}
	t.IsAggregator = rank < aggregatorsPerDomain
	if !t.IsAggregator {
		return t
	}
	for _, others := range otherDomains {
		slices.SortFunc(others, CompareByNameHash)
		t.Counterparts = append(t.Counterparts, others[min(rank, len(others)-1)])
	}
	return t
}

// CompareByNameHash orders VMs by the hash of their names.
func CompareByNameHash(a, b ports.VM) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))),
		cmp.Compare(a.Name, b.Name),
	)
}
