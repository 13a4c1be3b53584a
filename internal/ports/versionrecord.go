package ports

import (
	"context"
	"fmt"
)

// VersionRecord is what the platform's store keeps about the streams in progress of one
// service, so that it outlives all daemons.
type VersionRecord struct {
	Service ServiceName
	// SoftwareVersions are those that may have begun a stream in progress, in ascending
	// order.
	SoftwareVersions []string
	// IsComplete is true if no other version was possible in Era of the store.
	IsComplete bool
	Era        uint64
	// Revision is that of the record's last change; zero if it is not stored.
	Revision uint64
}

// StoredVersionRecords are the records of all services as they were read at once.
type StoredVersionRecords struct {
	Records map[ServiceName]VersionRecord
	// Era is the era of the store in which they were read.
	Era uint64
}

// ListedSoftwareVersions are the distinct software versions of the backend servers of each
// service that the platform lists, leaving ones included.
type ListedSoftwareVersions struct {
	Versions map[ServiceName][]string
	// Era is the era of the store in which they were read.
	Era uint64
}

// VersionRecords is the platform's store of version records. What it returns was true at
// some time between the call and the return. All methods fail with
// *PlatformUnavailableError.
type VersionRecords interface {
	// Listed reads the software versions of the servers.
	Listed(ctx context.Context) (ListedSoftwareVersions, error)
	// Records reads the records.
	Records(ctx context.Context) (StoredVersionRecords, error)
	// Write creates a record without a revision, or replaces the one of that revision. It
	// fails with *VersionRecordConflictError if another daemon was faster. It returns the
	// record as stored, and the era of the store in which it was written.
	Write(ctx context.Context, record VersionRecord) (VersionRecord, uint64, error)
}

// VersionRecordConflictError reports that a record was not written, since the store has
// another revision of it.
type VersionRecordConflictError struct {
	Service ServiceName
}

// Error implements error.
func (e *VersionRecordConflictError) Error() string {
	return fmt.Sprintf("the version record of service %q was changed by another daemon", e.Service)
}
