package dispatch

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// evidenceTimeout limits a read of the evidence, and maxEvidenceWait the wait of a
	// resumption for it, which is also limited to maxOriginWaitFraction of the time that
	// the call has left.
	evidenceTimeout = 500 * time.Millisecond
	maxEvidenceWait = 700 * time.Millisecond
	// minEvidenceInterval is the least time between the begins of two reads, and
	// evidenceIntervalPerDaemon that time in a larger fleet for each of its daemons: each
	// read costs two of the requests that the store takes from all of them together.
	minEvidenceInterval       = 150 * time.Millisecond
	evidenceIntervalPerDaemon = 2 * time.Millisecond
)

// evidenceInterval returns the least time between the begins of two reads in a fleet.
func evidenceInterval(daemons int) time.Duration {
	return max(minEvidenceInterval, time.Duration(daemons)*evidenceIntervalPerDaemon)
}

// versionExchange reads at the platform's store at which software versions streams may be
// in progress. No other lock is taken while its mutex is held.
type versionExchange struct {
	// records may be nil: no stream of unknown origin goes on then.
	records ports.VersionRecords
	// ctx ends when the manager stops.
	ctx  context.Context
	stop context.CancelFunc
	// requested is signalled when next is no longer nil.
	requested chan struct{}
	// recordsDue is signalled when the records have to be read and perhaps changed.
	recordsDue chan struct{}

	mu sync.Mutex
	// next is the next read, for all resumptions that arrive before it begins.
	next *evidenceRead
}

// evidenceRead is one read of the evidence about all services.
type evidenceRead struct {
	// done is closed when the fields below are set.
	done   chan struct{}
	listed ports.ListedSoftwareVersions
	stored ports.StoredVersionRecords
	err    error
}

func newVersionExchange(records ports.VersionRecords) *versionExchange {
	ctx, stop := context.WithCancel(context.Background())
	return &versionExchange{
		records: records, ctx: ctx, stop: stop,
		requested: make(chan struct{}, 1), recordsDue: make(chan struct{}, 1),
	}
}

// run makes the reads that are requested until the exchange is stopped.
func (e *versionExchange) run(directory ports.Directory, onRead func(*evidenceRead)) {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.requested:
		}
		e.mu.Lock()
		read := e.next
		e.next = nil
		e.mu.Unlock()
		if read == nil {
			continue
		}
		startedAt := time.Now()
		read.perform(e.ctx, e.records)
		onRead(read)
		close(read.done)
		pause.For(e.ctx, evidenceInterval(len(directory.Daemons()))-time.Since(startedAt))
	}
}

// perform reads the list and the records at the same time.
func (r *evidenceRead) perform(ctx context.Context, records ports.VersionRecords) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	var listErr error
	var reads sync.WaitGroup
	reads.Go(func() { r.listed, listErr = records.Listed(ctx) })
	r.stored, r.err = records.Records(ctx)
	reads.Wait()
	switch {
	case listErr != nil:
		r.err = listErr
	case r.err == nil && r.listed.Era != r.stored.Era:
		r.err = &MixedErasError{Listed: r.listed.Era, Stored: r.stored.Era}
	}
}

// read returns a read that began after the call of read. It returns false if that did not
// succeed in time.
func (e *versionExchange) read(ctx context.Context, timeLeft time.Duration) (*evidenceRead, bool) {
	e.mu.Lock()
	if e.next == nil {
		e.next = &evidenceRead{done: make(chan struct{})}
	}
	read := e.next
	e.mu.Unlock()
	signal(e.requested)
	timer := time.NewTimer(min(maxEvidenceWait, time.Duration(maxOriginWaitFraction*float64(timeLeft))))
	defer timer.Stop()
	select {
	case <-read.done:
		return read, read.err == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, false
}

// signal wakes the receiver of a channel that has room for one value.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// evidenceOn returns what the read tells about a service.
func (r *evidenceRead) evidenceOn(service ports.ServiceName) streamorigin.VersionEvidence {
	return streamorigin.VersionEvidence{
		IsRead: true, Era: r.stored.Era, Listed: r.listed.Versions[service], Record: coreRecord(r.stored, service),
	}
}

// versionEvidence returns the versions at which streams of the call's service may be in
// progress. The store is not read if this daemon knows several.
func (m *Manager) versionEvidence(ctx context.Context, call *ports.Call) streamorigin.VersionEvidence {
	var evidence streamorigin.VersionEvidence
	m.mu.Lock()
	hasSeveral := m.severalVersions(time.Now(), call.Service)
	m.mu.Unlock()
	if !hasSeveral && m.versions.records != nil {
		if read, ok := m.versions.read(ctx, time.Until(call.Deadline)); ok {
			evidence = read.evidenceOn(call.Service)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	evidence.Known = m.possibleVersions(time.Now(), call.Service)
	return evidence
}

// applyEvidence applies a read to what this daemon knows.
func (m *Manager) applyEvidence(read *evidenceRead) {
	if read.err != nil {
		m.evidenceCounter.Inc("failed")
		if m.limiter.Allow(eventVersionsUnread, "") {
			m.logger.Warn().Str("event", eventVersionsUnread).Err(read.err).Msg("")
		}
		return
	}
	m.evidenceCounter.Inc("read")
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, view := range m.versionViews {
		view.RecordRead(coreRecord(read.stored, service), read.stored.Era)
	}
}

// possibleVersions returns the software versions at which streams of a service may be in
// progress, as far as this daemon knows. The caller holds the mutex.
func (m *Manager) possibleVersions(now time.Time, service ports.ServiceName) []string {
	if view, ok := m.versionViews[service]; ok {
		return view.Possible(now)
	}
	return nil
}

// severalVersions reports whether streams of several software versions of a service may be
// in progress, as far as this daemon knows. The caller holds the mutex.
func (m *Manager) severalVersions(now time.Time, service ports.ServiceName) bool {
	return len(m.possibleVersions(now, service)) > 1
}
