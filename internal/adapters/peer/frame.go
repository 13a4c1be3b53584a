package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"hawthornstream/internal/ports"
)

// protocolVersion is increased with every change that older daemons can't decode.
const protocolVersion = 1

const (
	// maxMessageBytes limits one encoded message. The largest object of the
	// platform fits.
	maxMessageBytes = 1<<20 + 1<<17
	// maxBatchBytes limits the messages that are batched in one frame. A single
	// message may exceed it.
	maxBatchBytes = 1 << 16
	// wireFrameBytes is the size of the parts in which drpc sends a frame. The receiver keeps a
	// buffer for the largest one.
	wireFrameBytes = 1 << 14
	// maxFrameBytes limits one encoded frame.
	maxFrameBytes = maxMessageBytes + maxBatchBytes
	// maxReplyBytes limits one encoded reply, or the error that ends a session.
	maxReplyBytes = 4 << 10
	// maxCollectionElements limits the elements of one CBOR array and the pairs
	// of one map.
	maxCollectionElements = 1 << 17
	maxNestingLevels      = 16
)

// frame is the unit that the dialling side of a session sends.
type frame struct {
	Hello *helloMessage `cbor:"1,keyasint,omitempty"`
	// AckRequest numbers a request for acknowledgement, which the reply repeats.
	// Zero requests none.
	AckRequest uint64     `cbor:"2,keyasint,omitempty"`
	Messages   []envelope `cbor:"3,keyasint,omitempty"`

	// encodedBytes is the encoded size of a received frame.
	encodedBytes int
}

// helloMessage identifies both daemons and the session. The first frame of a session
// must carry one.
type helloMessage struct {
	Version     uint32            `cbor:"1,keyasint"`
	From        ports.DaemonID    `cbor:"2,keyasint"`
	To          ports.DaemonID    `cbor:"3,keyasint"`
	Incarnation ports.Incarnation `cbor:"4,keyasint"`
	// Session is the number of the session, which increases with each session that
	// the incarnation of the sender dials.
	Session uint64 `cbor:"5,keyasint"`
}

// envelope is one encoded message with its kind.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Kind    ports.MessageKind
	Payload cbor.RawMessage
}

// reply is the unit that the accepting side of a session sends.
type reply struct {
	// Acknowledged is the AckRequest that the reply answers.
	Acknowledged uint64 `cbor:"1,keyasint,omitempty"`

	// encodedBytes is the encoded size of a received reply.
	encodedBytes int
}

// Error codes on the wire that tell the dialling side why its session was refused.
// Zero stands for any other error.
const (
	codeProtocolVersion     = 1
	codeWrongDaemon         = 2
	codeMalformed           = 3
	codeSuperseded          = 4
	codeCertificateMismatch = 5
)

// codec encodes frames, replies and messages as CBOR. Times are encoded with
// nanoseconds.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

func newCodec() (*codec, error) {
	encoder, err := cbor.EncOptions{
		Time:          cbor.TimeRFC3339Nano,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
		ShortestFloat: cbor.ShortestFloat16,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "create the CBOR encoder for peer messages")
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxCollectionElements,
		MaxMapPairs:      maxCollectionElements,
	}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "create the CBOR decoder for peer messages")
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

// Marshal implements drpc.Encoding.
func (c *codec) Marshal(message drpc.Message) ([]byte, error) {
	data, err := c.encoder.Marshal(message)
	return data, eris.Wrap(err, "encode")
}

// Unmarshal implements drpc.Encoding. It fails with *FrameTooLargeError or
// *MalformedFrameError.
func (c *codec) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) > maxFrameBytes {
		return &FrameTooLargeError{Bytes: len(data), Limit: maxFrameBytes}
	}
	if err := c.decoder.Unmarshal(data, message); err != nil {
		return &MalformedFrameError{Cause: err}
	}
	switch received := message.(type) {
	case *frame:
		received.encodedBytes = len(data)
	case *reply:
		received.encodedBytes = len(data)
	}
	return nil
}

// encodeMessage encodes a message with its kind. It fails with *MessageTooLargeError.
func (c *codec) encodeMessage(message ports.Message) (envelope, error) {
	payload, err := c.Marshal(message)
	if err != nil {
		return envelope{}, err
	}
	if len(payload) > maxMessageBytes {
		return envelope{}, &MessageTooLargeError{Kind: message.Kind(), Bytes: len(payload)}
	}
	return envelope{Kind: message.Kind(), Payload: payload}, nil
}

// envelopeOverheadBytes is the encoded size of an envelope without its payload: the
// array header and a kind below 24.
const envelopeOverheadBytes = 2

// size returns the encoded size in bytes.
func (e envelope) size() int {
	return len(e.Payload) + envelopeOverheadBytes
}
