// Package retry decides whether a call that ended without an answer is tried
// again, and limits retries by a budget for each service. It has no I/O and no
// clock and is imported by internal/app/execution.
package retry

import (
	"time"

	"hawthornstream/internal/core/outcome"
)

const (
	// MaxSends is the most times that one call is sent to a backend server.
	MaxSends = 3
	// MaxTries is the most slots that one call takes, whether or not it was
	// sent.
	MaxTries = 5
)

// FailedTry describes a try of a call that ended without an answer, and the
// tries of the call so far.
type FailedTry struct {
	// End says whether the call ran in this try.
	End outcome.RunState
	// Reason is why the try gave no answer.
	Reason outcome.Reason
	// MaybeSent says that a byte of the request may have left this daemon.
	MaybeSent bool
	// AnswerBegun says that the caller may have received a byte of the answer.
	AnswerBegun bool
	// Resumable says that another try can continue the answer where it broke off.
	Resumable bool
	// Repeatable says that a second run does no harm.
	Repeatable bool
	// MaxSends is the most times that the call may be sent; zero stands for the
	// constant of that name.
	MaxSends int
	// Tries counts the call's tries so far, SentTries those in which the request
	// may have left this daemon. Both include this try.
	Tries     int
	SentTries int
	// TimeLeft is the time until the call's deadline.
	TimeLeft time.Duration
}

// Decision says what follows a failed try.
type Decision uint8

// The decisions.
const (
	// GiveUp ends the call.
	GiveUp Decision = iota
	// Budgeted retries the call if the retry budget allows it.
	Budgeted
	// Unbudgeted retries the call without charging the retry budget, because
	// nothing reached a backend server.
	Unbudgeted
)

// retryableReasons are the reasons for which another try may succeed.
var retryableReasons = map[outcome.Reason]bool{
	outcome.ReasonServerUnreachable:  true,
	outcome.ReasonServerOverloaded:   true,
	outcome.ReasonServerLeaving:      true,
	outcome.ReasonServerRestarted:    true,
	outcome.ReasonServerFailed:       true,
	outcome.ReasonConnectionBroken:   true,
	outcome.ReasonConnectionSilent:   true,
	outcome.ReasonAnswerMismatch:     true,
	outcome.ReasonAnswerTruncated:    true,
	outcome.ReasonStreamNotContinued: true,
	outcome.ReasonAnswerMalformed:    true,
	outcome.ReasonAnswerWithoutEnd:   true,
	outcome.ReasonAnswerNotHeld:      true,
}

// Decide returns what follows a failed try. A call that is not repeatable is
// sent at most once.
func Decide(try FailedTry) Decision {
	if !retryableReasons[try.Reason] || try.TimeLeft <= 0 || try.Tries >= MaxTries {
		return GiveUp
	}
	if try.AnswerBegun && !try.Resumable {
		return GiveUp
	}
	if !try.MaybeSent && try.End == outcome.NotRun {
		return Unbudgeted
	}
	if !try.Repeatable || try.SentTries >= try.maxSends() {
		return GiveUp
	}
	return Budgeted
}

func (t *FailedTry) maxSends() int {
	if t.MaxSends > 0 {
		return t.MaxSends
	}
	return MaxSends
}

// MergeRunStates returns the run state of a call from those of two of its tries:
// Ran if either ran, else Unknown if either is unknown.
func MergeRunStates(a, b outcome.RunState) outcome.RunState {
	switch {
	case a == outcome.Ran || b == outcome.Ran:
		return outcome.Ran
	case a == outcome.Unknown || b == outcome.Unknown:
		return outcome.Unknown
	default:
		return outcome.NotRun
	}
}
