package idempotency

import (
	"time"

	"hawthornstream/internal/core/outcome"
)

// Verdict is the result of an operation.
type Verdict uint8

// The verdicts. Daemons send their numbers to each other.
const (
	// Granted lets the attempt run: its record is stored.
	Granted Verdict = 1
	// InProgress means that another attempt of the key is running.
	InProgress Verdict = 2
	// KeyReused means that the key was first used for another request.
	KeyReused Verdict = 3
	// AlreadyEnded means that an earlier attempt of the key ended. The record
	// holds its end, and its answer or the reason why there is none.
	AlreadyEnded Verdict = 4
	// RangeFull means that the range has no room for another record.
	RangeFull Verdict = 5
	// FinishConfirmed confirms the end of an attempt. The entry need not send it
	// again.
	FinishConfirmed Verdict = 6
)

// Operation is a request of an entry to the owner of a range: to begin or to
// finish an attempt.
type Operation struct {
	// Entry is the name of the daemon to reply to. No reply is sent if it is
	// empty.
	Entry   string
	Key     Digest
	Attempt AttemptID
	// IsBegin is true for an operation that begins the attempt, and false for
	// one that finishes it.
	IsBegin bool
	// Request, the digest of the request, and Deadline, the deadline of the call,
	// are used only to begin an attempt.
	Request  Digest
	Deadline time.Time
	// ReplyDeadline is when the entry stops waiting for the reply to a begin.
	ReplyDeadline time.Time
	// End, Reason and Answer say how the attempt ended; they are used only to
	// finish it. outcome.NotRun frees the key for another attempt.
	End    outcome.RunState
	Reason outcome.Reason
	Answer *Answer
	// maybeWritten is set when a write with the operation failed but may have
	// taken effect.
	maybeWritten bool
}

// effect is what an operation does to the record of its key.
type effect struct {
	verdict Verdict
	record  Record
	// needsWrite is true if the object must be written, with record in it or,
	// if removesRecord is true, without a record of the key.
	needsWrite    bool
	removesRecord bool
}

// apply returns the effect of an operation on the record of its key. exists is
// false if the key has no record.
func apply(op *Operation, record Record, exists bool, now time.Time) effect {
	if op.IsBegin {
		return applyBegin(op, record, exists, now)
	}
	return applyFinish(op, record, exists, now)
}

// applyBegin returns the effect of the begin of an attempt.
func applyBegin(op *Operation, record Record, exists bool, now time.Time) effect {
	if !exists || record.isExpired(now) {
		started := Record{
			Request: op.Request, Attempt: op.Attempt, DeadlineMillis: op.Deadline.UnixMilli(), UpdatedMillis: now.UnixMilli(),
		}
		return effect{verdict: Granted, record: started, needsWrite: true}
	}
	switch {
	case record.Attempt == op.Attempt && record.isRunning():
		return effect{verdict: Granted, record: record}
	case record.Request != op.Request:
		return effect{verdict: KeyReused, record: record}
	case !record.isRunning():
		return effect{verdict: AlreadyEnded, record: record}
	case record.isOverdue(now):
		record.End = outcome.Unknown
		record.Reason = outcome.ReasonOutcomeUnknown
		return effect{verdict: AlreadyEnded, record: record}
	default:
		return effect{verdict: InProgress, record: record}
	}
}

// applyFinish returns the effect of the end of an attempt. The end of an attempt
// that did not run needs a write even if the attempt has no record, unless
// another attempt of the key ended: a delayed write with the attempt's record may
// still be in progress, and it can't take effect once the object's version has
// changed.
func applyFinish(op *Operation, record Record, exists bool, now time.Time) effect {
	switch {
	case !exists:
		return effect{verdict: FinishConfirmed, needsWrite: op.End == outcome.NotRun, removesRecord: true}
	case record.Attempt != op.Attempt:
		return effect{verdict: FinishConfirmed, record: record, needsWrite: op.End == outcome.NotRun && record.isRunning()}
	case !record.isRunning():
		return effect{verdict: FinishConfirmed}
	}
	if op.End == outcome.NotRun {
		return effect{verdict: FinishConfirmed, needsWrite: true, removesRecord: true}
	}
	record.End = op.End
	record.Reason = op.Reason
	record.Answer = op.Answer
	record.UpdatedMillis = now.UnixMilli()
	return effect{verdict: FinishConfirmed, record: record, needsWrite: true}
}
