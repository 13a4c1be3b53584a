package retry

import "hawthornstream/internal/core/outcome"

// MayReplaceSilent reports whether another try may begin beside one whose answer makes no
// progress, as far as the call allows it. try describes the try and those before it; its
// End, Reason and MaybeSent are ignored.
//
// Load pattern: a sound backend server pauses for a second or so, with all streams that
// it runs. To end a silent try first, and to look for a retry then, cuts the streams for
// which there is none. The try therefore goes on until another one is allowed here, by
// the retry budget and by a slot, and its server has accepted the call.
func MayReplaceSilent(try FailedTry) bool {
	try.End, try.Reason, try.MaybeSent = outcome.Unknown, outcome.ReasonConnectionSilent, true
	return Decide(try) == Budgeted
}
