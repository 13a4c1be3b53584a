// Package placement groups backend servers into shards and assigns keys and
// shards to daemons by rendezvous hashing. It keeps no state: daemons with the
// same view of the fleet compute the same placement. It may be imported by
// internal/app.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// The multipliers of mix64.
const (
	mix64Multiplier1 = 0xbf58476d1ce4e5b9
	mix64Multiplier2 = 0x94d049bb133111eb
)

// RendezvousHash assigns keys and shards to a fixed set of daemons.
type RendezvousHash struct {
	daemons []ports.VM
	// nameHashes are the hashes of the daemons' names, in the order of daemons.
	nameHashes []uint64
}

// NewRendezvousHash returns a RendezvousHash over the daemons. Leaving daemons
// own nothing unless all of them are leaving.
func NewRendezvousHash(daemons []ports.VM) *RendezvousHash {
	r := &RendezvousHash{}
	for _, daemon := range ownerCandidates(daemons) {
		r.daemons = append(r.daemons, daemon)
		r.nameHashes = append(r.nameHashes, xxhash.Sum64String(string(daemon.Name)))
	}
	return r
}

func ownerCandidates(daemons []ports.VM) []ports.VM {
	var remaining []ports.VM
	for _, daemon := range daemons {
		if !daemon.Leaving {
			remaining = append(remaining, daemon)
		}
	}
	if len(remaining) == 0 {
		return daemons
	}
	return remaining
}

// KeyOwner returns the daemon with the highest score for the key, or "" when
// there are no daemons.
func (r *RendezvousHash) KeyOwner(key string) ports.DaemonID {
	owner, _ := r.highestScoring(key, func(ports.VM) bool { return true })
	return owner
}

// highestScoring returns the eligible daemon with the highest score for the key;
// of equal scores, the one whose name sorts first. The result is false when no
// daemon is eligible.
func (r *RendezvousHash) highestScoring(key string, eligible func(ports.VM) bool) (ports.DaemonID, bool) {
	keyHash := xxhash.Sum64String(key)
	var owner ports.DaemonID
	var highest uint64
	found := false
	for i, daemon := range r.daemons {
		if !eligible(daemon) {
			continue
		}
		score := mix64(r.nameHashes[i] ^ keyHash)
		if !found || score > highest || score == highest && daemon.Name < owner {
			owner, highest, found = daemon.Name, score, true
		}
	}
	return owner, found
}

// HighestInDomains returns the daemons with the highest scores for the key, highest
// first, at most perDomain of each failure domain.
func (r *RendezvousHash) HighestInDomains(key string, perDomain int) []ports.VM {
	keyHash := xxhash.Sum64String(key)
	var domains [][]rankedDaemon
	for i := range r.daemons {
		ranked := rankedDaemon{vm: &r.daemons[i], score: mix64(r.nameHashes[i] ^ keyHash)}
		at := slices.IndexFunc(domains, func(top []rankedDaemon) bool { return top[0].vm.Domain == ranked.vm.Domain })
		if at < 0 {
			domains = append(domains, append(make([]rankedDaemon, 0, perDomain+1), ranked))
			continue
		}
		domains[at] = insertRanked(domains[at], ranked, perDomain)
	}
	all := slices.Concat(domains...)
	slices.SortFunc(all, compareRanked)
	highest := make([]ports.VM, 0, len(all))
	for _, ranked := range all {
		highest = append(highest, *ranked.vm)
	}
	return highest
}

type rankedDaemon struct {
	vm    *ports.VM
	score uint64
}

// compareRanked orders daemons as highestScoring does, the highest first.
func compareRanked(a, b rankedDaemon) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
}

// insertRanked inserts a daemon into the highest ones, of which it keeps at most limit.
func insertRanked(top []rankedDaemon, ranked rankedDaemon, limit int) []rankedDaemon {
	if len(top) == limit && compareRanked(ranked, top[limit-1]) > 0 {
		return top
	}
	at, _ := slices.BinarySearchFunc(top, ranked, compareRanked)
	top = slices.Insert(top, at, ranked)
	return top[:min(len(top), limit)]
}

// mix64 is the finalizer of splitmix64. It spreads the bits of the combined hash
// of a daemon's name and a key.
func mix64(h uint64) uint64 {
	h ^= h >> 30
	h *= mix64Multiplier1
	h ^= h >> 27
	h *= mix64Multiplier2
	return h ^ h>>31
}
