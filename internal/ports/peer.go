package ports

// MessageKind is the number of a kind of message between daemons on the wire. A
// number is never reused for another kind.
type MessageKind uint8

// The kinds of messages between daemons.
const (
	KindProbe               MessageKind = 1
	KindProbeAck            MessageKind = 2
	KindProbeRequest        MessageKind = 3
	KindDemand              MessageKind = 10
	KindGrants              MessageKind = 11
	KindHeldSlots           MessageKind = 13
	KindCharges             MessageKind = 15
	KindLoad                MessageKind = 16
	KindServerListPull      MessageKind = 17
	KindServerListPush      MessageKind = 18
	KindConfigurationDigest MessageKind = 20
	KindConfigurationPush   MessageKind = 21
	KindConfigurationPull   MessageKind = 22
	KindIdempotencyBegin    MessageKind = 30
	KindIdempotencyFinish   MessageKind = 31
	KindIdempotencyReply    MessageKind = 32
	KindStreamOriginRecords MessageKind = 40
	KindStreamOriginQuery   MessageKind = 41
	KindStreamOriginAnswer  MessageKind = 42
	KindStreamOriginShare   MessageKind = 43
	KindEvacuationPull      MessageKind = 50
	KindEvacuationPush      MessageKind = 51
	KindRelayReport         MessageKind = 60
	KindRelayBreak          MessageKind = 61
)

// Message is one typed message between daemons. Its fields are encoded as CBOR
// with integer keys.
type Message interface {
	Kind() MessageKind
}

// PeerTransport carries messages between daemons. It guarantees order within one
// session and nothing else: a message may be lost when its session ends.
type PeerTransport interface {
	// Send queues a message and never blocks. A message to a peer whose queue is
	// full, or whose address is unknown, is dropped and counted. A message to the
	// daemon itself is delivered too.
	Send(to DaemonID, message Message)
	// Handle registers the handler of a message kind. newMessage returns an empty
	// message of that kind to decode into. Handle must be called before the start.
	// The worker pool handles the messages of one sender in order.
	Handle(kind MessageKind, newMessage func() Message, handler func(from DaemonID, message Message))
	// OnSession registers a callback that is called when a session to a peer is
	// established or lost. It must be called before the start.
	OnSession(callback func(peer DaemonID, up bool))
}

// PeerIncarnations tells the starts of other daemons from each other.
type PeerIncarnations interface {
	// PeerIncarnation returns the incarnation that opened the latest session from the peer to
	// this daemon; zero if unknown. It is safe for concurrent use.
	PeerIncarnation(peer DaemonID) Incarnation
}

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	// Current returns the configuration in force, or nil before the first one.
	// The result must not be modified.
	Current() *Configuration
	// OnChange registers a callback that receives newer configurations. The
	// callback must not block. OnChange must be called before the start.
	OnChange(callback func(*Configuration))
}
