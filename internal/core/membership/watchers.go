package membership

import "time"

const (
	// DiscoveryPeriod is how long after its start a daemon may know only itself: those that
	// start with it register meanwhile, and it has listed them twice by then.
	DiscoveryPeriod = 1500 * time.Millisecond
	// SettlingPeriod is how long after its start a daemon may know only a part of the fleet.
	SettlingPeriod = 5 * time.Second
)

// WatchPolicy decides which daemons of a fleet watch an object of the platform: every
// watch counts as a call there, and the others are told by those that watch.
//
// Load pattern: all daemons start at once, without memory, and know each other only from
// what the platform lists. Whatever changes next has to reach them all.
type WatchPolicy struct {
	// MaxAllWatching is the size of the largest fleet in which each daemon watches, and
	// PerDomain the number of daemons of a failure domain that do so in a larger one.
	MaxAllWatching, PerDomain int
}

// IsWatcher reports whether a daemon watches that started sinceStart ago and knows so many
// daemons, itself included, of which rank in its failure domain precede it. A daemon that
// knows only a part of them ranks itself too high, so that of those that start together one
// at least watches in each failure domain, and few more do.
func (p WatchPolicy) IsWatcher(sinceStart time.Duration, daemons, rank int) bool {
	switch {
	case sinceStart < DiscoveryPeriod:
		return daemons > 1 && rank <= 0
	case sinceStart < SettlingPeriod:
		return rank <= 0
	default:
		return daemons <= p.MaxAllWatching || rank < p.PerDomain
	}
}
