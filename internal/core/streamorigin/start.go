package streamorigin

import "time"

// UnknownVersion is the software version of a server that may not be the process in the list. No
// server is listed with it, so that a stream that began there goes on nowhere.
const UnknownVersion = "\x00unknown"

// ServerStart is what a server's load report says of its start, against what the list says.
type ServerStart string

// Values of ServerStart.
const (
	// StartAsListed means that the server runs since the time in the list.
	StartAsListed ServerStart = "as-listed"
	// StartOther means that the server was started again, which the list doesn't tell yet.
	StartOther ServerStart = "other"
	// StartUnknown means that the list or the report doesn't tell the start.
	StartUnknown ServerStart = "unknown"
)

// JudgeStart compares the start of a server in the list with that in its report, both in
// milliseconds since the Unix epoch and zero if unknown.
//
// Load pattern: servers end and start again under their names, some with another software
// version. All their streams break at once and are taken up again before the lists follow.
func JudgeStart(listed, reported int64) ServerStart {
	switch {
	case listed == 0 || reported == 0:
		return StartUnknown
	case listed == reported:
		return StartAsListed
	default:
		return StartOther
	}
}

// MayContinue reports whether a stream may go on at a server with the start. Without a report
// its version in the list is believed.
func (s ServerStart) MayContinue() bool {
	return s != StartOther
}

// Version returns the software version of a stream that begins at a server with the start. The
// listed version is that of another process unless a report shows otherwise.
func (s ServerStart) Version(listed string) string {
	if s != StartAsListed {
		return UnknownVersion
	}
	return listed
}

// Confirmation is what the last report of a server told that was asked for to confirm its start.
// The zero value confirms nothing.
type Confirmation struct {
	// StartedMillis is the start of the process that answered.
	StartedMillis int64
	// ConnectedAt is when the connection was opened over which it answered.
	ConnectedAt time.Time
}

// Judge returns the start of the process at the other end of a connection that works, against the
// listed one: a connection that is no newer than that of the report ends with any earlier process.
func (c Confirmation) Judge(listed int64, connectedAt time.Time) ServerStart {
	if connectedAt.After(c.ConnectedAt) {
		return StartUnknown
	}
	return JudgeStart(listed, c.StartedMillis)
}
