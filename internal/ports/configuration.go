package ports

import (
	"context"
	"fmt"

	"hawthornstream/internal/core/configuration"
)

// Configuration is one validated revision of the configuration document.
type Configuration = configuration.Revision

// RevisionFeed reads accepted revisions of the configuration from the platform.
type RevisionFeed interface {
	// Newest returns the newest accepted revision. It fails with
	// *ObjectNotFoundError, *PlatformUnavailableError or
	// *configuration.CorruptChainError.
	Newest(ctx context.Context) (RevisionUpdate, error)
	// Await blocks until a version above seen exists, or until the platform ends
	// the wait; the update then has version seen and no revision. If the platform
	// can't tell what changed since seen, as in a new era, Await returns the newest
	// revision, which may be older than one returned before. It fails with the
	// errors of Newest.
	Await(ctx context.Context, seen StoreVersion) (RevisionUpdate, error)
}

// RevisionUpdate is the result of one read of a RevisionFeed.
type RevisionUpdate struct {
	// Version is the version of the value that the feed read. A corrupt value has
	// a version too.
	Version StoreVersion
	// Revision is nil if there is nothing new.
	Revision *Configuration
}

// ConfigurationEditor changes the configuration that the platform stores.
type ConfigurationEditor interface {
	// Apply stores a document as the next revision. If an edit with the same
	// apply ID was already accepted, it returns the summary of that revision. It
	// fails with *configuration.InvalidDocumentError,
	// *configuration.ConflictError, *configuration.ChainTooLargeError or
	// *ApplyIDReusedError, with *PlatformUnavailableError if nothing was written,
	// or with *EditOutcomeUnknownError.
	Apply(ctx context.Context, edit configuration.Edit) (configuration.RevisionSummary, error)
	// EditStops stores a change of the planned stops as the next revision,
	// whichever revision is current. It fails with the errors of Apply.
	EditStops(ctx context.Context, edit StopsEdit) (configuration.RevisionSummary, error)
	// Chain reads the stored revision chain from the platform. It fails with
	// *PlatformUnavailableError or *configuration.CorruptChainError.
	Chain(ctx context.Context) (configuration.Chain, error)
}

// StopsEdit is one attempt to change the planned stops.
type StopsEdit struct {
	// ApplyID identifies the attempt and makes it idempotent.
	ApplyID string
	Author  string
	// Change returns the new list for the current one. It may be called more than
	// once.
	Change func(stops []configuration.PlannedStop) ([]configuration.PlannedStop, error)
}

// EditOutcomeUnknownError reports that an edit may or may not have been accepted.
// Repeating it with the same apply ID and base is safe.
type EditOutcomeUnknownError struct {
	ApplyID string
	Cause   error
}

// Error implements error.
func (e *EditOutcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown whether edit %s was accepted: %v", e.ApplyID, e.Cause)
}

// Unwrap returns the cause.
func (e *EditOutcomeUnknownError) Unwrap() error {
	return e.Cause
}

// ApplyIDReusedError reports that a different document was accepted under the
// same apply ID.
type ApplyIDReusedError struct {
	ApplyID string
	// Number is the revision number of that document.
	Number configuration.RevisionNumber
}

// Error implements error.
func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("apply ID %s stands for another document, accepted as revision %d", e.ApplyID, e.Number)
}
