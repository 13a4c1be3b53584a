// Package idempotency decides what becomes of calls with an idempotency key: a
// record for each key lets at most one attempt run. It holds one owner's view
// of the records of a key range, which the platform's conditional updates keep
// true when there are two owners. It has no I/O and no clock and is imported by
// internal/app/idempotency.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"hawthornstream/internal/core/outcome"
)

const (
	// Retention is how long the outcome of a key is kept.
	Retention = 24 * time.Hour
	// LateAfter is the time after a call's deadline at which a record that is
	// still running belongs to an entry that died.
	LateAfter = 5 * time.Second
	// MaxBytes bounds the encoded records of one range, under the platform's
	// limit of one object.
	MaxBytes = 960 << 10
)

// Digest identifies a key of a workspace, or a request.
type Digest [16]byte

// DigestOf returns the digest of the parts, each with its length.
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

// AttemptID identifies one attempt to run the call of a key. No two attempts
// have the same.
type AttemptID string

// Answer is a small answer that is held whole.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Record is what is kept of one key.
type Record struct {
	// Request is the digest of the request that the key was first used for.
	Request Digest    `cbor:"1,keyasint"`
	Attempt AttemptID `cbor:"2,keyasint"`
	// Until is the deadline of the attempt, and At when it began or ended, in
	// milliseconds since 1970.
	Until int64 `cbor:"3,keyasint"`
	At    int64 `cbor:"4,keyasint"`
	// End is empty while the attempt runs.
	End outcome.RunState `cbor:"5,keyasint,omitempty"`
	// Reason is why there is no answer.
	Reason outcome.Reason `cbor:"6,keyasint,omitempty"`
	Answer *Answer        `cbor:"7,keyasint,omitempty"`
}

// Records are the records of one range by the digest of their keys.
type Records map[Digest]Record

// recordBytes is the most that a record without its answer takes.
const recordBytes = 136

// headerFieldBytes is the encoding's share of one header field.
const headerFieldBytes = 8

func (r *Record) bytes() int {
	if r.Answer == nil {
		return recordBytes
	}
	return recordBytes + r.Answer.bytes()
}

func (a *Answer) bytes() int {
	size := headerFieldBytes + len(a.Body)
	for name, values := range a.Header {
		size += headerFieldBytes + len(name)
		for _, value := range values {
			size += headerFieldBytes + len(value)
		}
	}
	return size
}

func (r *Record) running() bool {
	return r.End == ""
}

// late says that a running record's entry must have died.
func (r *Record) late(now time.Time) bool {
	return now.UnixMilli() > r.Until+LateAfter.Milliseconds()
}

func (r *Record) expired(now time.Time) bool {
	return now.UnixMilli() > r.At+Retention.Milliseconds()
}
