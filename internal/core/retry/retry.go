// Package retry decides whether a call that ended without an answer is tried
// again, and within which budget. It has no I/O and no clock and is imported
// by internal/app/execution.
package retry

import (
	"time"

	"hawthornstream/internal/core/outcome"
)

const (
	// MaxSent is the most times that one call is sent.
	MaxSent = 3
	// MaxTries is the most slots that one call takes, whether or not it was
	// sent.
	MaxTries = 5
)

// Try is one ended try of a call.
type Try struct {
	// End is how the try ended.
	End outcome.RunState
	// Reason is why it gave no answer.
	Reason outcome.Reason
	// Handed says that a byte of the request may have left.
	Handed bool
	// Begun says that the caller may have had a byte of the answer.
	Begun bool
	// Resumable says that what the caller has of the answer can be continued.
	Resumable bool
	// Repeatable says that a second run does no harm.
	Repeatable bool
	// MaxSent is the most times that the call may be sent; zero stands for the
	// constant of that name.
	MaxSent int
	// Tries counts the call's tries so far, Sent those of them that sent it.
	Tries int
	Sent  int
	// Left is the time until the call's deadline.
	Left time.Duration
}

// Verdict says what follows a try.
type Verdict uint8

// The verdicts.
const (
	// Stop ends the call.
	Stop Verdict = iota
	// Again tries the call again at the cost of the budget.
	Again
	// AgainFree tries the call again outside the budget: nothing reached a
	// backend server.
	AgainFree
)

// retryable are the reasons that another try can mend.
var retryable = map[outcome.Reason]bool{
	outcome.ReasonServerUnreachable: true,
	outcome.ReasonServerOverloaded:  true,
	outcome.ReasonServerLeaving:     true,
	outcome.ReasonServerFailed:      true,
	outcome.ReasonConnectionBroken:  true,
	outcome.ReasonConnectionSilent:  true,
	outcome.ReasonAnswerMismatch:    true,
	outcome.ReasonAnswerTruncated:   true,
}

// Decide returns what follows a try. A call that is not repeatable is sent at
// most once.
func Decide(try Try) Verdict {
	if !retryable[try.Reason] || try.Left <= 0 || try.Tries >= MaxTries {
		return Stop
	}
	if try.Begun && !try.Resumable {
		return Stop
	}
	if !try.Handed && try.End == outcome.NotRun {
		return AgainFree
	}
	if !try.Repeatable || try.Sent >= try.maxSent() {
		return Stop
	}
	return Again
}

func (t *Try) maxSent() int {
	if t.MaxSent > 0 {
		return t.MaxSent
	}
	return MaxSent
}

// Merge returns the end of a call from the ends of two of its tries.
func Merge(a, b outcome.RunState) outcome.RunState {
	switch {
	case a == outcome.Ran || b == outcome.Ran:
		return outcome.Ran
	case a == outcome.Unknown || b == outcome.Unknown:
		return outcome.Unknown
	default:
		return outcome.NotRun
	}
}
