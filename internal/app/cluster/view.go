package cluster

import (
	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

// fleetView is an immutable snapshot of the fleet as this daemon sees it.
type fleetView struct {
	self       ports.VM
	daemons    []ports.VM
	rendezvous *placement.RendezvousHash
	servers    map[ports.ServiceName][]ports.VM
	// shardsByService are the shards without their owners, which depend on the
	// servers only.
	shardsByService map[ports.ServiceName][]placement.Shard
	shardViews      map[ports.ServiceName][]ports.ShardView
}

// withServers returns a copy of the view with the backend servers of a VM list.
// The list must be ordered by name.
func (v *fleetView) withServers(vms []ports.VM) *fleetView {
	next := &fleetView{
		servers:         make(map[ports.ServiceName][]ports.VM),
		shardsByService: make(map[ports.ServiceName][]placement.Shard),
	}
	for _, vm := range vms {
		if vm.Kind == ports.VMKindBackend {
			next.servers[vm.Service] = append(next.servers[vm.Service], vm)
		}
	}
	for service, servers := range next.servers {
		next.shardsByService[service] = placement.SplitIntoShards(service, servers)
	}
	return next.withDaemons(v.self, v.daemons)
}

// withDaemons returns a copy of the view with other daemons considered alive and
// the shard owners among them.
func (v *fleetView) withDaemons(self ports.VM, daemons []ports.VM) *fleetView {
	next := &fleetView{
		self:            self,
		daemons:         daemons,
		rendezvous:      placement.NewRendezvousHash(daemons),
		servers:         v.servers,
		shardsByService: v.shardsByService,
		shardViews:      make(map[ports.ServiceName][]ports.ShardView, len(v.shardsByService)),
	}
	owners := next.rendezvous.ShardOwners(v.allShards())
	for service, shards := range v.shardsByService {
		for _, shard := range shards {
			next.shardViews[service] = append(next.shardViews[service], ports.ShardView{
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

func (v *fleetView) allShards() []placement.Shard {
	var all []placement.Shard
	for _, shards := range v.shardsByService {
		all = append(all, shards...)
	}
	return all
}
