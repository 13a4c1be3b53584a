package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// maxRecordDelay is the longest time after which a daemon records a version that the
	// list shows. The delay is random, so that most daemons find the record written.
	maxRecordDelay = 300 * time.Millisecond
	// recordInterval is the least time between two readings of the records, to change
	// them.
	recordInterval = 500 * time.Millisecond
)

const (
	// eventVersionsUnread is the log event of evidence that was not read.
	eventVersionsUnread = "stream-versions-unread"
	// eventVersionsRecorded is the log event of a record that was changed, and
	// eventVersionsUnrecorded that of one that could not be.
	eventVersionsRecorded   = "stream-versions-recorded"
	eventVersionsUnrecorded = "stream-versions-unrecorded"
)

// MixedErasError reports that the list of servers and the records are from different eras
// of the store.
type MixedErasError struct {
	Listed, Stored uint64
}

// Error implements error.
func (e *MixedErasError) Error() string {
	return fmt.Sprintf("the servers were listed in era %d and the records read in era %d", e.Listed, e.Stored)
}

// coreRecord returns the record of a service as internal/core/streamorigin has it.
func coreRecord(stored ports.StoredVersionRecords, service ports.ServiceName) streamorigin.Record {
	record, found := stored.Records[service]
	return streamorigin.Record{
		Found: found, Versions: record.SoftwareVersions, IsComplete: record.IsComplete, Era: record.Era,
	}
}

// observeVersions records which software versions the list of servers shows now. The
// caller holds the mutex.
func (m *Manager) observeVersions(now time.Time, isFresh bool) {
	list := m.listDigest()
	if m.lists.feed != nil && list.StoreVersion() == (ports.StoreVersion{}) {
		return
	}
	needsRecord := false
	for service, pool := range m.pools {
		view, ok := m.versionViews[service]
		if !ok {
			view = streamorigin.NewVersionView()
			m.versionViews[service] = view
		}
		versions := pool.SoftwareVersions()
		view.Observe(now, streamorigin.ListObservation{Versions: versions, Era: list.Era, Fresh: isFresh})
		m.checkpoints.observeVersions(now, service, versions, m.severalVersions(now, service))
		needsRecord = needsRecord || view.NeedsRecord(now)
	}
	if needsRecord && m.versions.records != nil && m.keepsRecords(now) {
		signal(m.versions.recordsDue)
	}
}

// keepsRecords reports whether this daemon keeps what follows from the list at the
// platform: if it watches the list there, or until one does as the first of its failure
// domain.
func (m *Manager) keepsRecords(now time.Time) bool {
	if m.listDigest().Watching {
		return true
	}
	return m.lists.isStarting(now) && rankInDomain(m.directory.Self(), m.directory.Daemons()) == 0
}

// isStarting reports whether the other daemons may be unknown.
func (l *listExchange) isStarting(now time.Time) bool {
	return now.Sub(l.startedAt) < l.startupPeriod
}

// keepVersionRecords changes the records in the store when that is due, until the manager
// stops.
func (m *Manager) keepVersionRecords() {
	for {
		select {
		case <-m.versions.ctx.Done():
			return
		case <-m.versions.recordsDue:
		}
		delay := time.Duration(rand.Float64() * float64(maxRecordDelay))
		// Most daemons need not record anything once they know the others.
		delay += max(0, membership.DiscoveryPeriod-time.Since(m.lists.startedAt))
		pause.For(m.versions.ctx, delay)
		if !m.keepsRecords(time.Now()) {
			continue
		}
		err := m.updateVersionRecords()
		if err != nil && m.versions.ctx.Err() == nil && m.limiter.Allow(eventVersionsUnrecorded, "") {
			m.logger.Warn().Str("event", eventVersionsUnrecorded).Err(err).Msg("")
		}
		pause.For(m.versions.ctx, recordInterval)
	}
}

// updateVersionRecords reads the records and writes those that have to be changed. What it
// leaves undone is due again at the next observation of the list.
func (m *Manager) updateVersionRecords() error {
	stored, err := m.versions.records.Records(m.versions.ctx)
	if err != nil {
		return err
	}
	additions, reductions := m.versionRecordChanges(stored)
	var errs []error
	for _, record := range additions {
		errs = append(errs, m.writeVersionRecord(record))
	}
	if len(reductions) == 0 {
		return errors.Join(errs...)
	}
	listed, err := m.versions.records.Listed(m.versions.ctx)
	if err != nil {
		return errors.Join(append(errs, err)...)
	}
	if listed.Era != stored.Era {
		return errors.Join(append(errs, &MixedErasError{Listed: listed.Era, Stored: stored.Era})...)
	}
	for _, record := range reductions {
		isListed := func(version string) bool { return slices.Contains(record.SoftwareVersions, version) }
		if !slices.ContainsFunc(listed.Versions[record.Service], func(v string) bool { return !isListed(v) }) {
			errs = append(errs, m.writeVersionRecord(record))
		}
	}
	return errors.Join(errs...)
}

// versionRecordChanges applies the records to what this daemon knows and returns those that
// have to be changed: additions leave all versions possible that were, reductions don't.
func (m *Manager) versionRecordChanges(stored ports.StoredVersionRecords) (additions, reductions []ports.VersionRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listDigest().Era != stored.Era {
		return nil, nil
	}
	now := time.Now()
	for service := range m.pools {
		view, ok := m.versionViews[service]
		if !ok {
			continue
		}
		record := coreRecord(stored, service)
		view.RecordRead(record, stored.Era)
		next, changes, rulesOut := view.Update(now, record)
		if !changes {
			continue
		}
		changed := ports.VersionRecord{
			Service: service, SoftwareVersions: next.Versions, IsComplete: next.IsComplete, Era: next.Era,
			Revision: stored.Records[service].Revision,
		}
		if rulesOut {
			reductions = append(reductions, changed)
		} else {
			additions = append(additions, changed)
		}
	}
	return additions, reductions
}

// writeVersionRecord writes a record. That another daemon was faster is no error.
func (m *Manager) writeVersionRecord(record ports.VersionRecord) error {
	written, era, err := m.versions.records.Write(m.versions.ctx, record)
	var conflict *ports.VersionRecordConflictError
	switch {
	case errors.As(err, &conflict):
		m.versionRecordCounter.Inc(string(record.Service), "conflict")
		return nil
	case err != nil:
		m.versionRecordCounter.Inc(string(record.Service), "failed")
		return err
	}
	m.versionRecordCounter.Inc(string(record.Service), "written")
	m.logger.Info().Str("event", eventVersionsRecorded).Str("service", string(record.Service)).
		Strs("softwareVersions", record.SoftwareVersions).Bool("complete", record.IsComplete).
		Uint64("era", record.Era).Uint64("revision", written.Revision).Msg("")
	m.mu.Lock()
	defer m.mu.Unlock()
	if view, ok := m.versionViews[record.Service]; ok {
		view.RecordRead(streamorigin.Record{
			Found: true, Versions: written.SoftwareVersions, IsComplete: written.IsComplete, Era: written.Era,
		}, era)
	}
	return nil
}
