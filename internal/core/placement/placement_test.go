package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

const testSeed = 20261203

func checkProperty(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	properties := gopter.NewProperties(parameters)
	properties.Property(name, property)
	properties.TestingRun(t)
}

func newVM(name, domain, region string) ports.VM {
	return ports.VM{Name: ports.VMName(name), Domain: ports.FailureDomain(domain), Region: ports.Region(region)}
}

// vms returns n VMs over 6 failure domains in 2 regions.
func newVMs(prefix string, n int) []ports.VM {
	var list []ports.VM
	for i := range n {
		domain := i % 6
		list = append(list, newVM(fmt.Sprintf("%s-%d", prefix, i), fmt.Sprintf("d%d", domain), fmt.Sprintf("r%d", domain%2)))
	}
	return list
}

func shuffled(list []ports.VM, seed uint64) []ports.VM {
	out := slices.Clone(list)
	rand.New(rand.NewPCG(seed, 0)).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func TestSplitIntoShardsPutsEachServerInOneShardWithinSizeLimits(t *testing.T) {
	checkProperty(t, "partition", prop.ForAll(func(n int, seed uint64) bool {
		servers := newVMs("server", n)
		shardCount := make(map[ports.VMName]int)
		for _, shard := range SplitIntoShards("s", shuffled(servers, seed)) {
			tooSmall := len(shard.Servers) < MinShardServers && shard.Domain != ""
			if len(shard.Servers) > MaxShardServers || tooSmall {
				return false
			}
			for _, server := range shard.Servers {
				shardCount[server.Name]++
				if server.Region != shard.Region || shard.Domain != "" && server.Domain != shard.Domain {
					return false
				}
			}
		}
		for _, server := range servers {
			if shardCount[server.Name] != 1 {
				return false
			}
		}
		return len(shardCount) == n
	}, gen.IntRange(0, 1500), gen.UInt64()))
}

func TestSplitIntoShardsIgnoresServerOrder(t *testing.T) {
	checkProperty(t, "order", prop.ForAll(func(n int, seed uint64) bool {
		servers := newVMs("server", n)
		return reflect.DeepEqual(SplitIntoShards("s", servers), SplitIntoShards("s", shuffled(servers, seed)))
	}, gen.IntRange(0, 300), gen.UInt64()))
}

func TestAddedServerChangesAtMostOneShard(t *testing.T) {
	checkProperty(t, "movement", prop.ForAll(func(n int) bool {
		servers := newVMs("server", 6*n)
		before := shardIDByServer(SplitIntoShards("s", servers))
		after := shardIDByServer(SplitIntoShards("s", append(servers, newVM("new", "d0", "r0"))))
		changed := make(map[ports.ShardID]bool)
		for name, shard := range before {
			if after[name] != shard {
				changed[shard] = true
			}
		}
		return len(changed) <= 1
	}, gen.IntRange(MinShardServers, 200)))
}

func shardIDByServer(shards []Shard) map[ports.VMName]ports.ShardID {
	ids := make(map[ports.VMName]ports.ShardID)
	for _, shard := range shards {
		for _, server := range shard.Servers {
			ids[server.Name] = shard.ID
		}
	}
	return ids
}

func TestSmallDomainsShareARegionShard(t *testing.T) {
	servers := []ports.VM{newVM("a", "d0", "r0"), newVM("b", "d2", "r0"), newVM("c", "d4", "r0")}
	shards := SplitIntoShards("s", servers)
	if len(shards) != 1 || shards[0].Domain != "" || len(shards[0].Servers) != 3 {
		t.Errorf("got %v, want one shard of the region with 3 servers", shards)
	}
}

func TestRemovedDaemonMovesOnlyItsOwnKeys(t *testing.T) {
	const keys = 20_000
	for _, n := range []int{3, 9, 27, 360} {
		daemons := newVMs("daemon", n)
		full, reduced := NewRendezvousHash(daemons), NewRendezvousHash(daemons[1:])
		owned := make(map[ports.DaemonID]int)
		for i := range keys {
			key := fmt.Sprintf("key-%d", i)
			owner := full.KeyOwner(key)
			owned[owner]++
			if owner != daemons[0].Name && reduced.KeyOwner(key) != owner {
				t.Fatalf("%d daemons: key %s moved although its owner remained", n, key)
			}
		}
		most := 0
		for _, count := range owned {
			most = max(most, count)
		}
		if ratio := float64(most) * float64(n) / keys; ratio > 1.6 {
			t.Errorf("%d daemons: one owns %.2f times an equal share of the keys", n, ratio)
		}
	}
}

func TestShardOwnersAreLocalAndBalanced(t *testing.T) {
	checkProperty(t, "owners", prop.ForAll(func(daemons, servers int) bool {
		hash := NewRendezvousHash(newVMs("daemon", daemons))
		shards := SplitIntoShards("s", newVMs("server", servers))
		owners := hash.ShardOwners(shards)
		daemonByName := make(map[ports.VMName]ports.VM)
		for _, d := range hash.daemons {
			daemonByName[d.Name] = d
		}
		ownedCount := make(map[ports.DaemonID]int)
		ownedInDomain := make(map[ports.FailureDomain]int)
		for _, shard := range shards {
			owner, ok := daemonByName[owners[shard.ID]]
			if !ok || shard.Domain != "" && owner.Domain != shard.Domain {
				return false
			}
			ownedCount[owner.Name]++
			ownedInDomain[owner.Domain]++
		}
		for name, count := range ownedCount {
			domain := daemonByName[name].Domain
			if count > ownedInDomain[domain]/(daemons/6)+1+maxExcessShards {
				return false
			}
		}
		return true
	}, gen.IntRange(6, 120), gen.IntRange(24, 1500)))
}

func TestRemovedDaemonMovesFewShardsOfOtherOwners(t *testing.T) {
	daemons := make([]ports.VM, 24)
	for i := range daemons {
		daemons[i] = newVM(fmt.Sprintf("daemon-%d", i), "d", "r")
	}
	servers := make([]ports.VM, 0, 800)
	for i := range 800 {
		servers = append(servers, newVM(fmt.Sprintf("server-%d", i), "d", "r"))
	}
	shards := SplitIntoShards("s", servers)
	before := NewRendezvousHash(daemons).ShardOwners(shards)
	moved := 0
	for removed := range daemons {
		remaining := slices.Delete(slices.Clone(daemons), removed, removed+1)
		after := NewRendezvousHash(remaining).ShardOwners(shards)
		for id, owner := range before {
			if owner != daemons[removed].Name && after[id] != owner {
				moved++
			}
		}
	}
	if movedPerRemoval := float64(moved) / float64(len(daemons)); movedPerRemoval > 1 {
		t.Errorf("removing a daemon moves %.2f shards of other owners on average, want at most 1", movedPerRemoval)
	}
}

func TestLeavingDaemonOwnsNoKeysUnlessAllAreLeaving(t *testing.T) {
	daemons := newVMs("daemon", 3)
	daemons[0].Leaving = true
	hash := NewRendezvousHash(daemons)
	for i := range 200 {
		if hash.KeyOwner(fmt.Sprint(i)) == daemons[0].Name {
			t.Fatal("a leaving daemon owns a key")
		}
	}
	if NewRendezvousHash(daemons[:1]).KeyOwner("key") != daemons[0].Name {
		t.Error("the key has no owner although the only daemon is leaving")
	}
	if NewRendezvousHash(nil).KeyOwner("key") != "" {
		t.Error("the key has an owner although there are no daemons")
	}
}

func TestShardWithoutDaemonInItsRegionHasAnOwner(t *testing.T) {
	shards := SplitIntoShards("s", []ports.VM{newVM("a", "far", "elsewhere")})
	if owner := NewRendezvousHash(newVMs("daemon", 3)).ShardOwners(shards)[shards[0].ID]; owner == "" {
		t.Error("the shard has no owner")
	}
}

// Whoever asks for the homes of a key must find those that another daemon with the same
// view chose, in the order of KeyOwner.
func TestHighestInDomainsFollowsScores(t *testing.T) {
	const perDomain = 3
	for _, count := range []int{0, 1, 7, 40} {
		daemons := newVMs("e", count)
		hash := NewRendezvousHash(daemons)
		for number := range 50 {
			key := fmt.Sprint("key-", number)
			var want []ports.VM
			left, counts := slices.Clone(daemons), make(map[ports.FailureDomain]int)
			for len(left) > 0 {
				owner := NewRendezvousHash(left).KeyOwner(key)
				at := slices.IndexFunc(left, func(vm ports.VM) bool { return vm.Name == owner })
				if counts[left[at].Domain]++; counts[left[at].Domain] <= perDomain {
					want = append(want, left[at])
				}
				left = slices.Delete(left, at, at+1)
			}
			if got := hash.HighestInDomains(key, perDomain); !slices.Equal(got, want) {
				t.Fatalf("%d daemons: got %v, want %v", count, got, want)
			}
		}
	}
}
