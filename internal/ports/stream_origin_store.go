package ports

import "context"

// StreamOriginCheckpoint are the origins of the streams in progress at one daemon, as that
// daemon wrote them last.
type StreamOriginCheckpoint struct {
	Daemon  DaemonID
	Version StoreVersion
	Groups  []StreamOriginGroup
}

// StreamOriginStore keeps one checkpoint for each daemon on the platform, where it outlives
// all daemons. It is not safe for concurrent use.
type StreamOriginStore interface {
	// Read returns the checkpoints of all daemons, this one's own included, and the era of
	// the store. A cheap read may be seconds old.
	Read(ctx context.Context, cheap bool) ([]StreamOriginCheckpoint, uint64, error)
	// Write replaces this daemon's checkpoint and returns the era of the store.
	Write(ctx context.Context, groups []StreamOriginGroup) (uint64, error)
	// Remove removes the checkpoint of a daemon and returns the era of the store. If a
	// revision is given and the checkpoint has another one, it stays.
	Remove(ctx context.Context, daemon DaemonID, revision uint64) (uint64, error)
	// Era returns the newest era of the store that is known.
	Era() uint64
}
