package streamorigin

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
// its version in the list is believed, as it is where a stream begins.
func (s ServerStart) MayContinue() bool {
	return s != StartOther
}
