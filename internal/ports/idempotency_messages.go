package ports

import "hawthornstream/internal/core/outcome"

// IdempotencyBeginMessage asks the owner of a key's range for permission to run
// an attempt. It may be sent repeatedly.
type IdempotencyBeginMessage struct {
	// Key is the digest of the workspace and the idempotency key.
	Key [16]byte `cbor:"1,keyasint"`
	// Attempt identifies the attempt. It is unique in the fleet.
	Attempt string `cbor:"2,keyasint"`
	// RequestDigest is the digest of what the call requests.
	RequestDigest [16]byte `cbor:"3,keyasint"`
	// DeadlineMillis is the time in milliseconds until the call's deadline.
	DeadlineMillis int64 `cbor:"4,keyasint"`
	// WaitMillis is the time in milliseconds that the entry waits for the reply.
	WaitMillis int64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*IdempotencyBeginMessage) Kind() MessageKind { return KindIdempotencyBegin }

// IdempotencyFinishMessage reports to the owner of a key's range how an attempt
// ended. It is sent repeatedly until it is confirmed.
type IdempotencyFinishMessage struct {
	Key     [16]byte `cbor:"1,keyasint"`
	Attempt string   `cbor:"2,keyasint"`
	// End is how the attempt ended. outcome.NotRun frees the key.
	End    outcome.RunState   `cbor:"3,keyasint"`
	Reason outcome.Reason     `cbor:"4,keyasint,omitempty"`
	Answer *IdempotencyAnswer `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*IdempotencyFinishMessage) Kind() MessageKind { return KindIdempotencyFinish }

// IdempotencyAnswer is a small answer that is stored completely.
type IdempotencyAnswer struct {
	Status int    `cbor:"1,keyasint"`
	Header Header `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// IdempotencyVerdict is the result of a begin or finish message. Its values are
// defined by internal/core/idempotency.
type IdempotencyVerdict uint8

// IdempotencyReplyMessage answers a begin or finish message.
type IdempotencyReplyMessage struct {
	Attempt string             `cbor:"1,keyasint"`
	Verdict IdempotencyVerdict `cbor:"2,keyasint"`
	// End, Reason and Answer are the result of an earlier attempt with the key that
	// has ended.
	End    outcome.RunState   `cbor:"3,keyasint,omitempty"`
	Reason outcome.Reason     `cbor:"4,keyasint,omitempty"`
	Answer *IdempotencyAnswer `cbor:"5,keyasint,omitempty"`
	// Key is the key of the answered message.
	Key [16]byte `cbor:"6,keyasint"`
}

// Kind implements Message.
func (*IdempotencyReplyMessage) Kind() MessageKind { return KindIdempotencyReply }
