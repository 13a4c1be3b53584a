// Package ctl implements the operators' command-line client: its commands and
// their output. Besides the test bench, only cmd/hawthornctl imports it.
package ctl

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// The exit codes of the client.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = subcommands.ExitSuccess
	// ExitFailure means that the command failed and changed nothing.
	ExitFailure = subcommands.ExitFailure
	// ExitUsage means wrong arguments or an invalid document.
	ExitUsage = subcommands.ExitUsageError
	// ExitConflict means that the base is no longer the current revision.
	ExitConflict subcommands.ExitStatus = 3
	// ExitUnknown means that it is not known whether the change was accepted.
	ExitUnknown subcommands.ExitStatus = 4
)

// Streams holds the client's standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Main runs the client with the arguments after the program's name and returns
// its exit code. The function getenv reads environment variables.
func Main(args []string, streams Streams, getenv func(string) string) int {
	flags := flag.NewFlagSet("hawthornctl", flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	o := newOptions(streams, getenv)
	o.registerFlags(flags)
	commander := subcommands.NewCommander(flags, "hawthornctl")
	commander.Output = streams.Out
	commander.Error = streams.Err
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	for _, command := range commands(o) {
		commander.Register(command, "")
	}
	switch err := flags.Parse(args); err {
	case nil:
	case flag.ErrHelp:
		return int(ExitSuccess)
	default:
		return int(ExitUsage)
	}
	return int(commander.Execute(context.Background()))
}

func commands(o *options) []subcommands.Command {
	return []subcommands.Command{
		&getCommand{options: o},
		&applyCommand{options: o},
		&statusCommand{options: o},
		&stopCommand{options: o},
		&diffCommand{options: o},
		&historyCommand{options: o},
		&explainCommand{options: o},
		&lossesCommand{options: o},
	}
}
