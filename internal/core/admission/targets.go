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

// Distance is how far the backend servers of a shard owner are from this daemon.
type Distance uint8

// The distances, nearest first. SameDomain stands for the same failure domain.
const (
	SameDomain Distance = iota
	SameRegion
	CrossRegion
)

// ToMessage returns the distance as it is reported to shard owners.
func (l Distance) ToMessage() ports.Distance {
	return ports.Distance(l)
}

// Target is a shard owner to which demand for a service can be sent.
type Target struct {
	Owner ports.DaemonID
	// Distance is that of the owner's nearest backend servers.
	Distance Distance
}

// Targets returns the owners of a service's shards as seen from the daemon self,
// ordered by distance and then by name. It leaves out shards that have no owner or
// no backend server that may get work.
func Targets(self ports.VM, shards []ports.ShardView) []Target {
	nearest := make(map[ports.DaemonID]Distance)
	for _, shard := range shards {
		if shard.Owner == "" || !hasAvailableServer(shard.Servers) {
			continue
		}
		distance := distanceToShard(self, shard)
		if known, ok := nearest[shard.Owner]; !ok || distance < known {
			nearest[shard.Owner] = distance
		}
	}
	targets := make([]Target, 0, len(nearest))
	for owner, distance := range nearest {
		targets = append(targets, Target{Owner: owner, Distance: distance})
	}
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Owner, b.Owner))
	})
	return targets
}

// ShouldSendDemand reports whether demand is sent to a target: at once if no other
// target is nearer, else when the first waiting call has waited for the delay of
// the target's distance. Shard owners, not entries, prefer near demand.
func ShouldSendDemand(target Target, nearest Distance, waited time.Duration) bool {
	switch {
	case target.Distance == nearest:
		return true
	case target.Distance == CrossRegion:
		return waited >= crossRegionDemandDelay
	default:
		return waited >= sameRegionDemandDelay
	}
}

// distanceToShard counts a shard that spans its region as SameDomain for every
// daemon of the region.
func distanceToShard(self ports.VM, shard ports.ShardView) Distance {
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
