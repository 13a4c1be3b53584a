package cluster

import (
	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

// view is one belief about the fleet. It is never changed.
type view struct {
	self    ports.VM
	daemons []ports.VM
	ring    *placement.RendezvousHash
	servers map[ports.ServiceName][]ports.VM
	// split are the shards of each service, which depend on the servers only.
	split  map[ports.ServiceName][]placement.Shard
	shards map[ports.ServiceName][]ports.ShardView
}

// withServers returns a view with the backend servers of a VM list, which is
// ordered by name.
func (v *view) withServers(vms []ports.VM) *view {
	next := &view{
		servers: make(map[ports.ServiceName][]ports.VM),
		split:   make(map[ports.ServiceName][]placement.Shard),
	}
	for _, vm := range vms {
		if vm.Kind == ports.VMKindBackend {
			next.servers[vm.Service] = append(next.servers[vm.Service], vm)
		}
	}
	for service, servers := range next.servers {
		next.split[service] = placement.SplitIntoShards(service, servers)
	}
	return next.withDaemons(v.self, v.daemons)
}

// withDaemons returns a view with the daemons believed live.
func (v *view) withDaemons(self ports.VM, daemons []ports.VM) *view {
	next := &view{
		self:    self,
		daemons: daemons,
		ring:    placement.NewRendezvousHash(daemons),
		servers: v.servers,
		split:   v.split,
		shards:  make(map[ports.ServiceName][]ports.ShardView, len(v.split)),
	}
	owners := next.ring.ShardOwners(v.allShards())
	for service, shards := range v.split {
		for _, shard := range shards {
			next.shards[service] = append(next.shards[service], ports.ShardView{
				ID:      shard.ID,
				Service: service,
				Domain:  shard.Domain,
				Region:  shard.Region,
				Owner:   owners[shard.ID],
				Servers: shard.Servers,
			})
		}
	}
	return next
}

func (v *view) allShards() []placement.Shard {
	var all []placement.Shard
	for _, shards := range v.split {
		all = append(all, shards...)
	}
	return all
}
