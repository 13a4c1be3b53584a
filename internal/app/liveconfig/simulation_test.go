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

// conditionalWrite is an update that takes effect if the object still has the
// expected version.
type conditionalWrite struct {
	value    []byte
	expected ports.ObjectVersion
}

// simulatedPlatform is an object API whose writes can lose their answers or take
// effect late. It keeps every version of the object, so that a read can be stale.
type simulatedPlatform struct {
	versions       []ports.Object
	loseNextAnswer bool
	delayNextWrite bool
	lateWrites     []conditionalWrite
}

func (p *simulatedPlatform) newest() ports.Object {
	if len(p.versions) == 0 {
		return ports.Object{}
	}
	return p.versions[len(p.versions)-1]
}

func (p *simulatedPlatform) Get(_ context.Context, name string) (ports.Object, error) {
	if len(p.versions) == 0 {
		return ports.Object{}, &ports.ObjectNotFoundError{Name: name}
	}
	return p.newest(), nil
}

func (p *simulatedPlatform) Put(_ context.Context, name string, value []byte, expected ports.ObjectVersion) (ports.ObjectVersion, error) {
	if p.delayNextWrite {
		p.delayNextWrite = false
		p.lateWrites = append(p.lateWrites, conditionalWrite{value: value, expected: expected})
		return 0, unavailable("put")
	}
	if !p.applyWrite(conditionalWrite{value: value, expected: expected}) {
		return 0, &ports.ObjectConflictError{Name: name, Expected: expected}
	}
	if p.loseNextAnswer {
		p.loseNextAnswer = false
		return 0, unavailable("put")
	}
	return p.newest().Version, nil
}

func (p *simulatedPlatform) applyWrite(w conditionalWrite) bool {
	if p.newest().Version != w.expected {
		return false
	}
	p.versions = append(p.versions, ports.Object{Version: w.expected + 1, Value: w.value})
	return true
}

func (p *simulatedPlatform) Delete(context.Context, string, ports.ObjectVersion) error {
	return unavailable("delete")
}

func (p *simulatedPlatform) Watch(context.Context, string, ports.ObjectVersion) (ports.Object, error) {
	return ports.Object{}, unavailable("watch")
}

// envelope is a message in flight between two daemons, which are given by index.
type envelope struct {
	from, to int
	message  ports.Message
}

// simulatedNode is the transport and the directory of one simulated daemon.
type simulatedNode struct {
	fakeNode
	simulation *simulation
	index      int
}

func (n *simulatedNode) Send(to ports.DaemonID, message ports.Message) {
	for i, daemon := range n.daemons {
		if daemon.Name == to {
			n.simulation.inFlight = append(n.simulation.inFlight, envelope{from: n.index, to: i, message: message})
		}
	}
}

// pendingEdit is an edit whose outcome is not yet known to its operator.
type pendingEdit struct {
	edit configuration.Edit
}

// simulation executes the actions of daemons, network, platform and operators one
// at a time, so that a sequence of steps defines their interleaving.
type simulation struct {
	platform     *simulatedPlatform
	nodes        []*simulatedNode
	managers     []*Manager
	inFlight     []envelope
	pendingEdits []pendingEdit
	editCount    int
	// highestNumbers holds the highest revision that each daemon had in force
	// since its start.
	highestNumbers []configuration.RevisionNumber
	// reported holds the outcome that operators got by apply ID: the revision
	// number, or zero for a conflict.
	reported  map[string]configuration.RevisionNumber
	violation string
}

func newSimulation(daemons int) *simulation {
	s := &simulation{platform: &simulatedPlatform{}, reported: map[string]configuration.RevisionNumber{}}
	var vms []ports.VM
	for i := range daemons {
		vms = append(vms, ports.VM{
			Name:   ports.VMName(fmt.Sprintf("vm-%d", i)),
			Domain: ports.FailureDomain(fmt.Sprintf("domain-%d", i%2)),
		})
	}
	for i, vm := range vms {
		s.nodes = append(s.nodes, &simulatedNode{fakeNode: fakeNode{self: vm, daemons: vms}, simulation: s, index: i})
		s.managers = append(s.managers, nil)
		s.highestNumbers = append(s.highestNumbers, 0)
		s.restart(i)
	}
	return s
}

// restart replaces a daemon by one without state.
func (s *simulation) restart(i int) {
	n := s.nodes[i]
	n.handlers = map[ports.MessageKind]func(ports.DaemonID, ports.Message){}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	s.managers[i] = New(s.platform, n, n, n, logger, tally.NoopScope)
	s.highestNumbers[i] = 0
}

// Kinds of simulation steps.
const (
	stepDeliver = iota
	stepDuplicate
	stepDrop
	stepEdit
	stepRetry
	stepRead
	stepStaleRead
	stepProbe
	stepLoseAnswer
	stepDelayWrite
	stepLateWrite
	stepRestart
	stepKindCount
)

// runStep executes one step. The number determines its kind and argument.
func (s *simulation) runStep(number int) {
	argument := number / stepKindCount
	daemon := argument % len(s.managers)
	switch number % stepKindCount {
	case stepDeliver:
		s.deliver(argument, true)
	case stepDuplicate:
		s.deliver(argument, false)
	case stepDrop:
		s.takeMessage(argument)
	case stepEdit:
		s.editCount++
		base := s.managers[daemon].currentNumber()
		e := newEdit(base, fmt.Sprintf("edit-%d", s.editCount))
		e.Document = newDocument(s.editCount)
		// A class with a unique name makes a patch to a wrong base visible: a
		// class of that base remains.
		e.Document.Classes[configuration.ClassName(e.ApplyID)] = e.Document.Classes["short"]
		s.attemptEdit(daemon, pendingEdit{edit: e})
	case stepRetry:
		if len(s.pendingEdits) > 0 {
			next := s.pendingEdits[0]
			s.pendingEdits = s.pendingEdits[1:]
			s.attemptEdit(daemon, next)
		}
	case stepRead:
		s.readPlatform(daemon, len(s.platform.versions)-1)
	case stepStaleRead:
		if count := len(s.platform.versions); count > 0 {
			s.readPlatform(daemon, argument%count)
		}
	case stepProbe:
		s.probe(daemon, (daemon+1+argument/len(s.managers)%(len(s.managers)-1))%len(s.managers))
	case stepLoseAnswer:
		s.platform.loseNextAnswer = true
	case stepDelayWrite:
		s.platform.delayNextWrite = true
	case stepLateWrite:
		if len(s.platform.lateWrites) > 0 {
			s.platform.applyWrite(s.platform.lateWrites[0])
			s.platform.lateWrites = s.platform.lateWrites[1:]
		}
	case stepRestart:
		s.restart(daemon)
	}
}

// takeMessage removes a message that the argument selects from those in flight.
func (s *simulation) takeMessage(argument int) (envelope, bool) {
	if len(s.inFlight) == 0 {
		return envelope{}, false
	}
	i := argument % len(s.inFlight)
	taken := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	return taken, true
}

// deliver delivers a message in flight. Without remove it can be delivered again.
func (s *simulation) deliver(argument int, remove bool) {
	taken, found := s.takeMessage(argument)
	if !found {
		return
	}
	if !remove {
		s.inFlight = append(s.inFlight, taken)
	}
	s.nodes[taken.to].handlers[taken.message.Kind()](s.nodes[taken.from].self.Name, taken.message)
}

// readPlatform makes a daemon adopt a version of the object; an index below zero
// stands for no object.
func (s *simulation) readPlatform(daemon, version int) {
	if version >= 0 {
		update, err := parseChainObject(s.platform.versions[version])
		if err != nil {
			panic(err)
		}
		s.managers[daemon].adoptUpdate(update)
	}
}

// probe makes two daemons exchange their revision numbers.
func (s *simulation) probe(a, b int) {
	numberA, numberB := s.nodes[a].current(), s.nodes[b].current()
	s.nodes[a].observe(s.nodes[b].self.Name, numberB)
	s.nodes[b].observe(s.nodes[a].self.Name, numberA)
}

// attemptEdit makes one attempt of an edit at a daemon.
func (s *simulation) attemptEdit(daemon int, pending pendingEdit) {
	build := func(configuration.Chain) (configuration.Edit, error) { return pending.edit, nil }
	summary, result, err := s.managers[daemon].attemptEdit(context.Background(), pending.edit.ApplyID, build)
	var conflict *configuration.ConflictError
	switch {
	case result.retryable:
		s.pendingEdits = append(s.pendingEdits, pending)
	case err == nil:
		s.reportOutcome(pending.edit.ApplyID, summary.Number)
	case errors.As(err, &conflict):
		s.reportOutcome(pending.edit.ApplyID, 0)
	default:
		s.violation = err.Error()
	}
}

// reportOutcome records the outcome of an edit, which must not change later.
func (s *simulation) reportOutcome(applyID string, number configuration.RevisionNumber) {
	if previous, found := s.reported[applyID]; found && previous != number {
		s.violation = fmt.Sprintf("%s was reported as %d, then as %d", applyID, previous, number)
	}
	s.reported[applyID] = number
}

// findViolation returns a description of a violated invariant, or "".
func (s *simulation) findViolation() string {
	if s.violation != "" {
		return s.violation
	}
	chain := s.chain()
	for i, m := range s.managers {
		current := m.Current()
		if current == nil {
			continue
		}
		if current.Number < s.highestNumbers[i] {
			return fmt.Sprintf("daemon %d went back from revision %d to %d", i, s.highestNumbers[i], current.Number)
		}
		s.highestNumbers[i] = current.Number
		for _, summary := range chain.History {
			if summary.Number == current.Number && summary.Digest != current.Digest {
				return fmt.Sprintf("daemon %d has a revision %d that differs from the platform's", i, current.Number)
			}
		}
		if current.Number > chain.CurrentNumber() {
			return fmt.Sprintf("daemon %d has revision %d, which was never accepted", i, current.Number)
		}
	}
	return s.findWrongReport(chain)
}

// findWrongReport compares the outcomes that operators got with the chain.
func (s *simulation) findWrongReport(chain configuration.Chain) string {
	for applyID, number := range s.reported {
		summary, listed := chain.FindByApplyID(applyID)
		if listed && summary.Number != number {
			return fmt.Sprintf("%s was reported as %d and is revision %d", applyID, number, summary.Number)
		}
		if !listed && number != 0 {
			return fmt.Sprintf("%s was reported as %d and is not in the chain", applyID, number)
		}
	}
	return ""
}

func (s *simulation) chain() configuration.Chain {
	if len(s.platform.versions) == 0 {
		return configuration.Chain{}
	}
	chain, err := configuration.ParseChain(s.platform.newest().Value)
	if err != nil {
		s.violation = err.Error()
	}
	return chain
}

// converge makes a watcher read the platform, all daemons exchange revision
// numbers and all messages arrive, without faults.
func (s *simulation) converge() {
	s.readPlatform(0, len(s.platform.versions)-1)
	for range len(s.managers) {
		for i, m := range s.managers {
			m.mu.Lock()
			m.pullDeadline = time.Time{}
			m.mu.Unlock()
			s.probe(i, (i+1)%len(s.managers))
		}
		for len(s.inFlight) > 0 {
			s.deliver(0, true)
		}
	}
}

// The invariants hold in every interleaving of edits, lost answers, late
// writes, stale reads, messages that are lost, duplicated or reordered, and
// restarts: no daemon returns to an older revision or has one in force that was
// not accepted, operators get the true outcome, and all daemons converge to the
// newest revision.
func TestInvariantsHoldInAnyInterleaving(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 150
	parameters.MaxSize = 120
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold", prop.ForAll(
		func(steps []int) string {
			s := newSimulation(4)
			for i, number := range steps {
				s.runStep(number)
				if violation := s.findViolation(); violation != "" {
					return fmt.Sprintf("after step %d: %s", i, violation)
				}
			}
			s.converge()
			newest := s.chain().CurrentNumber()
			for i, m := range s.managers {
				if m.currentNumber() != newest {
					return fmt.Sprintf("daemon %d converged to revision %d, the platform to %d", i, m.currentNumber(), newest)
				}
			}
			return s.findViolation()
		},
		gen.SliceOf(gen.IntRange(0, 10_000)),
	))
	properties.TestingRun(t)
}
