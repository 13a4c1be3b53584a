package ports

import "hawthornstream/internal/core/outcome"

// IdempotencyBeginMessage asks the owner of a key's range to let an attempt
// run. It may be sent again.
type IdempotencyBeginMessage struct {
	// Key is the digest of the workspace and the key.
	Key [16]byte `cbor:"1,keyasint"`
	// Attempt is unique for each attempt of each daemon.
	Attempt string `cbor:"2,keyasint"`
	// RequestDigest is the digest of what the call asks for.
	RequestDigest [16]byte `cbor:"3,keyasint"`
	// DeadlineMillis is the time in milliseconds until the call's deadline.
	DeadlineMillis int64 `cbor:"4,keyasint"`
	// WaitMillis is the time in milliseconds that the entry waits for the reply.
	WaitMillis int64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*IdempotencyBeginMessage) Kind() MessageKind { return KindIdempotencyBegin }

// IdempotencyFinishMessage tells the owner of a key's range how an attempt
// ended. It is sent until it is confirmed.
type IdempotencyFinishMessage struct {
	Key     [16]byte `cbor:"1,keyasint"`
	Attempt string   `cbor:"2,keyasint"`
	// End frees the key when it is outcome.NotRun.
	End    outcome.End        `cbor:"3,keyasint"`
	Reason outcome.Reason     `cbor:"4,keyasint,omitempty"`
	Answer *IdempotencyAnswer `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*IdempotencyFinishMessage) Kind() MessageKind { return KindIdempotencyFinish }

// IdempotencyAnswer is a small answer that is held whole.
type IdempotencyAnswer struct {
	Status int    `cbor:"1,keyasint"`
	Header Header `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// IdempotencyVerdict is what became of a begin or a finish.
type IdempotencyVerdict uint8

// IdempotencyReplyMessage answers a begin or a finish.
type IdempotencyReplyMessage struct {
	Attempt string             `cbor:"1,keyasint"`
	Verdict IdempotencyVerdict `cbor:"2,keyasint"`
	// End, Reason and Answer are those of an earlier attempt that ended.
	End    outcome.End        `cbor:"3,keyasint,omitempty"`
	Reason outcome.Reason     `cbor:"4,keyasint,omitempty"`
	Answer *IdempotencyAnswer `cbor:"5,keyasint,omitempty"`
	// Key is the begin's or finish's.
	Key [16]byte `cbor:"6,keyasint"`
}

// Kind implements Message.
func (*IdempotencyReplyMessage) Kind() MessageKind { return KindIdempotencyReply }
