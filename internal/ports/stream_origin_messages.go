package ports

// StreamOriginRecords tells a daemon at which software versions streams began. Its
// callers may resume them at any daemon.
type StreamOriginRecords struct {
	Groups []StreamOriginGroup `cbor:"1,keyasint"`
}

// StreamOriginGroup are streams that began at one software version of a service.
type StreamOriginGroup struct {
	_               struct{} `cbor:",toarray"`
	Service         ServiceName
	SoftwareVersion string
	// Attempts are the hashes of the IDs of the attempts that brought the first events.
	Attempts []uint64
}

// Kind implements Message.
func (*StreamOriginRecords) Kind() MessageKind { return KindStreamOriginRecords }

// StreamOriginQuery asks a daemon at which software version a stream began.
type StreamOriginQuery struct {
	// Attempt is the hash of the ID of the attempt that brought the first event.
	Attempt uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*StreamOriginQuery) Kind() MessageKind { return KindStreamOriginQuery }

// StreamOriginAnswer answers a StreamOriginQuery for the same attempt, also one that an
// earlier incarnation of the receiver sent. Service and SoftwareVersion are empty if the
// sender does not know the stream.
type StreamOriginAnswer struct {
	Attempt         uint64      `cbor:"1,keyasint"`
	Service         ServiceName `cbor:"2,keyasint,omitempty"`
	SoftwareVersion string      `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*StreamOriginAnswer) Kind() MessageKind { return KindStreamOriginAnswer }

// StreamOriginShare tells the daemon that writes the sender's checkpoint of all streams of
// the sender that the checkpoint should contain, the newest of each group first.
type StreamOriginShare struct {
	Groups []StreamOriginGroup `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*StreamOriginShare) Kind() MessageKind { return KindStreamOriginShare }
