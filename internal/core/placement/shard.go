package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// MinShardServers is the minimum number of backend servers in a shard of one
	// failure domain. The servers of smaller domains share the shards of their
	// region.
	MinShardServers = 4
	// MaxShardServers is the maximum number of backend servers in a shard.
	MaxShardServers = 32
	// rootNodeNumber is the number of the root in a group's binary tree; the
	// children of node n are 2n and 2n+1.
	rootNodeNumber = 1
	hashBits       = 64
)

// Shard is a group of backend servers of one service. One daemon, the shard
// owner, grants the slots of all its servers.
type Shard struct {
	ID      ports.ShardID
	Service ports.ServiceName
	// Domain is empty when the shard spans its region.
	Domain ports.FailureDomain
	Region ports.Region
	// Servers are ordered by name.
	Servers []ports.VM
}

// SplitIntoShards groups the backend servers of one service into shards, ordered
// by ID. The result depends only on the set of servers, not on their order.
// Adding or removing a server changes the shard that the hash of its name falls
// into, and splits or merges at most that one.
func SplitIntoShards(service ports.ServiceName, servers []ports.VM) []Shard {
	byDomain := make(map[domainKey][]ports.VM)
	for _, server := range servers {
		key := domainKey{region: server.Region, domain: server.Domain}
		byDomain[key] = append(byDomain[key], server)
	}
	var shards []Shard
	smallDomainServers := make(map[ports.Region][]ports.VM)
	for key, members := range byDomain {
		if len(members) < MinShardServers {
			smallDomainServers[key.region] = append(smallDomainServers[key.region], members...)
			continue
		}
		g := serverGroup{service: service, domain: key.domain, region: key.region, servers: members}
		shards = append(shards, g.shards()...)
	}
	for region, members := range smallDomainServers {
		g := serverGroup{service: service, region: region, servers: members}
		shards = append(shards, g.shards()...)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	return shards
}

type domainKey struct {
	region ports.Region
	domain ports.FailureDomain
}

// serverGroup is the backend servers of a service in one failure domain or
// region.
type serverGroup struct {
	service ports.ServiceName
	// domain is empty when the group spans its region.
	domain  ports.FailureDomain
	region  ports.Region
	servers []ports.VM
}

// shardIDPrefix returns the part of the shard IDs before the node number.
func (g serverGroup) shardIDPrefix() string {
	if g.domain == "" {
		return string(g.service) + "/region/" + string(g.region) + "/"
	}
	return string(g.service) + "/domain/" + string(g.domain) + "/"
}

func (g serverGroup) shards() []Shard {
	var shards []Shard
	for _, node := range splitByHash(g.servers) {
		shards = append(shards, Shard{
			ID:      ports.ShardID(g.shardIDPrefix() + strconv.FormatUint(node.number, 10)),
			Service: g.service,
			Domain:  g.domain,
			Region:  g.region,
			Servers: node.servers,
		})
	}
	return shards
}

// treeNode is a node of the binary tree that splits a group of servers by the
// bits of the hashes of their names, highest bit first.
type treeNode struct {
	// number is unique within the tree.
	number uint64
	// depth is the number of bits that led to the node.
	depth   int
	servers []ports.VM
}

// splitByHash returns the leaves of the tree. A node of more than
// MaxShardServers servers is split unless one side would have fewer than
// MinShardServers.
func splitByHash(servers []ports.VM) []treeNode {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b ports.VM) int { return cmp.Compare(a.Name, b.Name) })
	pending := []treeNode{{number: rootNodeNumber, servers: sorted}}
	var leaves []treeNode
	for len(pending) > 0 {
		node := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		low, high := node.children()
		if !node.canSplit() || min(len(low.servers), len(high.servers)) < MinShardServers {
			leaves = append(leaves, node)
			continue
		}
		pending = append(pending, low, high)
	}
	return leaves
}

// canSplit reports whether the node has more than MaxShardServers servers and
// the hash has a further bit to split them by.
func (n treeNode) canSplit() bool {
	return len(n.servers) > MaxShardServers && n.depth < hashBits-1
}

// children splits the servers by the next bit of their hashes.
func (n treeNode) children() (low, high treeNode) {
	low = treeNode{number: 2 * n.number, depth: n.depth + 1}
	high = treeNode{number: 2*n.number + 1, depth: n.depth + 1}
	for _, server := range n.servers {
		hash := xxhash.Sum64String(string(server.Name))
		if hash>>(hashBits-1-n.depth)&1 == 0 {
			low.servers = append(low.servers, server)
		} else {
			high.servers = append(high.servers, server)
		}
	}
	return low, high
}
