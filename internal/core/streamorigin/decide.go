package streamorigin

import (
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// Source is where the software version of a resumed stream is known from.
type Source string

// Values of Source.
const (
	// SourceOwn means that this daemon's own table knows the stream.
	SourceOwn Source = "own"
	// SourceHome means that a home daemon of the attempt knows the stream.
	SourceHome Source = "home"
	// SourceCheckpoint means that the checkpoint of a daemon in the store had the stream.
	SourceCheckpoint Source = "checkpoint"
	// SourceSingleVersion means that no stream in progress can be of another version.
	SourceSingleVersion Source = "single-version"
	// SourceUnknown means that the version is not known.
	SourceUnknown Source = "unknown"
)

// Evidence is what a daemon knows about a stream that its caller resumes.
type Evidence struct {
	// Service is the service that the call goes to.
	Service ports.ServiceName
	// Origin is where the stream began, if Source is SourceOwn, SourceHome or
	// SourceCheckpoint.
	Origin Origin
	Source Source
	// SingleVersion is the software version that the list of the service's servers has
	// shown alone for SingleVersionFor; see VersionHistory.
	SingleVersion    string
	SingleVersionFor time.Duration
}

// Decision is where a stream may go on.
type Decision struct {
	// SoftwareVersion is the only version at which it may go on. It is empty for a
	// refusal, and if no server tells its version.
	SoftwareVersion string
	Source          Source
	// Reason is why the resumption is refused; empty if it is not.
	Reason outcome.Reason
}

// IsKnownStream reports whether a daemon has recorded that the stream began.
func (d Decision) IsKnownStream() bool {
	return isRecorded(d.Source)
}

func isRecorded(source Source) bool {
	return source == SourceOwn || source == SourceHome || source == SourceCheckpoint
}

// Decide returns where a stream that its caller resumes may go on. If its origin is not
// known, it may go on only where no other software version can have begun it.
func Decide(e Evidence) Decision {
	switch {
	case isRecorded(e.Source):
		if e.Origin.Service != e.Service {
			return Decision{Source: e.Source, Reason: outcome.ReasonSoftwareVersionGone}
		}
		return Decision{SoftwareVersion: e.Origin.SoftwareVersion, Source: e.Source}
	case e.SingleVersionFor >= MinSingleVersionPeriod:
		return Decision{SoftwareVersion: e.SingleVersion, Source: SourceSingleVersion}
	default:
		return Decision{Source: SourceUnknown, Reason: outcome.ReasonStreamOriginUnknown}
	}
}
