package streamorigin

import (
	"slices"

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

// Doubt is why the version of a stream is not known.
type Doubt string

// Values of Doubt.
const (
	// DoubtStoreNotRead means that the store did not answer in time.
	DoubtStoreNotRead Doubt = "store-not-read"
	// DoubtNoRecord means that the store has no record of the service.
	DoubtNoRecord Doubt = "no-record"
	// DoubtIncompleteRecord means that the record may lack a version: it was not confirmed
	// since the store was restored from a copy.
	DoubtIncompleteRecord Doubt = "incomplete-record"
	// DoubtSeveralVersions means that streams of several versions may be in progress.
	DoubtSeveralVersions Doubt = "several-versions"
	// DoubtNoVersion means that there is no server.
	DoubtNoVersion Doubt = "no-version"
	// DoubtServerRestarted means that the stream began at a server of which no report told the
	// start in the list.
	DoubtServerRestarted Doubt = "server-restarted"
)

// Evidence is what a daemon knows about a stream that its caller resumes.
type Evidence struct {
	// Service is the service that the call goes to.
	Service ports.ServiceName
	// Origin is where the stream began, if Source is SourceOwn, SourceHome or
	// SourceCheckpoint.
	Origin Origin
	Source Source
	// Versions is what is known of the versions of all streams in progress.
	Versions VersionEvidence
}

// VersionEvidence is what is known of the software versions at which streams of a service
// may be in progress. What a daemon knew before the resumption arrived is not enough: a
// stream may have begun at another daemon and a version that this one hasn't heard of.
type VersionEvidence struct {
	// Known are the versions that are possible as far as this daemon knows.
	Known []string
	// IsRead is true if the other fields were read at the store after the resumption
	// arrived, in the given era.
	IsRead bool
	Era    uint64
	// Listed are the versions of the servers that the store lists.
	Listed []string
	Record Record
}

// singleVersion returns the version of all streams in progress, or why there is none.
func (e VersionEvidence) singleVersion() (string, Doubt) {
	possible := slices.Concat(e.Known, e.Listed, e.Record.Versions)
	slices.Sort(possible)
	possible = slices.Compact(possible)
	switch {
	case len(possible) > 1:
		return "", DoubtSeveralVersions
	case !e.IsRead:
		return "", DoubtStoreNotRead
	case !e.Record.Found:
		return "", DoubtNoRecord
	case !e.Record.IsComplete || e.Record.Era != e.Era:
		return "", DoubtIncompleteRecord
	case len(possible) == 0:
		return "", DoubtNoVersion
	default:
		return possible[0], ""
	}
}

// Decision is where a stream may go on.
type Decision struct {
	// SoftwareVersion is the only version at which it may go on. It is empty for a
	// refusal, and if no server tells its version.
	SoftwareVersion string
	Source          Source
	// Doubt is why the version is not known; empty if it is.
	Doubt Doubt
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
	if isRecorded(e.Source) {
		if e.Origin.Service != e.Service {
			return Decision{Source: e.Source, Reason: outcome.ReasonSoftwareVersionGone}
		}
		if e.Origin.SoftwareVersion == UnknownVersion {
			return Decision{Source: e.Source, Doubt: DoubtServerRestarted, Reason: outcome.ReasonStreamOriginUnknown}
		}
		return Decision{SoftwareVersion: e.Origin.SoftwareVersion, Source: e.Source}
	}
	version, doubt := e.Versions.singleVersion()
	if doubt != "" {
		return Decision{Source: SourceUnknown, Doubt: doubt, Reason: outcome.ReasonStreamOriginUnknown}
	}
	return Decision{SoftwareVersion: version, Source: SourceSingleVersion}
}
