// Package outcome defines how calls end: whether they ran on a backend server,
// and why they were refused. It has no dependencies and may be imported by every
// package.
package outcome

import (
	"fmt"
	"time"
)

// RunState says whether a call ran on a backend server.
type RunState string

// The possible run states of a call that has ended.
const (
	// Ran means that a backend server carried out the call.
	Ran RunState = "ran"
	// NotRun means that no backend server carried out any part of the call.
	NotRun RunState = "not-run"
	// Unknown means that it can't be determined whether the call ran, for
	// example after a connection broke.
	Unknown RunState = "unknown"
)

// Reason is a stable machine-readable cause of a refusal.
type Reason string

// Result is how one call ended.
type Result struct {
	End RunState
	// Refusal is nil when the whole answer was written to the sink.
	Refusal *Refusal
}

// Refusal is the error of a call that did not get a whole answer.
type Refusal struct {
	Reason Reason
	End    RunState
	// Detail is a human-readable explanation. It must not name any workspace but
	// the caller's own.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; zero when
	// a retry is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.End, r.Detail)
}
