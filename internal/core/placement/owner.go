package placement

import (
	"cmp"
	"slices"

	"hawthornstream/internal/ports"
)

// maxExcessShards is how many shards a daemon may own beyond an equal share. A
// lower limit moves more shards when a daemon leaves; a higher one balances the
// shards less evenly.
const maxExcessShards = 1

// ownerScope is the part of the fleet whose daemons may own a shard: a failure
// domain, a region, or all daemons when both fields are empty.
type ownerScope struct {
	domain ports.FailureDomain
	region ports.Region
}

func (s ownerScope) contains(vm ports.VM) bool {
	return (s.domain == "" || vm.Domain == s.domain) && (s.region == "" || vm.Region == s.region)
}

// ShardOwners returns the owner of each shard: a daemon of the shard's failure
// domain if there is one, else of its region, else any daemon. Among these, it
// is the daemon with the highest score that has not reached the limit of an
// equal share plus maxExcessShards. The shards must be those of all services,
// since the limit applies to all services together. Without daemons the result
// is empty.
func (r *RendezvousHash) ShardOwners(shards []Shard) map[ports.ShardID]ports.DaemonID {
	owners := make(map[ports.ShardID]ports.DaemonID, len(shards))
	if len(r.daemons) == 0 {
		return owners
	}
	for scope, scopeShards := range r.groupByScope(shards) {
		r.assignOwners(scope, scopeShards, owners)
	}
	return owners
}

// groupByScope groups the shards by the smallest scope that has daemons.
func (r *RendezvousHash) groupByScope(shards []Shard) map[ownerScope][]Shard {
	daemonCounts := make(map[ownerScope]int)
	shardsByScope := make(map[ownerScope][]Shard)
	for _, shard := range shards {
		scope := ownerScope{domain: shard.Domain, region: shard.Region}
		if r.daemonCount(scope, daemonCounts) == 0 {
			scope = ownerScope{region: shard.Region}
		}
		if r.daemonCount(scope, daemonCounts) == 0 {
			scope = ownerScope{}
		}
		shardsByScope[scope] = append(shardsByScope[scope], shard)
	}
	return shardsByScope
}

// daemonCount returns the number of daemons in a scope and caches it in counts.
func (r *RendezvousHash) daemonCount(scope ownerScope, counts map[ownerScope]int) int {
	count, cached := counts[scope]
	if cached {
		return count
	}
	for _, daemon := range r.daemons {
		if scope.contains(daemon) {
			count++
		}
	}
	counts[scope] = count
	return count
}

// assignOwners stores the owner of each shard of a scope in owners. The shards
// are handled in the order of their IDs, so that all daemons get the same
// result.
func (r *RendezvousHash) assignOwners(scope ownerScope, shards []Shard, owners map[ports.ShardID]ports.DaemonID) {
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	daemonCount := r.daemonCount(scope, make(map[ownerScope]int))
	maxOwned := (len(shards)+daemonCount-1)/daemonCount + maxExcessShards
	owned := make(map[ports.DaemonID]int, daemonCount)
	for _, shard := range shards {
		owner, _ := r.highestScoring(string(shard.ID), func(vm ports.VM) bool {
			return scope.contains(vm) && owned[vm.Name] < maxOwned
		})
		owners[shard.ID] = owner
		owned[owner]++
	}
}
