package idempotency

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/ports"
)

// fakePlatform is an object API that can be unavailable and can lose responses.
type fakePlatform struct {
	mu          sync.Mutex
	objects     map[string]ports.Object
	unavailable bool
	// responsesToLose is the number of writes whose responses are lost.
	responsesToLose int
	writeCount      int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]ports.Object)}
}

func (p *fakePlatform) Get(_ context.Context, name string) (ports.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return ports.Object{}, &ports.PlatformUnavailableError{Operation: "get", Cause: io.EOF}
	}
	object, ok := p.objects[name]
	if !ok {
		return ports.Object{}, &ports.ObjectNotFoundError{Name: name}
	}
	return object, nil
}

func (p *fakePlatform) Put(
	_ context.Context, name string, value []byte, expected ports.ObjectVersion,
) (ports.ObjectVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return 0, &ports.PlatformUnavailableError{Operation: "put", Cause: io.EOF}
	}
	if p.objects[name].Version != expected {
		return 0, &ports.ObjectConflictError{Name: name, Expected: expected}
	}
	p.writeCount++
	p.objects[name] = ports.Object{Name: name, Version: expected + 1, Value: value}
	if p.responsesToLose > 0 {
		p.responsesToLose--
		return 0, &ports.PlatformUnavailableError{Operation: "put", Cause: io.EOF}
	}
	return expected + 1, nil
}

func (p *fakePlatform) Delete(context.Context, string, ports.ObjectVersion) error { return nil }

func (p *fakePlatform) Watch(ctx context.Context, name string, _ ports.ObjectVersion) (ports.Object, error) {
	return p.Get(ctx, name)
}

// writes returns the number of writes so far.
func (p *fakePlatform) writes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writeCount
}

func (p *fakePlatform) setUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
}

// fakeNetwork delivers messages between the daemons of one test.
type fakeNetwork struct {
	mu      sync.Mutex
	daemons map[ports.DaemonID]*testDaemon
	// shouldDrop drops a message if it returns true. It may be nil.
	shouldDrop func(from, to ports.DaemonID, message ports.Message) bool
}

// testDaemon is a daemon with an AttemptManager and a RangeManager. It implements
// ports.PeerTransport and those methods of ports.Directory that are used.
type testDaemon struct {
	ports.Directory
	id       ports.DaemonID
	network  *fakeNetwork
	handlers map[ports.MessageKind]func(ports.DaemonID, ports.Message)
	attempts *AttemptManager
	ranges   *RangeManager

	mu       sync.Mutex
	keyOwner ports.DaemonID
}

func (d *testDaemon) Send(to ports.DaemonID, message ports.Message) {
	d.network.mu.Lock()
	target := d.network.daemons[to]
	dropped := d.network.shouldDrop != nil && d.network.shouldDrop(d.id, to, message)
	d.network.mu.Unlock()
	if target != nil && !dropped {
		go target.handlers[message.Kind()](d.id, message)
	}
}

func (d *testDaemon) Handle(
	kind ports.MessageKind, _ func() ports.Message, handler func(ports.DaemonID, ports.Message),
) {
	d.handlers[kind] = handler
}

func (d *testDaemon) OnSession(func(ports.DaemonID, bool)) {}

// KeyOwner implements ports.Directory.
func (d *testDaemon) KeyOwner(string) ports.DaemonID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keyOwner
}

// Self implements ports.Directory.
func (d *testDaemon) Self() ports.VM { return ports.VM{Name: d.id} }

// setKeyOwner makes the daemon use the given daemon as the owner of all ranges.
func (d *testDaemon) setKeyOwner(keyOwner ports.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keyOwner = keyOwner
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{daemons: make(map[ports.DaemonID]*testDaemon)}
}

func (n *fakeNetwork) addDaemon(t *testing.T, id, keyOwner ports.DaemonID, platform ports.ObjectAPI) *testDaemon {
	d := &testDaemon{
		id: id, keyOwner: keyOwner, network: n,
		handlers: make(map[ports.MessageKind]func(ports.DaemonID, ports.Message)),
	}
	logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	d.attempts = NewAttemptManager(logger, tally.NoopScope, d, d)
	d.ranges = NewRangeManager(logger, tally.NoopScope, platform, d)
	d.attempts.Run()
	n.mu.Lock()
	n.daemons[id] = d
	n.mu.Unlock()
	t.Cleanup(func() {
		d.attempts.Stop()
		d.ranges.Stop()
	})
	return d
}

func newCall(key, body string) *ports.Call {
	now := time.Now()
	return &ports.Call{
		Workspace: "w", Service: "s", IdempotencyKey: key, Body: []byte(body),
		Arrived: now, Deadline: now.Add(30 * time.Second),
	}
}
