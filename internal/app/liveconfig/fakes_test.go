package liveconfig

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// awaitTimeout is the maximum time to wait for a condition before a test fails.
const awaitTimeout = 30 * time.Second

// errDown is the cause of the errors of the fake platform.
var errDown = fmt.Errorf("down")

// fakePlatform is an in-memory object API with one object. It can be made
// unavailable to all daemons or, through their clients, to some.
type fakePlatform struct {
	mu      sync.Mutex
	object  ports.Object
	changed chan struct{}
	down    bool
	// answersToLose is the number of further writes that take effect but return
	// an error.
	answersToLose int
	// beforePut is called before each write.
	beforePut func()
	puts      int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{changed: make(chan struct{})}
}

// platformClient is one daemon's access to the platform.
type platformClient struct {
	*fakePlatform
	mu           sync.Mutex
	disconnected bool
}

func (c *platformClient) setDisconnected(disconnected bool) {
	c.mu.Lock()
	c.disconnected = disconnected
	c.mu.Unlock()
	c.fakePlatform.mu.Lock()
	defer c.fakePlatform.mu.Unlock()
	c.notifyLocked()
}

func (c *platformClient) isConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.disconnected
}

func (p *fakePlatform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyLocked()
}

func unavailable(operation string) error {
	return &ports.PlatformUnavailableError{Operation: operation, Cause: errDown}
}

func (c *platformClient) Get(_ context.Context, name string) (ports.Object, error) {
	c.fakePlatform.mu.Lock()
	defer c.fakePlatform.mu.Unlock()
	if c.down || !c.isConnected() {
		return ports.Object{}, unavailable("get")
	}
	if c.object.Version == 0 {
		return ports.Object{}, &ports.ObjectNotFoundError{Name: name}
	}
	return c.object, nil
}

func (c *platformClient) Put(_ context.Context, name string, value []byte, expected ports.ObjectVersion) (ports.ObjectVersion, error) {
	c.fakePlatform.mu.Lock()
	beforePut := c.beforePut
	c.fakePlatform.mu.Unlock()
	if beforePut != nil {
		beforePut()
	}
	c.fakePlatform.mu.Lock()
	defer c.fakePlatform.mu.Unlock()
	c.puts++
	if c.down || !c.isConnected() {
		return 0, unavailable("put")
	}
	if c.object.Version != expected {
		return 0, &ports.ObjectConflictError{Name: name, Expected: expected}
	}
	c.object = ports.Object{Name: name, Version: expected + 1, Value: value}
	c.notifyLocked()
	if c.answersToLose > 0 {
		c.answersToLose--
		return 0, unavailable("put")
	}
	return c.object.Version, nil
}

func (c *platformClient) Delete(context.Context, string, ports.ObjectVersion) error {
	return unavailable("delete")
}

func (c *platformClient) Watch(ctx context.Context, _ string, after ports.ObjectVersion) (ports.Object, error) {
	for {
		c.fakePlatform.mu.Lock()
		object, changed, down := c.object, c.changed, c.down
		c.fakePlatform.mu.Unlock()
		if down || !c.isConnected() {
			return ports.Object{}, unavailable("watch")
		}
		if object.Version > after {
			return object, nil
		}
		select {
		case <-ctx.Done():
			return ports.Object{}, unavailable("watch")
		case <-changed:
		}
	}
}

// fakeNetwork delivers messages between the managers of a test, in order for each
// receiver. A disconnected daemon neither sends nor receives.
type fakeNetwork struct {
	mu           sync.Mutex
	disconnected map[ports.DaemonID]bool
	// fullPushes and patchPushes count the pushes with a whole document and
	// with a patch, from revision 2 on.
	fullPushes, patchPushes int
	nodes                   map[ports.DaemonID]*fakeNode
}

// fakeNode implements the peer transport, the directory and the revision exchange
// of one daemon.
type fakeNode struct {
	network  *fakeNetwork
	self     ports.VM
	daemons  []ports.VM
	handlers map[ports.MessageKind]func(ports.DaemonID, ports.Message)
	inbox    chan func()
	// current and observe are the callbacks that ExchangeRevisions registered.
	current func() uint64
	observe func(ports.DaemonID, uint64)
}

func (n *fakeNode) ExchangeRevisions(current func() uint64, observe func(ports.DaemonID, uint64)) {
	n.current, n.observe = current, observe
}

// probe exchanges the revision numbers of two daemons, as a probe and its
// acknowledgement do.
func (n *fakeNetwork) probe(from, to *fakeNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from == to || n.disconnected[from.self.Name] || n.disconnected[to.self.Name] {
		return
	}
	for _, pair := range [][2]*fakeNode{{from, to}, {to, from}} {
		revision := pair[0].current()
		sender, receiver := pair[0].self.Name, pair[1]
		select {
		case receiver.inbox <- func() { receiver.observe(sender, revision) }:
		default:
		}
	}
}

func (n *fakeNode) Send(to ports.DaemonID, message ports.Message) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	target := n.network.nodes[to]
	if target == nil || n.network.disconnected[to] || n.network.disconnected[n.self.Name] {
		return
	}
	if push, ok := message.(*ports.ConfigurationPush); ok && push.Number > 1 {
		if push.Base == 0 {
			n.network.fullPushes++
		} else {
			n.network.patchPushes++
		}
	}
	handler := target.handlers[message.Kind()]
	select {
	case target.inbox <- func() { handler(n.self.Name, message) }:
	default:
	}
}

func (n *fakeNode) Handle(kind ports.MessageKind, _ func() ports.Message, handler func(ports.DaemonID, ports.Message)) {
	n.handlers[kind] = handler
}

func (n *fakeNode) OnSession(func(ports.DaemonID, bool))       {}
func (n *fakeNode) Self() ports.VM                             { return n.self }
func (n *fakeNode) Incarnation() ports.Incarnation             { return 1 }
func (n *fakeNode) Daemons() []ports.VM                        { return n.daemons }
func (n *fakeNode) Servers(ports.ServiceName) []ports.VM       { return nil }
func (n *fakeNode) Shards(ports.ServiceName) []ports.ShardView { return nil }
func (n *fakeNode) KeyOwner(string) ports.DaemonID             { return n.self.Name }
func (n *fakeNode) OnChange(func())                            {}
func (n *fakeNode) processInbox(stopped <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stopped:
			return
		case task := <-n.inbox:
			task()
		}
	}
}

// testFleet is a set of managers that share one network and one platform.
type testFleet struct {
	t        *testing.T
	platform *fakePlatform
	network  *fakeNetwork
	clients  []*platformClient
	managers []*Manager
}

// newFleet creates managers in the given number of failure domains. Their loops
// don't run until run is called.
func newFleet(t *testing.T, domains, perDomain int) *testFleet {
	t.Helper()
	f := &testFleet{
		t:        t,
		platform: newFakePlatform(),
		network:  &fakeNetwork{disconnected: map[ports.DaemonID]bool{}, nodes: map[ports.DaemonID]*fakeNode{}},
	}
	var daemons []ports.VM
	for domain := range domains {
		for i := range perDomain {
			daemons = append(daemons, ports.VM{
				Name:   ports.VMName(fmt.Sprintf("vm-%d-%d", domain, i)),
				Kind:   ports.VMKindDaemon,
				Domain: ports.FailureDomain(fmt.Sprintf("domain-%d", domain)),
			})
		}
	}
	for _, daemon := range daemons {
		f.addDaemon(daemon, daemons)
	}
	return f
}

func (f *testFleet) addDaemon(daemon ports.VM, daemons []ports.VM) {
	n := &fakeNode{
		network:  f.network,
		self:     daemon,
		daemons:  daemons,
		handlers: map[ports.MessageKind]func(ports.DaemonID, ports.Message){},
		inbox:    make(chan func(), 1024),
	}
	client := &platformClient{fakePlatform: f.platform}
	m := New(client, n, n, n, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
	f.network.mu.Lock()
	f.network.nodes[daemon.Name] = n
	f.network.mu.Unlock()
	f.clients = append(f.clients, client)
	f.managers = append(f.managers, m)
	stopped := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go n.processInbox(stopped, &done)
	f.t.Cleanup(func() {
		close(stopped)
		done.Wait()
	})
}

func (f *testFleet) run() {
	stopped := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { f.probeRandomPairs(stopped) })
	f.t.Cleanup(func() {
		close(stopped)
		done.Wait()
	})
	for _, m := range f.managers {
		m.Run()
		f.t.Cleanup(m.Stop)
	}
}

// probeRandomPairs makes random pairs of daemons exchange their revision numbers.
func (f *testFleet) probeRandomPairs(stopped <-chan struct{}) {
	random := rand.New(rand.NewPCG(1, 2))
	nodes := slices.Collect(maps.Values(f.network.nodes))
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Millisecond):
			f.network.probe(nodes[random.IntN(len(nodes))], nodes[random.IntN(len(nodes))])
		}
	}
}

// setDisconnected disconnects a daemon from the other daemons or reconnects it.
func (f *testFleet) setDisconnected(daemon ports.DaemonID, disconnected bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.disconnected[daemon] = disconnected
}

// awaitRevision waits until the managers, by default all of the fleet, have the
// revision or a higher one in force.
func (f *testFleet) awaitRevision(number configuration.RevisionNumber, managers ...*Manager) {
	f.t.Helper()
	if managers == nil {
		managers = f.managers
	}
	for _, m := range managers {
		awaitCondition(f.t, func() bool { return m.currentNumber() >= number })
	}
}

func awaitCondition(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the condition")
		}
		time.Sleep(time.Millisecond)
	}
}

// newDocument returns a valid document that is unique for the number.
func newDocument(number int) configuration.Document {
	return configuration.Document{
		Classes: map[configuration.ClassName]configuration.Class{
			"short": {FirstTokenWithin: configuration.Duration(time.Second), AnswerWithin: configuration.Duration(time.Duration(number+1) * time.Second)},
		},
		Services: map[configuration.ServiceName]configuration.Service{
			"drafter": {Kind: configuration.ServiceKindEngine, DefaultClass: "short"},
		},
	}
}

// mustApply applies an edit on base through the manager and checks that it
// becomes the next revision.
func (f *testFleet) mustApply(m *Manager, base configuration.RevisionNumber) {
	f.t.Helper()
	summary, err := m.Apply(context.Background(), newEdit(base, fmt.Sprintf("apply-%d", base+1)))
	if err != nil {
		f.t.Fatal(err)
	}
	if summary.Number != base+1 {
		f.t.Fatalf("accepted as revision %d, want %d", summary.Number, base+1)
	}
}

func newEdit(base configuration.RevisionNumber, applyID string) configuration.Edit {
	return configuration.Edit{Base: base, ApplyID: applyID, Author: "alice", Document: newDocument(int(base))}
}
