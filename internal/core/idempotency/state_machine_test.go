package idempotency

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"hawthornstream/internal/core/outcome"
)

const (
	stateMachineSeed = 11
	stateMachineRuns = 2500
)

// step is one command of the state machine test.
type step struct {
	name string
	run  func(sim *simulation)
}

func (s *step) Run(sut commands.SystemUnderTest) commands.Result {
	sim := sut.(*simulation)
	sim.steps = append(sim.steps, s.name)
	s.run(sim)
	return sim.checkSingleRun()
}

func (s *step) NextState(state commands.State) commands.State { return state }

func (s *step) PreCondition(commands.State) bool { return true }

func (s *step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violation := result.(string); violation != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{violation}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (s *step) String() string { return s.name }

// genStep generates commands: begins and finishes at either owner, also repeated;
// actions that start and complete in separate commands, so that a daemon can pause
// in between; lost requests and responses; delayed writes; restarts; passing time.
func genStep(commands.State) gopter.Gen {
	return gen.IntRange(0, 15).FlatMap(func(kind any) gopter.Gen {
		return gopter.CombineGens(
			gen.IntRange(0, simulatedAttempts-1), gen.IntRange(0, simulatedOwners-1), gen.IntRange(0, int(actionResultCount)-1),
		).Map(func(values []any) commands.Command {
			return newStep(kind.(int), values[0].(int), values[1].(int), actionResult(values[2].(int)))
		})
	}, nil)
}

// newStep returns the step for the number kind, which sets the steps' frequencies.
func newStep(kind, attempt, owner int, result actionResult) commands.Command {
	switch kind {
	case 0, 1, 2:
		return &step{fmt.Sprintf("begin(%d,%d)", attempt, owner), func(sim *simulation) { sim.begin(attempt, owner) }}
	case 3:
		return &step{fmt.Sprintf("finish(%d,%d)", attempt, owner), func(sim *simulation) { sim.finish(attempt, owner, outcome.Ran) }}
	case 4:
		return &step{fmt.Sprintf("release(%d,%d)", attempt, owner), func(sim *simulation) { sim.finish(attempt, owner, outcome.NotRun) }}
	case 5, 6, 7:
		return &step{fmt.Sprintf("start(%d)", owner), func(sim *simulation) { sim.startAction(owner) }}
	case 8, 9, 10:
		return &step{fmt.Sprintf("complete(%d)", owner), func(sim *simulation) { sim.completeAction(owner, succeeds) }}
	case 11:
		return &step{fmt.Sprintf("complete(%d,%d)", owner, result), func(sim *simulation) { sim.completeAction(owner, result) }}
	case 12, 13, 14:
		return &step{"deliver", func(sim *simulation) { sim.deliverReply() }}
	default:
		return newRareStep(attempt, owner, result)
	}
}

// newRareStep returns one of the less frequent steps.
func newRareStep(attempt, owner int, result actionResult) commands.Command {
	switch (attempt + int(result)) % 4 {
	case 0:
		return &step{"land", func(sim *simulation) { sim.executeDelayedWrite() }}
	case 1:
		return &step{"drop", func(sim *simulation) { sim.dropReply() }}
	case 2:
		return &step{fmt.Sprintf("restart(%d)", owner), func(sim *simulation) { sim.restartOwner(owner) }}
	default:
		return &step{"tick", func(sim *simulation) { sim.now = sim.now.Add(simulatedTick) }}
	}
}

// At most one attempt of a key runs, and a key whose attempts did not run is free in
// the end, even if two daemons act as owner of its range and messages, platform
// calls and daemons fail.
func TestAtMostOneAttemptOfAKeyRuns(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(stateMachineSeed)
	parameters.MinSuccessfulTests = stateMachineRuns
	parameters.MaxSize = 80
	machine := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSimulation() },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genStep,
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			if violation := sut.(*simulation).finishAllAttempts(); violation != "" {
				t.Error(violation, sut.(*simulation).steps)
			}
		},
	}
	properties := gopter.NewProperties(parameters)
	properties.Property("at most one attempt of a key runs", commands.Prop(machine))
	properties.TestingRun(t)
}
