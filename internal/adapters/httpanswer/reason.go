package httpanswer

import (
	"errors"
	"net/textproto"
)

// ReasonMalformed means that net/http can't parse the answer.
const ReasonMalformed = "malformed"

// RejectReason returns the label by which an answer that failed with err is counted as rejected:
// the Part that is invalid, or ReasonMalformed for a line of the head that is no field. It returns ""
// for other errors.
func RejectReason(err error) string {
	var invalid *InvalidError
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &invalid):
		return string(invalid.Part)
	case errors.As(err, &malformed):
		return ReasonMalformed
	default:
		return ""
	}
}
