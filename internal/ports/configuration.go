package ports

import (
	"context"
	"fmt"

	"hawthornstream/internal/core/configuration"
)

// Configuration is one revision of the configuration document, checked.
type Configuration = configuration.Revision

// RevisionFeed gives the accepted revisions of the configuration.
type RevisionFeed interface {
	// Newest returns the newest accepted revision. It fails with
	// *ObjectNotFoundError, *PlatformUnavailableError or
	// *configuration.CorruptChainError.
	Newest(ctx context.Context) (RevisionUpdate, error)
	// Await waits until a version above seen exists, or until the platform ends
	// the wait: the update then has the version seen and no revision. It fails
	// as Newest does.
	Await(ctx context.Context, seen ObjectVersion) (RevisionUpdate, error)
}

// RevisionUpdate is what a feed tells.
type RevisionUpdate struct {
	// Version numbers what the feed has read; a corrupt value has one too.
	Version ObjectVersion
	// Revision is nil when there is nothing new.
	Revision *Configuration
}

// ConfigurationEditor changes the configuration at the platform.
type ConfigurationEditor interface {
	// Apply accepts a document as the next revision. An edit whose apply ID was
	// already accepted returns that revision's summary again. It fails with
	// *configuration.InvalidDocumentError, *configuration.ConflictError,
	// *configuration.ChainTooLargeError or *ApplyIDReusedError, with
	// *PlatformUnavailableError when nothing was written, or with
	// *EditOutcomeUnknownError.
	Apply(ctx context.Context, edit configuration.Edit) (configuration.RevisionSummary, error)
	// EditStops accepts a change of the planned stops as the next revision,
	// whatever the current one is. It fails as Apply does.
	EditStops(ctx context.Context, edit StopsEdit) (configuration.RevisionSummary, error)
	// Chain reads the revision chain from the platform. It fails with
	// *PlatformUnavailableError or *configuration.CorruptChainError.
	Chain(ctx context.Context) (configuration.Chain, error)
}

// StopsEdit is one attempt to change the planned stops.
type StopsEdit struct {
	// ApplyID identifies the attempt.
	ApplyID string
	Author  string
	// Change returns the new list. It may be called more than once.
	Change func(stops []configuration.PlannedStop) ([]configuration.PlannedStop, error)
}

// EditOutcomeUnknownError says that it can't be known whether an edit was
// accepted. Repeating it with the same apply ID and base is safe.
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

// ApplyIDReusedError says that another document was accepted under the apply ID.
type ApplyIDReusedError struct {
	ApplyID string
	// Number is the revision of the other document.
	Number configuration.RevisionNumber
}

// Error implements error.
func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("apply ID %s stands for another document, accepted as revision %d", e.ApplyID, e.Number)
}
