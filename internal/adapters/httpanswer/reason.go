package httpanswer

import (
	"errors"
	"fmt"
	"net/textproto"

	"hawthornstream/internal/adapters/tcpstate"
)

// TooManyInterimsError reports that a server sent more interim answers than allowed.
type TooManyInterimsError struct{}

// Error implements error.
func (*TooManyInterimsError) Error() string {
	return fmt.Sprintf("more than %d interim answers", maxInterimAnswers)
}

// Reasons for which an answer is rejected, beside the values of Part.
const (
	// ReasonCutOff means that the answer ended with its connection, and may have been broken off.
	ReasonCutOff = "cut-off"
	// ReasonMalformed means that net/http can't parse the answer.
	ReasonMalformed = "malformed"
	reasonInterims  = "interim-answers"
)

// RejectReason returns the label by which an answer that failed with err is counted as rejected:
// the Part that is invalid, "interim-answers" for too many of them, ReasonMalformed for a line of the
// head that is no field, or ReasonCutOff after a failed write. It returns "" for other errors.
func RejectReason(err error) string {
	var invalid *InvalidError
	var writeFailed *tcpstate.WriteFailedError
	var tooMany *TooManyInterimsError
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &invalid):
		return string(invalid.Part)
	case errors.As(err, &tooMany):
		return reasonInterims
	case errors.As(err, &writeFailed):
		return ReasonCutOff
	case errors.As(err, &malformed):
		return ReasonMalformed
	default:
		return ""
	}
}
