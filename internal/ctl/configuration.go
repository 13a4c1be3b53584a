package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// baseCurrent is the value of -base that selects the revision in force.
const baseCurrent = "current"

// getCommand shows the configuration in force.
type getCommand struct {
	*options
	revisionOnly bool
	fillDefaults bool
}

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "show the configuration in force" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return `get [-revision] [-defaults]:
  Print the document in force at the first daemon that answers, for editing and
  apply. With -revision, print only the revision's number, for apply -base. With
  -defaults, fill in the numbers that the document leaves out.
  With -output json, print the whole revision: number, author, time, digest,
  document.
`
}

// SetFlags implements subcommands.Command.
func (c *getCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.BoolVar(&c.revisionOnly, "revision", false, "print the number of the revision only")
	flags.BoolVar(&c.fillDefaults, "defaults", false, "fill in the numbers that the document leaves out")
}

// Execute implements subcommands.Command.
func (c *getCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 {
		return c.fail(&usageError{Problem: "get takes no arguments"})
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var revision configuration.Revision
		if err := client.sendToAny(ctx, getRequest("/v1/configuration"), &revision); err != nil {
			return ExitFailure, err
		}
		if c.fillDefaults {
			revision.Document = revision.Document.WithDefaults()
		}
		return c.printResult(revision, func() { c.printText(revision) }), nil
	})
}

func (c *getCommand) printText(revision configuration.Revision) {
	if c.revisionOnly {
		c.printf("%d\n", revision.Number)
		return
	}
	data, _ := json.MarshalIndent(revision.Document, "", "  ")
	c.printf("%s\n", data)
}

// applyCommand makes a document the next revision.
type applyCommand struct {
	*options
	base string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "make a document the next revision" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `apply [-base REVISION] FILE:
  Check the document in FILE ("-" for standard input) and make it the next
  revision. -base is the revision that the document was made from (see get
  -revision); when another operator was first, nothing changes, the difference
  is shown and the exit code is 3. -base 0, the default, is for the first
  document; -base current takes whatever is in force.
`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.StringVar(&c.base, "base", "0", "`revision` that the document was made from, or \"current\"")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	document, err := c.readDocument(flags)
	if err != nil {
		return c.fail(err)
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		base, err := c.baseRevision(ctx, client)
		if err != nil {
			return ExitFailure, err
		}
		summary, err := client.change(ctx, request{
			method: http.MethodPut,
			path:   "/v1/configuration",
			header: map[string]string{ports.HeaderIfMatch: strconv.Quote(base)},
			body:   document,
		})
		if err != nil {
			return ExitFailure, err
		}
		return c.printAccepted(summary), nil
	})
}

func (c *applyCommand) readDocument(flags *flag.FlagSet) ([]byte, error) {
	if flags.NArg() != 1 {
		return nil, &usageError{Problem: "apply takes one file"}
	}
	return c.readInput(flags.Arg(0))
}

// readInput returns the content of a file, or of standard input for "-".
func (o *options) readInput(path string) ([]byte, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(o.In)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &usageError{Problem: err.Error()}
	}
	return data, nil
}

func (c *applyCommand) baseRevision(ctx context.Context, client *client) (string, error) {
	if c.base != baseCurrent {
		if _, err := strconv.ParseUint(c.base, 10, 64); err != nil {
			return "", &usageError{Problem: fmt.Sprintf("-base %q: want a revision number or \"current\"", c.base)}
		}
		return c.base, nil
	}
	var revision configuration.Revision
	if err := client.sendToAny(ctx, getRequest("/v1/configuration"), &revision); err != nil {
		return "", err
	}
	return strconv.FormatUint(uint64(revision.Number), 10), nil
}

func (o *options) printAccepted(summary configuration.RevisionSummary) subcommands.ExitStatus {
	return o.printResult(summary, func() {
		o.printf("accepted as revision %d\n", summary.Number)
	})
}

func getRequest(path string) request {
	return request{method: http.MethodGet, path: path}
}
