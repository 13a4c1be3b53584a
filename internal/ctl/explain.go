package ctl

import (
	"context"
	"flag"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"hawthornstream/internal/ports"
)

// explainCommand shows the events of a call.
type explainCommand struct {
	*options
	// fromLogs reports that the arguments after the request ID are log files.
	fromLogs bool
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "show why a recent call waited and where it ran" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain REQUEST-ID:
  Print the steps of a recent call, named by the X-Request-Id of its answer. Only
  the daemon that took the call knows it: the servers are asked in turn.
explain -logs REQUEST-ID [FILE...]:
  Print the lines of the daemons' logs that name the request, in order of time. "-"
  or no file reads the standard input.
`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.BoolVar(&c.fromLogs, "logs", false, "read log files in place of asking daemons")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.fromLogs && flags.NArg() > 0 {
		return c.explainLogs(flags.Arg(0), flags.Args()[1:])
	}
	if flags.NArg() != 1 {
		return c.fail(&usageError{Problem: "explain takes one request ID"})
	}
	path := "/v1/explain/" + url.PathEscape(flags.Arg(0))
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var trace ports.CallTrace
		if err := client.sendToAny(ctx, getRequest(path), &trace); err != nil {
			return ExitFailure, err
		}
		return c.printResult(trace, func() { c.printText(trace) }), nil
	})
}

func (c *explainCommand) printText(trace ports.CallTrace) {
	c.printf("request %s: workspace %s, service %s, class %s\n", trace.ID, trace.Workspace, trace.Service, trace.Class)
	var first time.Time
	for _, event := range trace.Events {
		if first.IsZero() {
			first = event.At
		}
		c.printf("  %8s  %s %s\n", event.At.Sub(first).Round(time.Millisecond), event.Name, event.Detail)
	}
}
