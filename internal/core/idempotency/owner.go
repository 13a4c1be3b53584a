package idempotency

import (
	"slices"
	"time"
)

const (
	// maxViewAge is how long after a load or write the view may be used to
	// refuse a begin because of a running attempt. Later the records are loaded
	// again first.
	maxViewAge = time.Second
	// maxBatchOperations is the highest number of operations in one write.
	maxBatchOperations = 4096
)

// Version is the version of the object that stores a range. Zero means that the
// object doesn't exist.
type Version uint64

// ActionKind is the kind of a platform call that a range owner needs.
type ActionKind uint8

// The kinds of action.
const (
	// NoAction means that no platform call is needed.
	NoAction ActionKind = iota
	// LoadRecords asks to read the records. HandleLoaded or HandleFailed must
	// follow.
	LoadRecords
	// WriteRecords asks for a conditional update. HandleWritten or HandleFailed
	// must follow.
	WriteRecords
)

// Action is a platform call that a range owner needs.
type Action struct {
	Kind ActionKind
	// Records are the records that WriteRecords stores if the object still has
	// the version ExpectedVersion.
	Records         Records
	ExpectedVersion Version
}

// Reply is the reply to one operation.
type Reply struct {
	Operation Operation
	Verdict   Verdict
	// Record is the record of the key. It is used with the verdict AlreadyEnded.
	Record Record
}

// RangeOwner decides on the operations of one range. It holds one daemon's view of
// the range's records and says when to load or write them. Several daemons may act
// as owner of the same range: the conditional update decides between them. A
// RangeOwner has at most one action in progress and is not safe for concurrent
// use.
type RangeOwner struct {
	// loaded is false until the records are loaded, and again after a failure.
	loaded bool
	// version, records and sizeBytes, the upper bound of their encoded size, are
	// those of the last load or write, which ended at confirmedAt.
	version     Version
	records     Records
	sizeBytes   int
	confirmedAt time.Time

	// pending are the operations without a reply, in the order of arrival.
	pending          []Operation
	actionInProgress bool
	// writing is the batch of the write in progress.
	writing    batch
	dueReplies []Reply
}

// batch is a number of pending operations that are completed together, by one
// write if they change the records.
type batch struct {
	// operationCount is the number of operations, from the start of the queue.
	operationCount int
	// records and sizeBytes are those after the operations.
	records   Records
	sizeBytes int
	replies   []Reply
}

// NewRangeOwner returns an owner that has not loaded the records.
func NewRangeOwner() *RangeOwner {
	return new(RangeOwner)
}

// Submit adds an operation to the pending ones.
func (o *RangeOwner) Submit(op Operation) {
	o.pending = append(o.pending, op)
}

// PendingCount returns the number of operations without a reply.
func (o *RangeOwner) PendingCount() int {
	return len(o.pending)
}

// HasPendingBegin reports whether a pending operation is a begin: an entry waits
// for its reply before it runs the call.
func (o *RangeOwner) HasPendingBegin() bool {
	return slices.ContainsFunc(o.pending, func(op Operation) bool { return op.IsBegin })
}

// SizeBytes returns an upper bound of the size of the encoded records.
func (o *RangeOwner) SizeBytes() int {
	return o.sizeBytes
}

// TakeReplies returns and removes the replies that are due.
func (o *RangeOwner) TakeReplies() []Reply {
	replies := o.dueReplies
	o.dueReplies = nil
	return replies
}

// NextAction returns the platform call that the pending operations need next.
// Operations that need none are completed: their replies are due. While an action
// is in progress it returns NoAction.
func (o *RangeOwner) NextAction(now time.Time) Action {
	if o.actionInProgress {
		return Action{}
	}
	o.dropTimedOutBegins(now)
	if len(o.pending) == 0 {
		return Action{}
	}
	if !o.loaded {
		o.actionInProgress = true
		return Action{Kind: LoadRecords}
	}
	result := o.evaluate(now)
	if result.needsReload {
		o.actionInProgress = true
		return Action{Kind: LoadRecords}
	}
	if !result.needsWrite {
		o.completeBatch(result.batch)
		return Action{}
	}
	o.actionInProgress = true
	o.writing = result.batch
	return Action{Kind: WriteRecords, Records: result.batch.records, ExpectedVersion: o.version}
}

// dropTimedOutBegins removes the begins whose entry no longer waits for the reply.
// Those whose record may have been written stay: the entry must get the grant to
// release it.
func (o *RangeOwner) dropTimedOutBegins(now time.Time) {
	kept := o.pending[:0]
	for i := range o.pending {
		if op := &o.pending[i]; !op.IsBegin || op.maybeWritten || now.Before(op.ReplyDeadline) {
			kept = append(kept, *op)
		}
	}
	clear(o.pending[len(kept):])
	o.pending = kept
}

// HandleLoaded ends a LoadRecords action with the records and the version of the
// object on the platform.
func (o *RangeOwner) HandleLoaded(records Records, version Version, now time.Time) {
	o.actionInProgress = false
	o.loaded = true
	o.version = version
	o.records = records
	o.sizeBytes = maxEncodedBytesOf(records)
	o.confirmedAt = now
}

// HandleWritten ends a WriteRecords action that took effect. version is the new
// version of the object.
func (o *RangeOwner) HandleWritten(version Version, now time.Time) {
	o.actionInProgress = false
	o.version = version
	o.records = o.writing.records
	o.sizeBytes = o.writing.sizeBytes
	o.confirmedAt = now
	o.completeBatch(o.writing)
	o.writing = batch{}
}

// HandleFailed ends an action that failed or may have failed. The records are
// loaded again, and the operations of a failed write are evaluated again on them.
// Operations that took effect are recognised by their attempt IDs.
func (o *RangeOwner) HandleFailed() {
	for i := range o.writing.operationCount {
		o.pending[i].maybeWritten = true
	}
	o.actionInProgress = false
	o.loaded = false
	o.writing = batch{}
}

// completeBatch makes the batch's replies due and removes its operations from the
// pending ones.
func (o *RangeOwner) completeBatch(completed batch) {
	o.dueReplies = append(o.dueReplies, completed.replies...)
	o.pending = append(o.pending[:0], o.pending[completed.operationCount:]...)
}
