// Package idempotency decides whether a call with an idempotency key may run.
// An idempotency record for each key lets at most one attempt run. Keys are
// divided into ranges; the records of a range are stored in one object of the
// platform. RangeOwner is the state machine of one owner of a range. If two
// daemons act as owner at the same time, the platform's conditional updates keep
// the records consistent. The package has no I/O and no clock and is imported by
// internal/app/idempotency.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"hawthornstream/internal/core/outcome"
)

const (
	// Retention is how long a record is kept after its attempt began or, once it
	// ended, after its end.
	Retention = 24 * time.Hour
	// DeadlineGrace is the time after a call's deadline until which its attempt
	// may still be running. A record that is still running after that belongs
	// to an entry that died.
	DeadlineGrace = 5 * time.Second
	// MaxRangeBytes is the upper bound of the encoded records of one range. It
	// is below the platform's size limit of one object.
	MaxRangeBytes = 960 << 10
)

// Digest is a truncated SHA-256 digest that identifies an idempotency key within
// its workspace, or the content of a request.
type Digest [16]byte

// DigestOf returns the digest of the parts, each preceded by its length in bytes.
func DigestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// AttemptID identifies one attempt to run the call of a key. It is unique among
// all attempts of all daemons.
type AttemptID string

// Answer is a complete small answer to a call, stored for replay to later
// attempts of its key.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Record is the idempotency record of one key: its latest attempt and how that
// ended.
type Record struct {
	// Request is the digest of the request that the key was first used for.
	Request Digest    `cbor:"1,keyasint"`
	Attempt AttemptID `cbor:"2,keyasint"`
	// DeadlineMillis is the deadline of the attempt and UpdatedMillis the time at
	// which it began or ended, both in milliseconds since 1970.
	DeadlineMillis int64 `cbor:"3,keyasint"`
	UpdatedMillis  int64 `cbor:"4,keyasint"`
	// End is empty while the attempt runs.
	End outcome.RunState `cbor:"5,keyasint,omitempty"`
	// Reason says why there is no answer.
	Reason outcome.Reason `cbor:"6,keyasint,omitempty"`
	Answer *Answer        `cbor:"7,keyasint,omitempty"`
}

// Records maps the digests of the keys of one range to their records.
type Records map[Digest]Record

// maxBareRecordBytes is the upper bound of an encoded record without its answer.
const maxBareRecordBytes = 136

// fieldOverheadBytes is the encoding's overhead for one header field, one of its
// values, or the remaining fields of an answer.
const fieldOverheadBytes = 8

// maxEncodedBytes returns an upper bound of the size of the encoded record.
func (r *Record) maxEncodedBytes() int {
	if r.Answer == nil {
		return maxBareRecordBytes
	}
	return maxBareRecordBytes + r.Answer.maxEncodedBytes()
}

// maxEncodedBytes returns an upper bound of the size of the encoded answer.
func (a *Answer) maxEncodedBytes() int {
	total := fieldOverheadBytes + len(a.Body)
	for name, values := range a.Header {
		total += fieldOverheadBytes + len(name)
		for _, value := range values {
			total += fieldOverheadBytes + len(value)
		}
	}
	return total
}

func (r *Record) isRunning() bool {
	return r.End == ""
}

// isOverdue reports whether the attempt's deadline passed more than DeadlineGrace
// ago. If the record is still running then, its entry must have died.
func (r *Record) isOverdue(now time.Time) bool {
	return now.UnixMilli() > r.DeadlineMillis+DeadlineGrace.Milliseconds()
}

func (r *Record) isExpired(now time.Time) bool {
	return now.UnixMilli() > r.UpdatedMillis+Retention.Milliseconds()
}
