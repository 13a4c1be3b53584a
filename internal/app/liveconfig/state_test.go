package liveconfig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// write is a conditional update on its way to the platform.
type write struct {
	value    []byte
	expected ports.ObjectVersion
}

// stepPlatform is an object API whose writes can lose their answers or take
// effect late. It keeps every version, so that a read can be stale.
type stepPlatform struct {
	versions []ports.Object
	lose     bool
	delay    bool
	late     []write
}

func (p *stepPlatform) newest() ports.Object {
	if len(p.versions) == 0 {
		return ports.Object{}
	}
	return p.versions[len(p.versions)-1]
}

func (p *stepPlatform) Get(_ context.Context, name string) (ports.Object, error) {
	if len(p.versions) == 0 {
		return ports.Object{}, &ports.ObjectNotFoundError{Name: name}
	}
	return p.newest(), nil
}

func (p *stepPlatform) Put(_ context.Context, name string, value []byte, expected ports.ObjectVersion) (ports.ObjectVersion, error) {
	if p.delay {
		p.delay = false
		p.late = append(p.late, write{value: value, expected: expected})
		return 0, unavailable("put")
	}
	if !p.update(write{value: value, expected: expected}) {
		return 0, &ports.ObjectConflictError{Name: name, Expected: expected}
	}
	if p.lose {
		p.lose = false
		return 0, unavailable("put")
	}
	return p.newest().Version, nil
}

func (p *stepPlatform) update(w write) bool {
	if p.newest().Version != w.expected {
		return false
	}
	p.versions = append(p.versions, ports.Object{Version: w.expected + 1, Value: w.value})
	return true
}

func (p *stepPlatform) Delete(context.Context, string, ports.ObjectVersion) error {
	return unavailable("delete")
}

func (p *stepPlatform) Watch(context.Context, string, ports.ObjectVersion) (ports.Object, error) {
	return ports.Object{}, unavailable("watch")
}

// envelope is a message on its way.
type envelope struct {
	from, to int
	message  ports.Message
}

// stepNode is the transport and directory of one daemon of a step world.
type stepNode struct {
	node
	world *stepWorld
	index int
}

func (n *stepNode) Send(to ports.DaemonID, message ports.Message) {
	for i, daemon := range n.daemons {
		if daemon.Name == to {
			n.world.flying = append(n.world.flying, envelope{from: n.index, to: i, message: message})
		}
	}
}

// try is an edit whose end its operator does not know yet.
type try struct {
	edit configuration.Edit
}

// stepWorld carries out one step after the other: daemons, messages, platform
// and operators in any interleaving.
type stepWorld struct {
	platform *stepPlatform
	nodes    []*stepNode
	managers []*Manager
	flying   []envelope
	pending  []try
	edits    int
	// highest is the highest revision that each daemon had in force.
	highest []configuration.RevisionNumber
	// told holds what operators were told: the number, or zero for a conflict.
	told  map[string]configuration.RevisionNumber
	fault string
}

func newStepWorld(daemons int) *stepWorld {
	w := &stepWorld{platform: &stepPlatform{}, told: map[string]configuration.RevisionNumber{}}
	var vms []ports.VM
	for i := range daemons {
		vms = append(vms, ports.VM{
			Name:   ports.VMName(fmt.Sprintf("vm-%d", i)),
			Domain: ports.FailureDomain(fmt.Sprintf("domain-%d", i%2)),
		})
	}
	for i, vm := range vms {
		w.nodes = append(w.nodes, &stepNode{node: node{self: vm, daemons: vms}, world: w, index: i})
		w.managers = append(w.managers, nil)
		w.highest = append(w.highest, 0)
		w.restart(i)
	}
	return w
}

// restart replaces a daemon by one that knows nothing.
func (w *stepWorld) restart(i int) {
	n := w.nodes[i]
	n.handlers = map[ports.MessageKind]func(ports.DaemonID, ports.Message){}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	w.managers[i] = New(w.platform, n, n, n, logger, tally.NoopScope)
	w.highest[i] = 0
}

// The kinds of step.
const (
	stepDeliver = iota
	stepRepeat
	stepDrop
	stepEdit
	stepRetry
	stepRead
	stepStaleRead
	stepProbe
	stepLose
	stepDelay
	stepLateWrite
	stepRestart
	stepKinds
)

// step carries out one step that a number determines.
func (w *stepWorld) step(number int) {
	argument := number / stepKinds
	daemon := argument % len(w.managers)
	switch number % stepKinds {
	case stepDeliver:
		w.deliver(argument, true)
	case stepRepeat:
		w.deliver(argument, false)
	case stepDrop:
		w.take(argument)
	case stepEdit:
		w.edits++
		base := w.managers[daemon].revisionInForce()
		e := edit(base, fmt.Sprintf("edit-%d", w.edits))
		e.Document = document(w.edits)
		// A patch on a wrong base leaves a class of that base behind.
		e.Document.Classes[configuration.ClassName(e.ApplyID)] = e.Document.Classes["short"]
		w.attempt(daemon, try{edit: e})
	case stepRetry:
		if len(w.pending) > 0 {
			next := w.pending[0]
			w.pending = w.pending[1:]
			w.attempt(daemon, next)
		}
	case stepRead:
		w.read(daemon, len(w.platform.versions)-1)
	case stepStaleRead:
		if count := len(w.platform.versions); count > 0 {
			w.read(daemon, argument%count)
		}
	case stepProbe:
		w.probe(daemon, (daemon+1+argument/len(w.managers)%(len(w.managers)-1))%len(w.managers))
	case stepLose:
		w.platform.lose = true
	case stepDelay:
		w.platform.delay = true
	case stepLateWrite:
		if len(w.platform.late) > 0 {
			w.platform.update(w.platform.late[0])
			w.platform.late = w.platform.late[1:]
		}
	case stepRestart:
		w.restart(daemon)
	}
}

func (w *stepWorld) take(argument int) (envelope, bool) {
	if len(w.flying) == 0 {
		return envelope{}, false
	}
	i := argument % len(w.flying)
	taken := w.flying[i]
	w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
	return taken, true
}

func (w *stepWorld) deliver(argument int, last bool) {
	taken, found := w.take(argument)
	if !found {
		return
	}
	if !last {
		w.flying = append(w.flying, taken)
	}
	w.nodes[taken.to].handlers[taken.message.Kind()](w.nodes[taken.from].self.Name, taken.message)
}

func (w *stepWorld) read(daemon, version int) {
	if version >= 0 {
		update, err := readChainObject(w.platform.versions[version])
		if err != nil {
			panic(err)
		}
		w.managers[daemon].adoptUpdate(update)
	}
}

func (w *stepWorld) probe(a, b int) {
	ofA, ofB := w.nodes[a].current(), w.nodes[b].current()
	w.nodes[a].observe(w.nodes[b].self.Name, ofB)
	w.nodes[b].observe(w.nodes[a].self.Name, ofA)
}

// attempt makes one try of an edit at a daemon.
func (w *stepWorld) attempt(daemon int, t try) {
	build := func(configuration.Chain) (configuration.Edit, error) { return t.edit, nil }
	summary, progress, err := w.managers[daemon].tryEdit(context.Background(), t.edit.ApplyID, build)
	var conflict *configuration.ConflictError
	switch {
	case progress.again:
		w.pending = append(w.pending, t)
	case err == nil:
		w.tell(t.edit.ApplyID, summary.Number)
	case errors.As(err, &conflict):
		w.tell(t.edit.ApplyID, 0)
	default:
		w.fault = err.Error()
	}
}

func (w *stepWorld) tell(applyID string, number configuration.RevisionNumber) {
	if before, told := w.told[applyID]; told && before != number {
		w.fault = fmt.Sprintf("%s was told %d, then %d", applyID, before, number)
	}
	w.told[applyID] = number
}

// check returns what does not hold, or "".
func (w *stepWorld) check() string {
	if w.fault != "" {
		return w.fault
	}
	chain := w.chain()
	for i, m := range w.managers {
		current := m.Current()
		if current == nil {
			continue
		}
		if current.Number < w.highest[i] {
			return fmt.Sprintf("daemon %d went back from %d to %d", i, w.highest[i], current.Number)
		}
		w.highest[i] = current.Number
		for _, summary := range chain.History {
			if summary.Number == current.Number && summary.Digest != current.Digest {
				return fmt.Sprintf("daemon %d has another revision %d than the platform", i, current.Number)
			}
		}
		if current.Number > chain.CurrentNumber() {
			return fmt.Sprintf("daemon %d has revision %d, which was never accepted", i, current.Number)
		}
	}
	return w.checkTold(chain)
}

// checkTold compares what operators were told with the chain.
func (w *stepWorld) checkTold(chain configuration.Chain) string {
	for applyID, number := range w.told {
		summary, listed := chain.FindByApplyID(applyID)
		if listed && summary.Number != number {
			return fmt.Sprintf("%s was told %d and is revision %d", applyID, number, summary.Number)
		}
		if !listed && number != 0 {
			return fmt.Sprintf("%s was told %d and is not in the chain", applyID, number)
		}
	}
	return ""
}

func (w *stepWorld) chain() configuration.Chain {
	if len(w.platform.versions) == 0 {
		return configuration.Chain{}
	}
	chain, err := configuration.ParseChain(w.platform.newest().Value)
	if err != nil {
		w.fault = err.Error()
	}
	return chain
}

// settle lets a watcher read, every daemon compare and all messages arrive.
func (w *stepWorld) settle() {
	w.read(0, len(w.platform.versions)-1)
	for range len(w.managers) {
		for i, m := range w.managers {
			m.mu.Lock()
			m.pullUntil = time.Time{}
			m.mu.Unlock()
			w.probe(i, (i+1)%len(w.managers))
		}
		for len(w.flying) > 0 {
			w.deliver(0, true)
		}
	}
}

// In any interleaving of edits, lost and late writes, stale reads, messages that
// are lost, repeated and overtaken, and restarts: no daemon goes back, none has
// what was not accepted, operators are told the truth, and in the end all have
// the newest revision.
func TestAnyInterleavingKeepsThePromisesOfConfigurations(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 150
	parameters.MaxSize = 120
	properties := gopter.NewProperties(parameters)
	properties.Property("promises hold", prop.ForAll(
		func(steps []int) string {
			w := newStepWorld(4)
			for i, number := range steps {
				w.step(number)
				if fault := w.check(); fault != "" {
					return fmt.Sprintf("after step %d: %s", i, fault)
				}
			}
			w.settle()
			newest := w.chain().CurrentNumber()
			for i, m := range w.managers {
				if m.revisionInForce() != newest {
					return fmt.Sprintf("daemon %d settled at %d, the platform at %d", i, m.revisionInForce(), newest)
				}
			}
			return w.check()
		},
		gen.SliceOf(gen.IntRange(0, 10_000)),
	))
	properties.TestingRun(t)
}
