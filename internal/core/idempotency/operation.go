package idempotency

import (
	"time"

	"hawthornstream/internal/core/outcome"
)

// Verdict is what an operation came to.
type Verdict uint8

// The verdicts. Their numbers are used between daemons.
const (
	// Granted lets the attempt run: its record is kept.
	Granted Verdict = 1
	// InProgress says that another attempt is running.
	InProgress Verdict = 2
	// KeyReused says that the key belongs to another request.
	KeyReused Verdict = 3
	// Ended says that an earlier attempt ended; the record tells how.
	Ended Verdict = 4
	// Full says that no record can be added to the range.
	Full Verdict = 5
	// Finished confirms the end of an attempt.
	Finished Verdict = 6
)

// Operation is one entry's request to a range's owner.
type Operation struct {
	// From names the entry that gets the reply; nobody does when it is empty.
	From    string
	Key     Digest
	Attempt AttemptID
	// Begin starts the attempt; else the operation ends it.
	Begin bool
	// Request and Until are used by Begin alone.
	Request Digest
	Until   time.Time
	// WaitUntil is when the entry stops waiting for the reply to Begin.
	WaitUntil time.Time
	// End is how the attempt ended. NotRun frees the key.
	End    outcome.RunState
	Reason outcome.Reason
	Answer *Answer
	// doubtful says that a write with the operation may have taken effect.
	doubtful bool
}

// effect is what an operation does to the records.
type effect struct {
	verdict Verdict
	record  Record
	// changed says that the record is to be kept, or removed when remove is
	// true.
	changed bool
	remove  bool
}

// apply works out an operation on the record that its key has, if any.
func apply(op *Operation, record Record, exists bool, now time.Time) effect {
	if op.Begin {
		return applyBegin(op, record, exists, now)
	}
	return applyFinish(op, record, exists, now)
}

func applyBegin(op *Operation, record Record, exists bool, now time.Time) effect {
	if !exists || record.expired(now) {
		fresh := Record{
			Request: op.Request, Attempt: op.Attempt, Until: op.Until.UnixMilli(), At: now.UnixMilli(),
		}
		return effect{verdict: Granted, record: fresh, changed: true}
	}
	switch {
	case record.Attempt == op.Attempt && record.running():
		return effect{verdict: Granted, record: record}
	case record.Request != op.Request:
		return effect{verdict: KeyReused, record: record}
	case !record.running():
		return effect{verdict: Ended, record: record}
	case record.late(now):
		record.End = outcome.Unknown
		record.Reason = outcome.ReasonOutcomeUnknown
		return effect{verdict: Ended, record: record}
	default:
		return effect{verdict: InProgress, record: record}
	}
}

// applyFinish ends an attempt. An attempt that is given up without a record
// still causes a write, unless the key has ended: an earlier write with its
// record may be under way, and can no longer take effect once the version has
// changed.
func applyFinish(op *Operation, record Record, exists bool, now time.Time) effect {
	switch {
	case !exists:
		return effect{verdict: Finished, changed: op.End == outcome.NotRun, remove: true}
	case record.Attempt != op.Attempt:
		return effect{verdict: Finished, record: record, changed: op.End == outcome.NotRun && record.running()}
	case !record.running():
		return effect{verdict: Finished}
	}
	if op.End == outcome.NotRun {
		return effect{verdict: Finished, changed: true, remove: true}
	}
	record.End = op.End
	record.Reason = op.Reason
	record.Answer = op.Answer
	record.At = now.UnixMilli()
	return effect{verdict: Finished, record: record, changed: true}
}
