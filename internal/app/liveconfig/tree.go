package liveconfig

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

const (
	// watchersPerDomain is the number of daemons in a failure domain that watch
	// the platform. They are the roots of the domain's forwarding tree.
	watchersPerDomain = 2
	// fanOut is the maximum number of children of a daemon in the forwarding
	// tree.
	fanOut = 4
)

// rankDaemons returns the daemons of a failure domain by descending rendezvous
// score. The first watchersPerDomain of them are the watchers.
func rankDaemons(daemons []ports.VM, domain ports.FailureDomain) []ports.DaemonID {
	var ranked []ports.DaemonID
	for _, daemon := range daemons {
		if daemon.Domain == domain {
			ranked = append(ranked, daemon.Name)
		}
	}
	slices.SortFunc(ranked, func(a, b ports.DaemonID) int {
		return cmp.Or(cmp.Compare(rendezvousScore(b), rendezvousScore(a)), cmp.Compare(a, b))
	})
	return ranked
}

func rendezvousScore(daemon ports.DaemonID) uint64 {
	return xxhash.Sum64String(configuration.ObjectName + "\x00" + string(daemon))
}

// isWatcher returns whether a daemon is one of the watchers.
func isWatcher(ranked []ports.DaemonID, daemon ports.DaemonID) bool {
	position := slices.Index(ranked, daemon)
	return position >= 0 && position < watchersPerDomain
}

// children returns the daemons that a daemon forwards revisions to: its
// children in the tree and, for a watcher, the other watchers.
func children(ranked []ports.DaemonID, daemon ports.DaemonID) []ports.DaemonID {
	position := slices.Index(ranked, daemon)
	if position < 0 {
		return nil
	}
	firstChild := watchersPerDomain + position*fanOut
	result := slices.Clone(ranked[min(firstChild, len(ranked)):min(firstChild+fanOut, len(ranked))])
	if position < watchersPerDomain {
		result = append(result, otherWatchers(ranked, daemon)...)
	}
	return result
}

// otherWatchers returns the watchers except for the given daemon.
func otherWatchers(ranked []ports.DaemonID, excluded ports.DaemonID) []ports.DaemonID {
	watchers := slices.Clone(ranked[:min(watchersPerDomain, len(ranked))])
	return slices.DeleteFunc(watchers, func(daemon ports.DaemonID) bool { return daemon == excluded })
}
