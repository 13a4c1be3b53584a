// Command demo runs a small fleet: fakes of the platform and of the backend servers of
// two services, three daemon processes in three failure domains, and calls from several
// workspaces. It prints the outcome of the calls and hawthornctl commands to try, and
// stops after the given time.
//
// Usage:
//
//	demo [-for 20s]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

// stopTimeout limits the wait for the planned stops of all daemons at the end.
const stopTimeout = 20 * time.Second

// The services of the demo.
const (
	modelService ports.ServiceName = "sds-drafter"
	appService   ports.ServiceName = "sds-registry"
)

func main() {
	duration := flag.Duration("for", 20*time.Second, "time after which the demo stops")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, *duration)
	fleet.RemoveBinaries()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, duration time.Duration) error {
	fmt.Println("Building the daemon and starting three of them …")
	f, err := fleet.Start(ctx, fleetOptions())
	if err != nil {
		return err
	}
	defer f.Close()
	startedAt := time.Now()
	for _, daemon := range f.Daemons {
		fmt.Printf("  %s in %s: callers %s, operators %s\n", daemon.ID(), daemon.VM.Domain, daemon.CallersURL(), daemon.OperatorsURL())
	}
	caller := fleet.NewCaller()
	defer caller.Close()
	fmt.Println("Calls:")
	lastRun := makeSampleCalls(ctx, f, caller)
	printClientCommands(f, lastRun)
	fmt.Printf("Generating load from all workspaces until %s have passed since the start (interrupt to stop earlier) …\n", duration)
	loadCtx, cancel := context.WithDeadline(ctx, startedAt.Add(duration))
	defer cancel()
	generateLoad(loadCtx, f, caller)
	printTokensByWorkspace(f, caller)
	return stopDaemons(f)
}

func fleetOptions() fleet.Options {
	return fleet.Options{
		Daemons: 3,
		Domains: []fleet.Domain{
			{Name: "ub-a", Region: "ulaanbaatar"},
			{Name: "dalanzadgad-a", Region: "gobi-south"},
			{Name: "zu-a", Region: "zamiin-uud"},
		},
		Links: fleet.AgencyLinks,
		Engines: []fleet.EngineService{{
			Name:    modelService,
			Servers: 3,
			Engine:  engine.Config{BatchSize: 4, TokensPerSecond: 50},
		}},
		Services:   []fleet.PlainService{{Name: appService, Servers: 3}},
		Workspaces: []fleet.Workspace{{Name: "assessors"}, {Name: "mine"}, {Name: "border-post"}},
	}
}

// makeSampleCalls makes one call after the other, prints their outcomes and returns the
// outcome of the last one that ran.
func makeSampleCalls(ctx context.Context, f *fleet.Fleet, caller *fleet.Caller) fleet.Outcome {
	calls := []fleet.Call{
		{Workspace: "assessors", Service: modelService, Class: fleet.ClassDraft, Stream: true, Tokens: 40},
		{Workspace: "mine", Service: modelService, Class: fleet.ClassQuestion, Tokens: 10},
		{Workspace: "border-post", Service: modelService, Class: fleet.ClassQuestion, Stream: true, Tokens: 5},
		{Workspace: "assessors", Service: appService, Kind: configuration.ServiceKindPlain, RunMilliseconds: 20, IdempotencyKey: "sheet-1", Operation: "sheet-1"},
		{Workspace: "assessors", Service: appService, Kind: configuration.ServiceKindPlain, RunMilliseconds: 20, IdempotencyKey: "sheet-1", Operation: "sheet-1"},
		{Workspace: "border-post", Service: "no-such-service", Tokens: 5},
	}
	var lastRun fleet.Outcome
	for i, call := range calls {
		outcome := caller.Do(ctx, f.Daemons[i%len(f.Daemons)], call)
		fmt.Printf("  %-11s → %-15s via %s: %s\n", call.Workspace, call.Service, outcome.Daemon, describeOutcome(outcome))
		if outcome.Run == "ran" {
			lastRun = outcome
		}
	}
	return lastRun
}

func describeOutcome(outcome fleet.Outcome) string {
	duration := outcome.EndedAt.Sub(outcome.SentAt).Round(time.Millisecond)
	switch {
	case outcome.Complete && outcome.Tokens > 0:
		return fmt.Sprintf("%s, %d tokens, first byte after %s, complete after %s",
			outcome.Run, outcome.Tokens, outcome.TimeToFirstByte().Round(time.Millisecond), duration)
	case outcome.Complete:
		return fmt.Sprintf("%s, complete after %s", outcome.Run, duration)
	case outcome.Reason != "":
		return fmt.Sprintf("refused with %d %s, %s", outcome.Status, outcome.Reason, outcome.Run)
	default:
		return fmt.Sprintf("ended without an answer: %v", outcome.Err)
	}
}

func printClientCommands(f *fleet.Fleet, lastRun fleet.Outcome) {
	var servers []string
	for _, daemon := range f.Daemons {
		servers = append(servers, daemon.OperatorsURL())
	}
	fmt.Println("Meanwhile, try the operators' client from another terminal:")
	fmt.Printf("  export HAWTHORNCTL_KEY=%s HAWTHORNCTL_SERVER=%s\n", fleet.OperatorKey, strings.Join(servers, ","))
	commands := []string{"status", "get", "history", "explain " + lastRun.RequestID, "stop list", "stop plan daemon-3"}
	for _, command := range commands {
		fmt.Println("  go run ./cmd/hawthornctl " + command)
	}
}

// printTokensByWorkspace prints the number of calls and complete answers, and for each
// workspace the cost, in tokens, of its runs of the model service.
func printTokensByWorkspace(f *fleet.Fleet, caller *fleet.Caller) {
	tokens := make(map[string]float64)
	for _, run := range f.RunLog.Runs() {
		if run.Service == string(modelService) {
			tokens[run.Workspace] += run.Cost()
		}
	}
	completeAnswers := 0
	outcomes := caller.Outcomes()
	for _, outcome := range outcomes {
		if outcome.Complete && outcome.Mismatch == "" {
			completeAnswers++
		}
	}
	fmt.Printf("%d calls, %d complete answers. Tokens by workspace:\n", len(outcomes), completeAnswers)
	for _, name := range []string{"assessors", "mine", "border-post"} {
		fmt.Printf("  %-11s %.0f\n", name, tokens[name])
	}
}

func stopDaemons(f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, daemon := range f.Daemons {
		if err := daemon.Terminate(); err != nil {
			return err
		}
	}
	for _, daemon := range f.Daemons {
		if err := daemon.Wait(ctx); err != nil {
			return fmt.Errorf("planned stop of %s: %w", daemon.ID(), err)
		}
	}
	fmt.Println("All daemons have stopped.")
	return nil
}
