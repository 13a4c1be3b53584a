package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// selectProbeTargets returns the members that a daemon probes in turn. The
// daemons considered alive form a ring ordered by the hash of their names; the
// targets are those at the distances 1, 2, 4 and so on. Each daemon is thus
// probed by as many daemons as it probes, needs few sessions, and updates reach
// the whole ring in a logarithmic number of steps.
func selectProbeTargets(self ports.DaemonID, others []ports.DaemonID) []ports.DaemonID {
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b ports.DaemonID) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))),
			cmp.Compare(a, b),
		)
	})
	selfIndex := slices.Index(ring, self)
	targets := []ports.DaemonID{}
	for distance := 1; distance < len(ring); distance *= 2 {
		targets = append(targets, ring[(selfIndex+distance)%len(ring)])
	}
	return targets
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}
