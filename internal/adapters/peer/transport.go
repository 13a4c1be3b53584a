// Package peer sends messages between daemons over drpc. Each direction between two
// daemons has its own session, which the sending daemon dials when it has a message to
// send. The package is imported by internal/app/cluster and by wiring only.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/app/workpool"
	"hawthornstream/internal/ports"
)

// drpcOverheadBytes is the buffer space for drpc's own framing of one frame.
const drpcOverheadBytes = 1 << 10

// Options configures a Transport.
type Options struct {
	Self        ports.VM
	Incarnation ports.Incarnation
	// ListenAddress is the "ip:port" that other daemons dial.
	ListenAddress string
	Timing        Timing
	// TLS makes both sides authenticate with certificates; nil is plain TCP.
	TLS TLSConfigs
	// Account bounds the memory of messages that have not arrived whole; nil is no bound.
	Account *heldmemory.Account
	// Pool runs the handlers and callbacks, those of one peer in order.
	Pool   *workpool.Pool
	Logger *log.Logger
	Scope  tally.Scope
}

// TLSConfigs provides the TLS configurations of connections between daemons.
type TLSConfigs interface {
	// Server returns the configuration of one accepted connection. It must
	// request and verify the certificate of the dialling daemon.
	Server() *tls.Config
	// Client returns the configuration of a connection to the daemon on the VM
	// called name. It must verify that the daemon's certificate names the VM.
	Client(name string) *tls.Config
}

// Transport implements ports.PeerTransport.
type Transport struct {
	options          Options
	codec            *codec
	handlers         map[ports.MessageKind]messageHandler
	sessionCallbacks []func(ports.DaemonID, bool)
	counters         *counters
	logLimiter       *logging.Limiter
	rpcServer        *drpcserver.Server

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	listener   net.Listener
	// lastSessionNumber is the number of the last dialled session.
	lastSessionNumber atomic.Uint64

	mu           sync.Mutex
	peers        map[ports.DaemonID]ports.VM
	senders      map[ports.DaemonID]*sender
	inboundConns map[net.Conn]struct{}
	// latestSessions holds the last accepted session of each sender.
	latestSessions map[ports.DaemonID]latestSession
	stopped        bool
}

// messageHandler decodes and handles messages of one kind.
type messageHandler struct {
	newMessage func() ports.Message
	handle     func(ports.DaemonID, ports.Message)
}

// New returns a transport, which must be started with Start.
func New(options Options) (*Transport, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options:        options,
		codec:          codec,
		handlers:       make(map[ports.MessageKind]messageHandler),
		counters:       newCounters(options.Scope),
		logLimiter:     logging.NewLimiter(options.Logger),
		ctx:            ctx,
		cancel:         cancel,
		peers:          make(map[ports.DaemonID]ports.VM),
		senders:        make(map[ports.DaemonID]*sender),
		inboundConns:   make(map[net.Conn]struct{}),
		latestSessions: make(map[ports.DaemonID]latestSession),
	}
	mux := drpcmux.New()
	if err := mux.Register(t, serviceDescription{codec: codec}); err != nil {
		cancel()
		return nil, eris.Wrap(err, "register the peer service")
	}
	t.rpcServer = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcManagerOptions(maxFrameBytes)})
	return t, nil
}

// drpcManagerOptions returns the options of connections on which messages have maxBytes at most.
func drpcManagerOptions(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes + drpcOverheadBytes},
		Stream: drpcstream.Options{SplitSize: wireFrameBytes},
	}
}

// Handle implements ports.PeerTransport.
func (t *Transport) Handle(kind ports.MessageKind, newMessage func() ports.Message, handler func(ports.DaemonID, ports.Message)) {
	t.handlers[kind] = messageHandler{newMessage: newMessage, handle: handler}
}

// OnSession implements ports.PeerTransport. A session that is closed because it was
// idle is not reported as lost.
func (t *Transport) OnSession(callback func(ports.DaemonID, bool)) {
	t.sessionCallbacks = append(t.sessionCallbacks, callback)
}

// SetPeers replaces the VMs of the other daemons, from which their addresses and
// regions are taken.
func (t *Transport) SetPeers(daemons []ports.VM) {
	peers := make(map[ports.DaemonID]ports.VM, len(daemons))
	for _, vm := range daemons {
		peers[vm.Name] = vm
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = peers
}

// Send implements ports.PeerTransport.
func (t *Transport) Send(to ports.DaemonID, message ports.Message) {
	if to == t.options.Self.Name {
		t.senderFor(to).enqueueLocal(message)
		return
	}
	encoded, err := t.codec.encodeMessage(message)
	if err != nil {
		t.counters.countDropped(dropTooLarge)
		t.options.Logger.Error().Str("event", "peer-message-rejected").Str("peer", string(to)).Err(err).Msg("")
		return
	}
	t.senderFor(to).enqueue(encoded)
}

// Start listens on the address in the options and accepts connections from other
// daemons.
func (t *Transport) Start() error {
	listener, err := net.Listen("tcp", t.options.ListenAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	t.listener = listener
	t.goroutines.Add(1)
	go t.acceptLoop()
	return nil
}

// Address returns the "ip:port" that the transport listens on. Start must have
// succeeded.
func (t *Transport) Address() string {
	return t.listener.Addr().String()
}

// Stop closes the listener and all sessions and waits for their goroutines.
func (t *Transport) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.cancel()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for conn := range t.inboundConns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// senderFor returns the sender to a peer. It is created on first use and kept as long
// as the transport.
func (t *Transport) senderFor(id ports.DaemonID) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.senders[id]
	if !ok {
		s = newSender(t, id)
		t.senders[id] = s
	}
	return s
}

// lookUpPeer returns the VM of a peer and whether its address is known.
func (t *Transport) lookUpPeer(id ports.DaemonID) (ports.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	vm, ok := t.peers[id]
	return vm, ok && vm.Address != ""
}

// goUnlessStopped runs a function in a goroutine that Stop waits for. It returns false
// if the transport is stopped.
func (t *Transport) goUnlessStopped(run func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.goroutines.Go(run)
	return true
}

// notifySession reports a session as established or lost to the callbacks, in order
// with the messages of the peer.
func (t *Transport) notifySession(id ports.DaemonID, up bool) {
	t.options.Pool.Submit(string(id), func() {
		for _, callback := range t.sessionCallbacks {
			callback(id, up)
		}
	})
}

// deliver passes messages to their handlers in the worker pool.
func (t *Transport) deliver(from ports.DaemonID, messages []ports.Message) {
	if len(messages) == 0 {
		return
	}
	t.options.Pool.Submit(string(from), func() {
		for _, message := range messages {
			t.handleMessage(from, message)
		}
	})
}

// handleMessage passes a message to its handler. A handler that panics loses the message, and
// not the process: all daemons that get the same message would end at once.
func (t *Transport) handleMessage(from ports.DaemonID, message ports.Message) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		t.counters.handlerPanics.Inc(1)
		if t.logLimiter.Allow("peer-handler-panic", kindName(message.Kind())) {
			t.options.Logger.Error().Str("event", "peer-handler-panic").Str("peer", string(from)).
				Str("kind", kindName(message.Kind())).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("")
		}
	}()
	t.handlers[message.Kind()].handle(from, message)
}

var _ drpc.Encoding = (*codec)(nil)
