package streamorigin

import (
	"cmp"
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

// CheckpointInterval returns the time until a daemon's next checkpoint in a fleet of the
// given size, after the given number of failed writes in a row.
func CheckpointInterval(daemons, failures int) time.Duration {
	interval := max(MinCheckpointInterval, time.Duration(daemons)*time.Second/maxCheckpointRate)
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
)

// Checkpoint holds the resumable streams of one daemon and decides what of them the
// daemon's checkpoint in the store contains. Streams are included while they are in
// progress, and for ResumptionPeriod after they broke. It is not safe for concurrent use.
type Checkpoint struct {
	streams map[AttemptKey]*checkpointStream
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
	// written is true if the checkpoint in the store contains the stream.
	written bool
}

// NewCheckpoint returns a checkpoint without streams.
func NewCheckpoint() *Checkpoint {
	return &Checkpoint{streams: make(map[AttemptKey]*checkpointStream)}
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
func (c *Checkpoint) Restore(now time.Time, records []CheckpointEntry) {
	c.stored, c.wasStored = true, true
	for _, r := range records {
		if _, ok := c.streams[r.Attempt]; !ok {
			c.streams[r.Attempt] = &checkpointStream{origin: r.Origin, beganAt: now, brokenAt: now, written: true}
		}
	}
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
	for _, s := range c.streams {
		s.written = false
	}
}

// Next returns what to do with the checkpoint in the store, and its content for a write:
// the streams of the services that may have several software versions in progress, the
// newest first. A write is due when the store lacks one of them. The checkpoint is removed
// when there is no such service any more and its streams have ended.
func (c *Checkpoint) Next(now time.Time, several map[ports.ServiceName]bool) (CheckpointAction, []CheckpointEntry) {
	c.Expire(now)
	var included []AttemptKey
	isNeeded, isDue := len(several) > 0, false
	for key, s := range c.streams {
		isNeeded = isNeeded || s.written
		if several[s.origin.Service] {
			included = append(included, key)
			isDue = isDue || !s.written
		}
	}
	switch {
	case c.stored && !isNeeded:
		return CheckpointRemove, nil
	case !isDue:
		return CheckpointKeep, nil
	}
	slices.SortFunc(included, func(a, b AttemptKey) int {
		return cmp.Or(c.streams[b].beganAt.Compare(c.streams[a].beganAt), cmp.Compare(a, b))
	})
	included = included[:min(len(included), MaxCheckpointStreams)]
	records := make([]CheckpointEntry, 0, len(included))
	for _, key := range included {
		records = append(records, CheckpointEntry{Attempt: key, Origin: c.streams[key].origin})
	}
	return CheckpointWrite, records
}

// RecordWritten records that the store holds the records, as of an era.
func (c *Checkpoint) RecordWritten(era uint64, records []CheckpointEntry) {
	c.ObserveEra(era)
	c.stored, c.wasStored = true, true
	for _, s := range c.streams {
		s.written = false
	}
	for _, r := range records {
		if s, ok := c.streams[r.Attempt]; ok && era == c.era {
			s.written = true
		}
	}
}

// RecordRemoved records that the store holds no checkpoint of this daemon.
func (c *Checkpoint) RecordRemoved(era uint64) {
	c.ObserveEra(era)
	c.stored = era < c.era
	for _, s := range c.streams {
		s.written = false
	}
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
}
