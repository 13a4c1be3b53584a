package ctl

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"hawthornstream/internal/ports"
)

// historyCommand shows the last revisions.
type historyCommand struct {
	*options
}

// Name implements subcommands.Command.
func (*historyCommand) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*historyCommand) Synopsis() string { return "show the last revisions, newest first" }

// Usage implements subcommands.Command.
func (*historyCommand) Usage() string {
	return `history:
  Print number, time, author and apply ID of the revisions that the platform
  still lists.
`
}

// SetFlags implements subcommands.Command.
func (c *historyCommand) SetFlags(flags *flag.FlagSet) { c.registerFlags(flags) }

// Execute implements subcommands.Command.
func (c *historyCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 {
		return c.fail(&usageError{Problem: "history takes no arguments"})
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var history ports.RevisionHistory
		if err := client.sendToAny(ctx, getRequest("/v1/configuration/history"), &history); err != nil {
			return ExitFailure, err
		}
		return c.printResult(history, func() { c.printText(history) }), nil
	})
}

func (c *historyCommand) printText(history ports.RevisionHistory) {
	for _, revision := range history.Revisions {
		at := revision.AcceptedAt.Format(time.RFC3339)
		c.printf("%d  %s  %s  %s\n", revision.Number, at, revision.Author, revision.ApplyID)
	}
}

// diffCommand compares a document with a revision.
type diffCommand struct {
	*options
	base string
}

// Name implements subcommands.Command.
func (*diffCommand) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCommand) Synopsis() string { return "show what a document would change" }

// Usage implements subcommands.Command.
func (*diffCommand) Usage() string {
	return `diff [-base REVISION] FILE:
  Check the document in FILE ("-" for standard input) and print what differs
  from the configuration in force, or from REVISION. Nothing is changed.
`
}

// SetFlags implements subcommands.Command.
func (c *diffCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.StringVar(&c.base, "base", "", "`revision` to compare with; default: the one in force")
}

// Execute implements subcommands.Command.
func (c *diffCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return c.fail(&usageError{Problem: "diff takes one file"})
	}
	document, err := c.readInput(flags.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	path := "/v1/configuration/diff"
	if c.base != "" {
		path += "?base=" + url.QueryEscape(c.base)
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var difference ports.DocumentDifference
		if err := client.sendToAny(ctx, request{method: http.MethodPost, path: path, body: document}, &difference); err != nil {
			return ExitFailure, err
		}
		return c.printResult(difference, func() { c.printText(difference) }), nil
	})
}

func (c *diffCommand) printText(difference ports.DocumentDifference) {
	for _, change := range difference.Changes {
		c.printf("%s\n", formatChange(change))
	}
	if len(difference.Changes) == 0 {
		c.printf("no difference from revision %d\n", difference.Base)
	}
}
