package ctl

import (
	"context"
	"flag"
	"maps"
	"slices"
	"time"

	"github.com/google/subcommands"

	"hawthornstream/internal/ports"
)

// statusCommand shows the fleet as one daemon sees it.
type statusCommand struct {
	*options
	all bool
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the fleet as one daemon sees it" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-all]:
  Print what the first daemon that answers knows: its readiness and revision,
  the daemons believed live, the evacuated failure domains with the calls that
  still run there, the owner of each shard, and for each service the calls that
  wait by workspace, the slots of its own shards and the fairness gap. With
  -all, ask every server and print one line for each, then the evacuated
  domains and each service with the calls that wait and the slots of all of
  them together.
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.registerFlags(flags)
	flags.BoolVar(&c.all, "all", false, "ask every server")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 {
		return c.fail(&usageError{Problem: "status takes no arguments"})
	}
	if c.all {
		return c.runWithClient(ctx, c.runAll)
	}
	return c.runWithClient(ctx, func(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
		var status ports.DaemonStatus
		if err := client.sendToAny(ctx, getRequest("/v1/status"), &status); err != nil {
			return ExitFailure, err
		}
		return c.printResult(status, func() { c.printText(status) }), nil
	})
}

func (c *statusCommand) printText(status ports.DaemonStatus) {
	c.printf("daemon %s (%s, %s) incarnation %d\n", status.VM.Name, status.VM.Domain, status.VM.Region, status.Incarnation)
	c.printf("ready: %t\n", status.Ready)
	for _, check := range status.NotReady {
		c.printf("  %s: %s\n", check.Check, check.Reason)
	}
	c.printf("configuration: revision %d\n", status.Revision)
	c.printf("daemons believed live: %d\n", len(status.Daemons))
	for _, daemon := range status.Daemons {
		c.printf("  %s (%s, %s) %s\n", daemon.Name, daemon.Domain, daemon.Region, daemon.Address)
	}
	c.printEvacuations(status.Evacuations)
	c.printf("shards: %d\n", len(status.Shards))
	for _, shard := range status.Shards {
		c.printf("  %s of %s: owner %s, backend servers %d\n", shard.Shard, shard.Service, shard.Owner, shard.Servers)
	}
	for _, service := range status.Services {
		c.printService(service)
	}
	if status.Handover != nil {
		c.printHandover(status.Handover)
	}
}

func (c *statusCommand) printHandover(handover *ports.HandoverStatus) {
	c.printf("hand-over of connections: part %.2f, own spare %d millicores, taken over at %s\n",
		handover.Fraction, handover.SpareMillicores, handover.Address)
	for _, peer := range slices.Sorted(maps.Keys(handover.Peers)) {
		c.printf("  %s: %d millicores\n", peer, handover.Peers[peer])
	}
}

// printEvacuations prints the evacuated failure domains and what still runs there.
func (c *statusCommand) printEvacuations(evacuations []ports.EvacuationStatus) {
	for _, evacuation := range evacuations {
		c.printf("evacuated: %s since %s, calls that still run there: %d\n",
			evacuation.Domain, evacuation.Since.UTC().Format(time.RFC3339), evacuation.Running+evacuation.Elsewhere)
	}
}

// printService prints one service. The fairness gap is computed from the levels in
// the given status.
func (c *statusCommand) printService(service ports.ServiceStatus) {
	c.printf("service %s: running %d, fairness gap %.1f\n", service.Service, service.Running, fairnessGap(service))
	if service.Cold > 0 {
		c.printf("  cold servers: %d\n", service.Cold)
	}
	for _, workspace := range slices.Sorted(maps.Keys(service.Queued)) {
		c.printf("  queued for %s: %d\n", workspace, service.Queued[workspace])
	}
	for _, shard := range service.Owned {
		for _, server := range shard.Servers {
			c.printf("  %s %s: in use %d of %d%s\n", shard.Shard, server.VM, server.InUse, server.Window, serverStateSuffix(server))
		}
	}
}

func serverStateSuffix(server ports.ServerStatus) string {
	text := ""
	if server.Leaving {
		text += ", leaving"
	}
	if server.Excluded {
		text += ", excluded"
	}
	return text
}

// fairnessGap returns the difference between the highest and the lowest level of
// the backlogged workspaces.
func fairnessGap(service ports.ServiceStatus) float64 {
	if len(service.Levels) == 0 {
		return 0
	}
	levels := slices.Collect(maps.Values(service.Levels))
	return slices.Max(levels) - slices.Min(levels)
}
