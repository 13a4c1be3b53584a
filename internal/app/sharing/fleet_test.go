package sharing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// testService is the only service of a test fleet.
const testService ports.ServiceName = "drafter"

// hangTimeout bounds waits that would otherwise never end when a test fails. No
// test checks its value.
const hangTimeout = 20 * time.Second

// fleet is a set of managers connected by in-process transports.
type fleet struct {
	t        *testing.T
	mu       sync.Mutex
	nodes    map[ports.DaemonID]*node
	shards   []ports.ShardView
	isolated map[ports.DaemonID]bool
	document configuration.Document
}

// node is one daemon of the fleet. It fakes the daemon's directory and transport;
// configurationSource fakes its configuration.
type node struct {
	fleet           *fleet
	vm              ports.VM
	manager         *Manager
	inbox           chan envelope
	handlers        map[ports.MessageKind]func(ports.DaemonID, ports.Message)
	onSession       func(ports.DaemonID, bool)
	changeCallbacks []func()
	revision        *configuration.Revision
}

func newFleet(t *testing.T, daemons int, shards []ports.ShardView) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		nodes:    make(map[ports.DaemonID]*node),
		shards:   shards,
		isolated: make(map[ports.DaemonID]bool),
		document: configuration.Document{
			Services: map[ports.ServiceName]configuration.Service{
				testService: {Kind: configuration.ServiceKindPlain, MaxInFlight: 2},
			},
		},
	}
	for i := range daemons {
		f.add(daemonName(i))
	}
	for _, n := range f.nodes {
		n.manager.Run()
		go n.deliver()
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.manager.Stop()
		}
	})
	return f
}

func daemonName(i int) ports.DaemonID {
	return ports.DaemonID(fmt.Sprintf("daemon-%d", i))
}

func (f *fleet) add(name ports.DaemonID) {
	n := &node{
		fleet:    f,
		vm:       ports.VM{Name: name, Domain: ports.FailureDomain(name), Region: "region"},
		inbox:    make(chan envelope, 1<<14),
		handlers: make(map[ports.MessageKind]func(ports.DaemonID, ports.Message)),
		revision: &configuration.Revision{Document: f.document},
	}
	n.manager = NewManager(Params{
		Settings: &settings.Settings{Limits: settings.Limits{
			QueueMemory: 1 << 24, WorkspaceQueueMemory: 1 << 23,
		}},
		Logger:        &log.Logger{Level: log.PanicLevel},
		Scope:         tally.NoopScope,
		Directory:     n,
		Transport:     n,
		Configuration: configurationSource{n},
	})
	f.nodes[name] = n
}

// moveShard makes another daemon the owner of a shard.
func (f *fleet) moveShard(shard int, owner ports.DaemonID) {
	f.mu.Lock()
	moved := append([]ports.ShardView(nil), f.shards...)
	moved[shard].Owner = owner
	f.shards = moved
	f.mu.Unlock()
	for _, n := range f.nodes {
		for _, callback := range n.changeCallbacks {
			callback()
		}
	}
}

// setIsolated sets whether all messages from and to a daemon are dropped, and ends
// or starts its sessions.
func (f *fleet) setIsolated(name ports.DaemonID, isolated bool) {
	f.mu.Lock()
	f.isolated[name] = isolated
	f.mu.Unlock()
	for peer, n := range f.nodes {
		if peer != name {
			n.onSession(name, !isolated)
			f.nodes[name].onSession(peer, !isolated)
		}
	}
}

func (n *node) deliver() {
	for {
		select {
		case <-n.manager.stop:
			return
		case e := <-n.inbox:
			n.handlers[e.message.Kind()](e.to, e.message)
		}
	}
}

// Send implements ports.PeerTransport. In the inbox, envelope.to is the sender.
func (n *node) Send(to ports.DaemonID, message ports.Message) {
	n.fleet.mu.Lock()
	peer := n.fleet.nodes[to]
	isolated := to != n.vm.Name && (n.fleet.isolated[to] || n.fleet.isolated[n.vm.Name])
	n.fleet.mu.Unlock()
	if peer != nil && !isolated {
		peer.inbox <- envelope{to: n.vm.Name, message: message}
	}
}

func (n *node) Handle(kind ports.MessageKind, _ func() ports.Message, handler func(ports.DaemonID, ports.Message)) {
	n.handlers[kind] = handler
}

func (n *node) OnSession(callback func(ports.DaemonID, bool)) { n.onSession = callback }

func (n *node) Self() ports.VM { return n.vm }

func (n *node) Incarnation() ports.Incarnation { return 1 }

func (n *node) Daemons() []ports.VM {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var vms []ports.VM
	for _, peer := range n.fleet.nodes {
		vms = append(vms, peer.vm)
	}
	return vms
}

func (n *node) Servers(ports.ServiceName) []ports.VM { return nil }

func (n *node) Shards(ports.ServiceName) []ports.ShardView {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.shards
}

func (n *node) KeyOwner(string) ports.DaemonID { return n.vm.Name }

func (n *node) OnChange(callback func()) { n.changeCallbacks = append(n.changeCallbacks, callback) }

// configurationSource is a node's fake configuration source.
type configurationSource struct{ node *node }

func (c configurationSource) Current() *ports.Configuration { return c.node.revision }

func (c configurationSource) OnChange(func(*ports.Configuration)) {}

func newShard(id string, owner ports.DaemonID, domain ports.FailureDomain, servers int) ports.ShardView {
	shard := ports.ShardView{ID: ports.ShardID(id), Service: testService, Domain: domain, Region: "region", Owner: owner}
	for i := range servers {
		shard.Servers = append(shard.Servers, ports.VM{Name: ports.VMName(fmt.Sprintf("%s-%d", id, i)), Address: "127.0.0.1:1"})
	}
	return shard
}

func newCall(workspace ports.WorkspaceID, maxWait time.Duration) *ports.Call {
	now := time.Now()
	return &ports.Call{
		Workspace: workspace, Service: testService, Class: "class",
		Arrived: now, FirstTokenBy: now.Add(maxWait / 2), Deadline: now.Add(maxWait),
	}
}

func (f *fleet) acquire(daemon int, workspace ports.WorkspaceID) ports.Slot {
	f.t.Helper()
	slot, err := f.nodes[daemonName(daemon)].manager.Acquire(context.Background(), newCall(workspace, hangTimeout))
	if err != nil {
		f.t.Fatalf("no slot at daemon %d: %v", daemon, err)
	}
	return slot
}
