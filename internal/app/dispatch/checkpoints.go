package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// minCheckpointReadDelay and maxCheckpointReadDelay limit the delay after a failed read
	// of the checkpoints.
	minCheckpointReadDelay = 100 * time.Millisecond
	maxCheckpointReadDelay = time.Second
	// checkpointStartupDelay is the time from the read to the first checkpoint. A daemon that
	// knows few others yet would take itself for a writer.
	checkpointStartupDelay = time.Second
)

// Log events of the checkpoints.
const (
	eventCheckpointsRead    = "stream-origins-read"
	eventCheckpointsNotRead = "stream-origins-not-read"
	eventCheckpointWritten  = "stream-origins-written"
	eventCheckpointFailed   = "stream-origins-not-written"
	eventCheckpointRemoved  = "stream-origins-removed"
)

// originCheckpoints keeps the origins of this daemon's streams in progress in the store
// while several software versions of their service may have streams in progress, and reads
// those of all daemons once at the start. The mutex guards the tables only.
type originCheckpoints struct {
	store     ports.StreamOriginStore
	directory ports.Directory
	transport ports.PeerTransport
	logger    *log.Logger
	limiter   *logging.Limiter
	scope     tally.Scope
	counter   *metrics.CounterVec
	// readBack counts the origins that were read at the start.
	readBack tally.Counter
	// loaded is closed once the checkpoints were read.
	loaded chan struct{}

	mu       sync.Mutex
	table    *streamorigin.Checkpoint
	restored *streamorigin.Table
	versions map[ports.ServiceName]*streamorigin.RecentVersions
	// several are the services of which the daemon knows several versions by other means.
	several map[ports.ServiceName]bool

	// sweeper and failures belong to run.
	sweeper  streamorigin.Sweeper
	failures int
}

// newOriginCheckpoints returns checkpoints in the store; without one, none are kept.
func newOriginCheckpoints(
	store ports.StreamOriginStore, directory ports.Directory, transport ports.PeerTransport, logger *log.Logger,
	limiter *logging.Limiter, scope tally.Scope,
) *originCheckpoints {
	c := &originCheckpoints{
		store: store, directory: directory, transport: transport, logger: logger, limiter: limiter, scope: scope,
		counter:  metrics.NewCounterVec(scope, "stream_origin_checkpoints", "result"),
		readBack: scope.Counter("stream_origins_read_back"),
		loaded:   make(chan struct{}),
		table:    streamorigin.NewCheckpoint(), restored: streamorigin.NewTable(streamorigin.MaxEntries),
		versions: make(map[ports.ServiceName]*streamorigin.RecentVersions), several: make(map[ports.ServiceName]bool),
	}
	if store == nil {
		close(c.loaded)
		return c
	}
	transport.Handle(ports.KindStreamOriginShare,
		func() ports.Message { return &ports.StreamOriginShare{} },
		func(from ports.DaemonID, message ports.Message) {
			c.handleShare(time.Now(), from, message.(*ports.StreamOriginShare))
		})
	return c
}

// run reads the checkpoints of all daemons and then keeps that of this daemon, until stop
// is closed. An earlier process of this daemon may have left one: it is not replaced
// before it was read.
func (c *originCheckpoints) run(stop <-chan struct{}) {
	if c.store == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	c.read(ctx)
	pause.For(ctx, withJitter(checkpointStartupDelay))
	for ctx.Err() == nil {
		writer, writers := c.writer()
		c.update(ctx, time.Now(), writer)
		pause.For(ctx, withJitter(streamorigin.CheckpointInterval(writers, c.failures)))
		if ctx.Err() != nil {
			return
		}
		c.sweep(ctx, time.Now())
	}
}

// read reads the checkpoints and retries until the store answers or the context ends.
func (c *originCheckpoints) read(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minCheckpointReadDelay, maxCheckpointReadDelay
	startedAt := time.Now()
	for ctx.Err() == nil {
		checkpoints, era, err := c.store.Read(ctx, false)
		if err == nil {
			c.restore(time.Now(), checkpoints, era, time.Since(startedAt))
			close(c.loaded)
			return
		}
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.table.Expire(time.Now())
		c.mu.Unlock()
		c.counter.Inc("not-read")
		c.logger.Warn().Str("event", eventCheckpointsNotRead).Err(err).Msg("")
		pause.For(ctx, retry.NextBackOff())
	}
}

// restore adds what all daemons have left in the store to the tables.
func (c *originCheckpoints) restore(
	now time.Time, checkpoints []ports.StreamOriginCheckpoint, era uint64, took time.Duration,
) {
	self := c.directory.Self().Name
	c.mu.Lock()
	var own int
	c.table.ObserveEra(era)
	for _, checkpoint := range checkpoints {
		entries := entriesOf(checkpoint.Groups)
		for _, entry := range entries {
			c.restored.Record(now, entry.Attempt, entry.Origin)
			c.versionsLocked(entry.Origin.Service).Observe(now, entry.Origin.SoftwareVersion)
		}
		if checkpoint.Daemon == self {
			c.table.Restore(now, entries)
			own = len(entries)
		}
	}
	total := c.restored.Len()
	c.mu.Unlock()
	c.sweeper.Sweep(now, storedCheckpoints(checkpoints), nil)
	c.readBack.Inc(int64(total))
	c.counter.Inc("read")
	c.logger.Info().Str("event", eventCheckpointsRead).Int("daemons", len(checkpoints)).Int("streams", total).
		Int("own", own).Float64("took", took.Seconds()).Msg("")
}

// writer returns the daemon that writes this daemon's checkpoint, and the number of writers.
func (c *originCheckpoints) writer() (ports.DaemonID, int) {
	daemons := c.directory.Daemons()
	return streamorigin.Writer(c.directory.Self(), placement.NewRendezvousHash(daemons), daemons)
}

// update writes or removes this daemon's checkpoint, or sends it to its writer, if that is
// due.
func (c *originCheckpoints) update(ctx context.Context, now time.Time, writer ports.DaemonID) {
	c.mu.Lock()
	c.table.ObserveEra(c.store.Era())
	action, entries := c.table.Next(now, c.severalLocked(now), writer == c.directory.Self().Name)
	c.mu.Unlock()
	switch action {
	case streamorigin.CheckpointShare:
		c.counter.Inc("shared")
		c.transport.Send(writer, &ports.StreamOriginShare{Groups: groupsOf(entries)})
	case streamorigin.CheckpointWrite:
		era, err := c.store.Write(ctx, groupsOf(entries))
		if c.recordResult(ctx, eventCheckpointWritten, "written", len(entries), err) {
			c.mu.Lock()
			c.table.RecordWritten(era, entries)
			c.mu.Unlock()
		}
	case streamorigin.CheckpointRemove:
		era, err := c.store.Remove(ctx, c.directory.Self().Name, 0)
		if c.recordResult(ctx, eventCheckpointRemoved, "removed", 0, err) {
			c.mu.Lock()
			c.table.RecordRemoved(era)
			c.mu.Unlock()
		}
	}
}

// recordResult counts and logs a write or removal, and reports whether it succeeded.
func (c *originCheckpoints) recordResult(ctx context.Context, event, result string, streams int, err error) bool {
	if err != nil {
		if ctx.Err() == nil {
			c.failures++
			c.counter.Inc("failed")
			c.logger.Warn().Str("event", eventCheckpointFailed).Str("action", result).Err(err).Msg("")
		}
		return false
	}
	c.failures = 0
	c.counter.Inc(result)
	if c.limiter.Allow(event, "") {
		c.logger.Info().Str("event", event).Str("daemon", string(c.directory.Self().Name)).Int("streams", streams).Msg("")
	}
	return true
}

// handleShare takes over the streams of another daemon.
func (c *originCheckpoints) handleShare(now time.Time, from ports.DaemonID, message *ports.StreamOriginShare) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.AddShare(now, from, entriesOf(message.Groups))
}

// sweep removes the checkpoints of daemons that are gone, if that is due.
func (c *originCheckpoints) sweep(ctx context.Context, now time.Time) {
	c.mu.Lock()
	isSeveral := len(c.severalLocked(now)) > 0
	c.mu.Unlock()
	daemons := c.directory.Daemons()
	if !c.sweeper.Due(now, c.directory.Self().Name, daemons, isSeveral) {
		return
	}
	checkpoints, _, err := c.store.Read(ctx, true)
	if err != nil {
		c.recordResult(ctx, eventCheckpointRemoved, "swept", 0, err)
		return
	}
	for _, abandoned := range c.sweeper.Sweep(now, storedCheckpoints(checkpoints), daemons) {
		_, err := c.store.Remove(ctx, abandoned.Daemon, abandoned.Version.Revision)
		if c.recordResult(ctx, eventCheckpointRemoved, "swept", 0, err) {
			c.logger.Info().Str("event", eventCheckpointRemoved).Str("daemon", string(abandoned.Daemon)).Msg("")
		}
	}
}

// observeVersions records the software versions of the servers of a service, and whether
// streams of several may be in progress, which a record may tell of versions that have left.
func (c *originCheckpoints) observeVersions(now time.Time, service ports.ServiceName, versions []string, several bool) {
	if c.store == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionsLocked(service).Observe(now, versions...)
	c.several[service] = several
}

func (c *originCheckpoints) versionsLocked(service ports.ServiceName) *streamorigin.RecentVersions {
	versions, ok := c.versions[service]
	if !ok {
		versions = &streamorigin.RecentVersions{}
		c.versions[service] = versions
	}
	return versions
}

// severalLocked returns the services of which streams of several versions may be in
// progress.
func (c *originCheckpoints) severalLocked(now time.Time) map[ports.ServiceName]bool {
	several := make(map[ports.ServiceName]bool)
	for service, versions := range c.versions {
		if versions.AreSeveral(now) || c.several[service] {
			several[service] = true
		}
	}
	return several
}

// recordEvent records that the call has got the first event from a server.
func (c *originCheckpoints) recordEvent(now time.Time, call *ports.Call, origin streamorigin.Origin) {
	attempt, ok := streamAttempt(call)
	if c.store == nil || !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Begin(now, attempt, origin)
}

// recordEnd records that a run of the call that brought events has ended.
func (c *originCheckpoints) recordEnd(now time.Time, call *ports.Call, isWhole bool) {
	attempt, ok := streamAttempt(call)
	if c.store == nil || !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isWhole {
		c.table.Complete(attempt)
		return
	}
	c.table.Break(now, attempt)
}

// lookUp returns the origin of the stream that an attempt began, if a checkpoint had it.
func (c *originCheckpoints) lookUp(now time.Time, attempt streamorigin.AttemptKey) (streamorigin.Origin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.LookUp(now, attempt)
}

// streamAttempt returns the attempt that began the stream of the call. It returns false if
// the stream can't be resumed, or if the caller doesn't name that attempt.
func streamAttempt(call *ports.Call) (streamorigin.AttemptKey, bool) {
	switch {
	case !call.Resumable:
		return 0, false
	case call.Resumes != "":
		return streamorigin.KeyOf(call.Resumes), true
	case call.IsResumption() && len(call.FailedServers) == 0:
		return 0, false
	default:
		return streamorigin.KeyOf(call.ID), true
	}
}

// groupsOf groups the entries by their origin; the order of the entries stays within each
// group.
func groupsOf(entries []streamorigin.CheckpointEntry) []ports.StreamOriginGroup {
	var groups []ports.StreamOriginGroup
	index := make(map[streamorigin.Origin]int)
	for _, entry := range entries {
		at, ok := index[entry.Origin]
		if !ok {
			at = len(groups)
			index[entry.Origin] = at
			groups = append(groups, ports.StreamOriginGroup{Service: entry.Origin.Service, SoftwareVersion: entry.Origin.SoftwareVersion})
		}
		groups[at].Attempts = append(groups[at].Attempts, uint64(entry.Attempt))
	}
	return groups
}

func entriesOf(groups []ports.StreamOriginGroup) []streamorigin.CheckpointEntry {
	var entries []streamorigin.CheckpointEntry
	for _, group := range groups {
		origin := streamorigin.Origin{Service: group.Service, SoftwareVersion: group.SoftwareVersion}
		for _, attempt := range group.Attempts {
			entries = append(entries, streamorigin.CheckpointEntry{Attempt: streamorigin.AttemptKey(attempt), Origin: origin})
		}
	}
	return entries
}

func storedCheckpoints(checkpoints []ports.StreamOriginCheckpoint) []streamorigin.StoredCheckpoint {
	stored := make([]streamorigin.StoredCheckpoint, 0, len(checkpoints))
	for _, checkpoint := range checkpoints {
		stored = append(stored, streamorigin.StoredCheckpoint{Daemon: checkpoint.Daemon, Version: checkpoint.Version})
	}
	return stored
}
