package ports

// MessageKind numbers the kinds of messages between daemons on the wire. A
// number is never used again for another kind.
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
)

// Message is one typed message between daemons. Its fields are encoded as CBOR
// with integer keys.
type Message interface {
	Kind() MessageKind
}

// PeerTransport carries messages between daemons. It promises order within one
// session and nothing else: a message may be lost when its session ends.
type PeerTransport interface {
	// Send queues a message and never blocks. A message to a peer whose queue
	// is full, or that has no address, is dropped and counted. A message to
	// self is delivered too.
	Send(to DaemonID, message Message)
	// Handle registers the handler of a kind, with a constructor of an empty
	// message. It must be called before the start. Messages of one sender are
	// handled in order, by the worker pool.
	Handle(kind MessageKind, newMessage func() Message, handler func(from DaemonID, message Message))
	// OnSession registers a callback for a session to a peer that was
	// established or lost. It must be called before the start.
	OnSession(callback func(peer DaemonID, up bool))
}

// ConfigurationSource gives the configuration in force.
type ConfigurationSource interface {
	// Current returns the configuration in force, or nil before the first one.
	// The result must not be changed.
	Current() *Configuration
	// OnChange registers a callback for a newer configuration. The callback
	// must not block. It must be registered before the start.
	OnChange(callback func(*Configuration))
}
