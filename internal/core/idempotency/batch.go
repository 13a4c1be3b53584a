package idempotency

import (
	"cmp"
	"slices"
	"time"
)

// evaluation is the result of applying pending operations to the owner's records.
type evaluation struct {
	batch batch
	// needsWrite is true if the batch's records must be written. They are a copy
	// then.
	needsWrite bool
	// needsReload is true if a verdict depends on a view older than maxViewAge.
	needsReload bool
	// answerKeys are the keys of the records whose answers may be dropped, the
	// oldest first. They are listed when room is first needed.
	answerKeys []Digest
}

// evaluate applies up to maxBatchOperations pending operations to the records,
// without changing the owner's view.
func (o *RangeOwner) evaluate(now time.Time) evaluation {
	operationCount := min(len(o.pending), maxBatchOperations)
	result := evaluation{batch: batch{operationCount: operationCount, records: o.records, sizeBytes: o.sizeBytes}}
	viewIsFresh := now.Sub(o.confirmedAt) <= maxViewAge
	for i := range operationCount {
		op := &o.pending[i]
		record, exists := result.batch.records[op.Key]
		applied := apply(op, record, exists, now)
		if exists && record.isRunning() && applied.verdict != Granted && op.IsBegin {
			result.needsReload = result.needsReload || !viewIsFresh
		}
		if applied.needsWrite {
			result.addEffect(op, record, exists, &applied, now)
		}
		result.batch.replies = append(result.batch.replies, Reply{Operation: *op, Verdict: applied.verdict, Record: applied.record})
	}
	return result
}

// addEffect adds an effect to the batch's copy of the records. The first effect
// makes the copy, without the expired records. If the range is full, a begin gets
// the verdict RangeFull, and the end of an attempt is stored without its answer.
func (e *evaluation) addEffect(op *Operation, previous Record, exists bool, applied *effect, now time.Time) {
	if !e.needsWrite {
		e.batch.records = withoutExpired(e.batch.records, now)
		e.batch.sizeBytes = maxEncodedBytesOf(e.batch.records)
		e.needsWrite = true
		previous, exists = e.batch.records[op.Key]
	}
	if exists {
		e.batch.sizeBytes -= previous.maxEncodedBytes()
		delete(e.batch.records, op.Key)
	}
	if applied.removesRecord {
		return
	}
	e.makeRoom(applied.record.maxEncodedBytes())
	if e.batch.sizeBytes+applied.record.maxEncodedBytes() > MaxRangeBytes {
		if op.IsBegin {
			applied.verdict = RangeFull
			return
		}
		applied.record.Answer = nil
	}
	e.batch.records[op.Key] = applied.record
	e.batch.sizeBytes += applied.record.maxEncodedBytes()
}

// makeRoom drops the oldest answers until neededBytes more fit into the range. The
// records themselves stay, so that their keys can't run again.
func (e *evaluation) makeRoom(neededBytes int) {
	if e.batch.sizeBytes+neededBytes <= MaxRangeBytes {
		return
	}
	if e.answerKeys == nil {
		e.answerKeys = e.answerKeysOldestFirst()
	}
	for len(e.answerKeys) > 0 && e.batch.sizeBytes+neededBytes > MaxRangeBytes {
		e.dropAnswer(e.answerKeys[0])
		e.answerKeys = e.answerKeys[1:]
	}
}

// answerKeysOldestFirst returns the keys of the records with an answer, the oldest
// first.
func (e *evaluation) answerKeysOldestFirst() []Digest {
	keys := make([]Digest, 0)
	for key, record := range e.batch.records {
		if record.Answer != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Digest) int {
		return cmp.Compare(e.batch.records[a].UpdatedMillis, e.batch.records[b].UpdatedMillis)
	})
	return keys
}

func (e *evaluation) dropAnswer(key Digest) {
	record, exists := e.batch.records[key]
	if !exists || record.Answer == nil {
		return
	}
	e.batch.sizeBytes -= record.Answer.maxEncodedBytes()
	record.Answer = nil
	e.batch.records[key] = record
}

func withoutExpired(records Records, now time.Time) Records {
	kept := make(Records, len(records))
	for key, record := range records {
		if !record.isExpired(now) {
			kept[key] = record
		}
	}
	return kept
}

// maxEncodedBytesOf returns an upper bound of the size of the encoded records.
func maxEncodedBytesOf(records Records) int {
	total := 0
	for _, record := range records {
		total += record.maxEncodedBytes()
	}
	return total
}
