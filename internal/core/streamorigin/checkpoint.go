package streamorigin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// MinCheckpointInterval is the least time between two checkpoints of a daemon, and
	// maxCheckpointRate the number of checkpoints per second of the whole fleet.
	MinCheckpointInterval = 250 * time.Millisecond
	maxCheckpointRate     = 50
	// maxCheckpointBackoff limits the factor by which failed writes lengthen the interval.
	maxCheckpointBackoff = 8
	// ResumptionPeriod is how long a stream that broke is kept in the checkpoints: its
	// caller may still resume it.
	ResumptionPeriod = 15 * time.Second
	// MaxCheckpointStreams is the maximum number of streams in a checkpoint.
	MaxCheckpointStreams = 1 << 13
)

// CheckpointInterval returns the time until a daemon's next checkpoint in a fleet with the
// given number of writers, after the given number of failed writes in a row.
func CheckpointInterval(writers, failures int) time.Duration {
	interval := max(MinCheckpointInterval, time.Duration(writers)*time.Second/maxCheckpointRate)
	return interval * time.Duration(min(1<<min(failures, 8), maxCheckpointBackoff))
}

// CheckpointEntry is the origin of the stream that an attempt began.
type CheckpointEntry struct {
	Attempt AttemptKey
	Origin  Origin
}

// CheckpointAction is what a daemon does with its checkpoint in the store.
type CheckpointAction uint8

// Values of CheckpointAction.
const (
	// CheckpointKeep leaves the checkpoint as it is.
	CheckpointKeep CheckpointAction = iota
	// CheckpointWrite replaces the checkpoint.
	CheckpointWrite
	// CheckpointRemove removes the checkpoint.
	CheckpointRemove
	// CheckpointShare sends the streams to the daemon's writer.
	CheckpointShare
)

// Checkpoint holds the resumable streams of one daemon and decides what of them the
// daemon's checkpoint in the store contains. Streams are included while they are in
// progress, and for ResumptionPeriod after they broke. A writer's checkpoint also contains
// the streams of the daemons that it writes for, for ResumptionPeriod after it last heard of
// them. It is not safe for concurrent use.
type Checkpoint struct {
	streams map[AttemptKey]*checkpointStream
	shares  map[ports.DaemonID]checkpointShare
	// written are the streams that the checkpoint in the store contains.
	written map[AttemptKey]bool
	// stored is true if the store may hold a checkpoint of this daemon, and wasStored if it
	// ever held one.
	stored, wasStored bool
	era               uint64
}

type checkpointStream struct {
	origin  Origin
	beganAt time.Time
	// brokenAt is when the stream broke; zero while it is in progress.
	brokenAt time.Time
}

// checkpointShare are the streams of a daemon that this one writes for.
type checkpointShare struct {
	streams    map[AttemptKey]*checkpointStream
	receivedAt time.Time
}

// NewCheckpoint returns a checkpoint without streams.
func NewCheckpoint() *Checkpoint {
	return &Checkpoint{
		streams: make(map[AttemptKey]*checkpointStream), shares: make(map[ports.DaemonID]checkpointShare),
		written: make(map[AttemptKey]bool),
	}
}

// Begin records that a stream has begun or goes on here.
func (c *Checkpoint) Begin(now time.Time, attempt AttemptKey, origin Origin) {
	if known, ok := c.streams[attempt]; ok {
		known.brokenAt = time.Time{}
		return
	}
	c.streams[attempt] = &checkpointStream{origin: origin, beganAt: now}
}

// Complete records that the caller has got the whole stream.
func (c *Checkpoint) Complete(attempt AttemptKey) {
	delete(c.streams, attempt)
}

// Break records that a stream has ended here without its end.
func (c *Checkpoint) Break(now time.Time, attempt AttemptKey) {
	if known, ok := c.streams[attempt]; ok && known.brokenAt.IsZero() {
		known.brokenAt = now
	}
}

// Restore adds the streams in the checkpoint that an earlier process of this daemon has
// left in the store: they broke when that process ended.
func (c *Checkpoint) Restore(now time.Time, entries []CheckpointEntry) {
	c.stored, c.wasStored = true, true
	for _, entry := range entries {
		if _, ok := c.streams[entry.Attempt]; !ok {
			c.streams[entry.Attempt] = &checkpointStream{origin: entry.Origin, beganAt: now, brokenAt: now}
		}
		c.written[entry.Attempt] = true
	}
}

// AddShare replaces the streams of another daemon for which this one writes.
func (c *Checkpoint) AddShare(now time.Time, from ports.DaemonID, entries []CheckpointEntry) {
	earlier := c.shares[from].streams
	share := checkpointShare{streams: make(map[AttemptKey]*checkpointStream, len(entries)), receivedAt: now}
	for _, entry := range entries[:min(len(entries), MaxCheckpointStreams)] {
		stream, known := earlier[entry.Attempt]
		if !known {
			stream = &checkpointStream{origin: entry.Origin, beganAt: now}
		}
		share.streams[entry.Attempt] = stream
	}
	c.shares[from] = share
}

// ObserveEra records the era of the store. The copy from which it was restored may lack
// the checkpoint or hold one that was removed.
func (c *Checkpoint) ObserveEra(era uint64) {
	if era <= c.era {
		return
	}
	isRestored := c.era > 0
	c.era = era
	if !isRestored {
		return
	}
	c.stored = c.wasStored
	clear(c.written)
}

// Next returns what to do with the checkpoint, and the streams for a write or a share: those
// of the services that may have several software versions in progress, the newest first. A
// write is due when the store lacks one of them. A daemon that is no writer shares them each
// time, since messages may be lost. The checkpoint in the store is removed when its streams
// have ended, and no service has several versions or another daemon writes.
func (c *Checkpoint) Next(now time.Time, several map[ports.ServiceName]bool, isWriter bool) (CheckpointAction, []CheckpointEntry) {
	c.Expire(now)
	included := make(map[AttemptKey]*checkpointStream)
	isNeeded, isDue := isWriter && len(several) > 0, false
	include := func(streams map[AttemptKey]*checkpointStream) {
		for key, s := range streams {
			isNeeded = isNeeded || c.written[key]
			if several[s.origin.Service] {
				included[key] = s
				isDue = isDue || !c.written[key]
			}
		}
	}
	include(c.streams)
	if isWriter {
		for _, share := range c.shares {
			include(share.streams)
		}
	}
	switch {
	case c.stored && !isNeeded:
		return CheckpointRemove, nil
	case isWriter && isDue:
		// The write may take effect although it fails.
		c.stored, c.wasStored = true, true
		return CheckpointWrite, newestEntries(included)
	case !isWriter && len(included) > 0:
		return CheckpointShare, newestEntries(included)
	}
	return CheckpointKeep, nil
}

// newestEntries returns the streams that began last, at most MaxCheckpointStreams.
func newestEntries(streams map[AttemptKey]*checkpointStream) []CheckpointEntry {
	keys := slices.SortedFunc(maps.Keys(streams), func(a, b AttemptKey) int {
		return cmp.Or(streams[b].beganAt.Compare(streams[a].beganAt), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), MaxCheckpointStreams)]
	entries := make([]CheckpointEntry, 0, len(keys))
	for _, key := range keys {
		entries = append(entries, CheckpointEntry{Attempt: key, Origin: streams[key].origin})
	}
	return entries
}

// RecordWritten records that the store holds the entries, as of an era.
func (c *Checkpoint) RecordWritten(era uint64, entries []CheckpointEntry) {
	c.ObserveEra(era)
	clear(c.written)
	if era < c.era {
		return
	}
	for _, entry := range entries {
		c.written[entry.Attempt] = true
	}
}

// RecordRemoved records that the store holds no checkpoint of this daemon.
func (c *Checkpoint) RecordRemoved(era uint64) {
	c.ObserveEra(era)
	c.stored = era < c.era
	clear(c.written)
}

// Len returns the number of streams.
func (c *Checkpoint) Len() int {
	return len(c.streams)
}

// Expire drops the streams that no caller resumes any more.
func (c *Checkpoint) Expire(now time.Time) {
	for key, s := range c.streams {
		isOver := !s.brokenAt.IsZero() && now.Sub(s.brokenAt) >= ResumptionPeriod
		if isOver || now.Sub(s.beganAt) >= Lifetime {
			delete(c.streams, key)
		}
	}
	maps.DeleteFunc(c.shares, func(_ ports.DaemonID, share checkpointShare) bool {
		return now.Sub(share.receivedAt) >= ResumptionPeriod
	})
}
