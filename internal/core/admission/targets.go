package admission

import (
	"cmp"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// A call sends demand to the nearest shard owners at once, and to more distant
	// ones in the same or in other regions when it has waited this long.
	sameRegionDemandDelay  = 20 * time.Millisecond
	crossRegionDemandDelay = 60 * time.Millisecond
)

// Locality is how near the backend servers of a shard owner are to this daemon.
type Locality uint8

// The localities, nearest first. SameDomain stands for the same failure domain.
const (
	SameDomain Locality = iota
	SameRegion
	CrossRegion
)

// Distance returns the locality as it is reported to shard owners.
func (l Locality) Distance() ports.Distance {
	return ports.Distance(l)
}

// Target is a shard owner to which demand for a service can be sent.
type Target struct {
	Owner ports.DaemonID
	// Locality is the locality of the owner's nearest backend servers.
	Locality Locality
}

// Targets returns the owners of a service's shards as seen from the daemon self,
// ordered by locality and then by name. It leaves out shards that have no owner or
// no backend server that may get work.
func Targets(self ports.VM, shards []ports.ShardView) []Target {
	nearest := make(map[ports.DaemonID]Locality)
	for _, shard := range shards {
		if shard.Owner == "" || !hasAvailableServer(shard.Servers) {
			continue
		}
		locality := localityOf(self, shard)
		if known, ok := nearest[shard.Owner]; !ok || locality < known {
			nearest[shard.Owner] = locality
		}
	}
	targets := make([]Target, 0, len(nearest))
	for owner, locality := range nearest {
		targets = append(targets, Target{Owner: owner, Locality: locality})
	}
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Locality, b.Locality), cmp.Compare(a.Owner, b.Owner))
	})
	return targets
}

// ShouldSendDemand reports whether demand is sent to a target: at once if no other
// target is nearer, else when the first waiting call has waited for the delay of
// the target's locality. Shard owners, not entries, prefer near demand.
func ShouldSendDemand(target Target, nearest Locality, waited time.Duration) bool {
	switch {
	case target.Locality == nearest:
		return true
	case target.Locality == CrossRegion:
		return waited >= crossRegionDemandDelay
	default:
		return waited >= sameRegionDemandDelay
	}
}

// localityOf counts a shard that spans its region as SameDomain for every daemon of
// the region.
func localityOf(self ports.VM, shard ports.ShardView) Locality {
	switch {
	case shard.Region != self.Region:
		return CrossRegion
	case shard.Domain == "" || shard.Domain == self.Domain:
		return SameDomain
	default:
		return SameRegion
	}
}

func hasAvailableServer(servers []ports.VM) bool {
	return slices.ContainsFunc(servers, func(vm ports.VM) bool { return !vm.Leaving })
}
