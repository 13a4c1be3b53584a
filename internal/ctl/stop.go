package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// stopCommand groups the subcommands for planned stops.
type stopCommand struct {
	*options
}

// Name implements subcommands.Command.
func (*stopCommand) Name() string { return "stop" }

// Synopsis implements subcommands.Command.
func (*stopCommand) Synopsis() string { return "plan, list and cancel stops of daemons" }

// Usage implements subcommands.Command.
func (*stopCommand) Usage() string {
	return `stop plan [-not-before TIME] VM:
stop list:
stop cancel VM:
  A planned stop is a graceful shutdown of the daemon on the VM: it takes no new
  calls, finishes those in progress and exits. Flags come before VM; see
  "hawthornctl stop help plan".
`
}

// SetFlags implements subcommands.Command.
func (c *stopCommand) SetFlags(flags *flag.FlagSet) { c.registerFlags(flags) }

// Execute implements subcommands.Command.
func (c *stopCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stopFlags := flag.NewFlagSet("stop", flag.ContinueOnError)
	stopFlags.SetOutput(c.Err)
	if err := stopFlags.Parse(flags.Args()); err != nil {
		return ExitUsage
	}
	commander := subcommands.NewCommander(stopFlags, "hawthornctl stop")
	commander.Output = c.Out
	commander.Error = c.Err
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(&planCommand{options: c.options}, "")
	commander.Register(&listCommand{options: c.options}, "")
	commander.Register(&cancelCommand{options: c.options}, "")
	return commander.Execute(ctx)
}

// planCommand plans a stop.
type planCommand struct {
	*options
	notBefore string
}

// Name implements subcommands.Command.
func (*planCommand) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*planCommand) Synopsis() string { return "plan the stop of a daemon" }

// Usage implements subcommands.Command.
func (*planCommand) Usage() string {
	return `plan [-not-before TIME] VM:
  Ask the daemon on VM to stop, at once or not before TIME. A second plan for the
  same VM replaces the first.
`
}

// SetFlags implements subcommands.Command.
func (c *planCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.StringVar(&c.notBefore, "not-before", "", "earliest `time` of the stop, such as 2026-01-31T08:00:00Z")
}

// Execute implements subcommands.Command.
func (c *planCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stop, err := c.parseStop(flags)
	if err != nil {
		return c.fail(err)
	}
	body, err := json.Marshal(stop)
	if err != nil {
		return c.fail(err)
	}
	return c.sendChange(ctx, request{method: http.MethodPost, path: "/v1/planned-stops", body: body})
}

func (c *planCommand) parseStop(flags *flag.FlagSet) (configuration.PlannedStop, error) {
	var stop configuration.PlannedStop
	if flags.NArg() != 1 {
		return stop, &usageError{Problem: "stop plan takes one VM"}
	}
	stop.VM = configuration.VMName(flags.Arg(0))
	if c.notBefore == "" {
		return stop, nil
	}
	at, err := time.Parse(time.RFC3339, c.notBefore)
	if err != nil {
		return stop, &usageError{Problem: "-not-before: want a time such as 2026-01-31T08:00:00Z"}
	}
	stop.NotBefore = at
	return stop, nil
}

// cancelCommand cancels a planned stop.
type cancelCommand struct {
	*options
}

// Name implements subcommands.Command.
func (*cancelCommand) Name() string { return "cancel" }

// Synopsis implements subcommands.Command.
func (*cancelCommand) Synopsis() string { return "take a planned stop back" }

// Usage implements subcommands.Command.
func (*cancelCommand) Usage() string {
	return `cancel VM:
  Remove the planned stop of VM. A daemon that has begun to stop goes on.
`
}

// SetFlags implements subcommands.Command.
func (c *cancelCommand) SetFlags(flags *flag.FlagSet) { c.registerFlags(flags) }

// Execute implements subcommands.Command.
func (c *cancelCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return c.fail(&usageError{Problem: "stop cancel takes one VM"})
	}
	return c.sendChange(ctx, request{method: http.MethodDelete, path: "/v1/planned-stops/" + url.PathEscape(flags.Arg(0))})
}

// listCommand shows the planned stops.
type listCommand struct {
	*options
}

// Name implements subcommands.Command.
func (*listCommand) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*listCommand) Synopsis() string { return "show the planned stops" }

// Usage implements subcommands.Command.
func (*listCommand) Usage() string {
	return `list:
  Print the planned stops of the configuration in force.
`
}

// SetFlags implements subcommands.Command.
func (c *listCommand) SetFlags(flags *flag.FlagSet) { c.registerFlags(flags) }

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 {
		return c.fail(&usageError{Problem: "stop list takes no arguments"})
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var list ports.StopList
		if err := client.sendToAny(ctx, getRequest("/v1/planned-stops"), &list); err != nil {
			return ExitFailure, err
		}
		return c.printResult(list, func() { c.printText(list) }), nil
	})
}

func (c *listCommand) printText(list ports.StopList) {
	for _, stop := range list.Stops {
		when := "at once"
		if !stop.NotBefore.IsZero() {
			when = "not before " + stop.NotBefore.Format(time.RFC3339)
		}
		c.printf("%s: %s\n", stop.VM, when)
	}
	if len(list.Stops) == 0 {
		c.printf("no stops are planned\n")
	}
}

// sendChange sends a request that changes the configuration and prints the
// accepted revision.
func (o *options) sendChange(ctx context.Context, r request) subcommands.ExitStatus {
	return o.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		summary, err := client.change(ctx, r)
		if err != nil {
			return ExitFailure, err
		}
		return o.printAccepted(summary), nil
	})
}
