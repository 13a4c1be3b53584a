package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/subcommands"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// runWithClient calls the action of a command with a client, within the command's
// time limit. It prints an error and turns it into the exit code.
func (o *options) runWithClient(ctx context.Context, action func(context.Context, *client) (subcommands.ExitStatus, error)) subcommands.ExitStatus {
	c, err := o.client()
	if err != nil {
		return o.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	status, err := action(ctx, c)
	if err != nil {
		return o.fail(err)
	}
	return status
}

// fail prints an error and returns its exit code.
func (o *options) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.Err, "hawthornctl:", err)
	var (
		usage   *usageError
		unknown *unknownOutcomeError
		problem *problemError
	)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &problem):
		return o.failProblem(problem.Problem)
	default:
		return ExitFailure
	}
}

func (o *options) failProblem(problem ports.OperatorProblem) subcommands.ExitStatus {
	for _, fault := range problem.Faults {
		fmt.Fprintln(o.Err, " ", fault)
	}
	switch problem.Reason {
	case ports.OperatorReasonInvalid:
		return ExitUsage
	case ports.OperatorReasonConflict:
		o.printConflict(problem.Conflict)
		return ExitConflict
	case ports.OperatorReasonUnknownOutcome:
		return ExitUnknown
	default:
		return ExitFailure
	}
}

func (o *options) printConflict(conflict *configuration.ConflictError) {
	if conflict == nil {
		return
	}
	fmt.Fprintf(o.Err, "changed between revision %d and %d:\n", conflict.Base, conflict.Current)
	for _, change := range conflict.Difference {
		fmt.Fprintln(o.Err, " ", formatChange(change))
	}
}

func formatChange(change configuration.Change) string {
	switch {
	case change.Old == nil:
		return fmt.Sprintf("+ %s: %s", change.Path, change.New)
	case change.New == nil:
		return fmt.Sprintf("- %s: %s", change.Path, change.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", change.Path, change.Old, change.New)
	}
}
