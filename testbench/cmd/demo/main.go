// Command demo shows a small fleet at work: stand-ins of the platform and of
// the backend servers of two services, three daemons as real processes in three
// failure domains, and calls from several workspaces. It prints what happened
// and the client's lines to try, and stops by itself.
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

// stopWithin bounds the daemons' planned stops at the end.
const stopWithin = 20 * time.Second

// The demo's services.
const (
	modelName ports.ServiceName = "sds-drafter"
	appName   ports.ServiceName = "sds-registry"
)

func main() {
	length := flag.Duration("for", 20*time.Second, "time after which the demo stops")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, *length)
	fleet.RemoveBinaries()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, length time.Duration) error {
	fmt.Println("Building the daemon and starting three of them …")
	f, err := fleet.Start(ctx, options())
	if err != nil {
		return err
	}
	defer f.Close()
	begin := time.Now()
	for _, daemon := range f.Daemons {
		fmt.Printf("  %s in %s: callers %s, operators %s\n", daemon.ID(), daemon.VM.Domain, daemon.CallersURL(), daemon.OperatorsURL())
	}
	caller := fleet.NewCaller()
	defer caller.Close()
	fmt.Println("Calls:")
	last := sampleCalls(ctx, f, caller)
	printClientLines(f, last)
	fmt.Printf("Load from all workspaces until %s are over (interrupt to stop earlier) …\n", length)
	until, cancel := context.WithDeadline(ctx, begin.Add(length))
	defer cancel()
	keepBusy(until, f, caller)
	printShares(f, caller)
	return stopAll(f)
}

func options() fleet.Options {
	return fleet.Options{
		Daemons: 3,
		Domains: []fleet.Domain{
			{Name: "ub-a", Region: "ulaanbaatar"},
			{Name: "dalanzadgad-a", Region: "gobi-south"},
			{Name: "zu-a", Region: "zamiin-uud"},
		},
		Links: fleet.AgencyLinks,
		Engines: []fleet.EngineService{{
			Name:    modelName,
			Servers: 3,
			Engine:  engine.Config{Batch: 4, TokensPerSecond: 50},
		}},
		Services:   []fleet.PlainService{{Name: appName, Servers: 3}},
		Workspaces: []fleet.Workspace{{Name: "assessors"}, {Name: "mine"}, {Name: "border-post"}},
	}
}

func sampleCalls(ctx context.Context, f *fleet.Fleet, caller *fleet.Caller) fleet.Outcome {
	calls := []fleet.Call{
		{Workspace: "assessors", Service: modelName, Class: fleet.ClassDraft, Stream: true, Tokens: 40},
		{Workspace: "mine", Service: modelName, Class: fleet.ClassQuestion, Tokens: 10},
		{Workspace: "border-post", Service: modelName, Class: fleet.ClassQuestion, Stream: true, Tokens: 5},
		{Workspace: "assessors", Service: appName, Kind: configuration.ServiceKindPlain, RunMilliseconds: 20, IdempotencyKey: "sheet-1", Operation: "sheet-1"},
		{Workspace: "assessors", Service: appName, Kind: configuration.ServiceKindPlain, RunMilliseconds: 20, IdempotencyKey: "sheet-1", Operation: "sheet-1"},
		{Workspace: "border-post", Service: "no-such-service", Tokens: 5},
	}
	var last fleet.Outcome
	for i, call := range calls {
		outcome := caller.Do(ctx, f.Daemons[i%len(f.Daemons)], call)
		fmt.Printf("  %-11s → %-15s via %s: %s\n", call.Workspace, call.Service, outcome.Daemon, describe(outcome))
		if outcome.Run == "ran" {
			last = outcome
		}
	}
	return last
}

func describe(outcome fleet.Outcome) string {
	took := outcome.EndedAt.Sub(outcome.SentAt).Round(time.Millisecond)
	switch {
	case outcome.Complete && outcome.Tokens > 0:
		return fmt.Sprintf("%s, %d tokens, first byte after %s, whole after %s",
			outcome.Run, outcome.Tokens, outcome.TimeToFirstByte().Round(time.Millisecond), took)
	case outcome.Complete:
		return fmt.Sprintf("%s, whole after %s", outcome.Run, took)
	case outcome.Reason != "":
		return fmt.Sprintf("refused with %d %s, %s", outcome.Status, outcome.Reason, outcome.Run)
	default:
		return fmt.Sprintf("ended without an answer: %v", outcome.Err)
	}
}

func printClientLines(f *fleet.Fleet, last fleet.Outcome) {
	var servers []string
	for _, daemon := range f.Daemons {
		servers = append(servers, daemon.OperatorsURL())
	}
	fmt.Println("Meanwhile, try the operators' client from another terminal:")
	fmt.Printf("  export HAWTHORNCTL_KEY=%s HAWTHORNCTL_SERVER=%s\n", fleet.OperatorKey, strings.Join(servers, ","))
	lines := []string{"status", "get", "history", "explain " + last.RequestID, "stop list", "stop plan daemon-3"}
	for _, line := range lines {
		fmt.Println("  go run ./cmd/hawthornctl " + line)
	}
}

func printShares(f *fleet.Fleet, caller *fleet.Caller) {
	served := make(map[string]float64)
	for _, run := range f.RunLog.Runs() {
		if run.Service == string(modelName) {
			served[run.Workspace] += run.Cost()
		}
	}
	whole := 0
	outcomes := caller.Outcomes()
	for _, outcome := range outcomes {
		if outcome.Complete && outcome.Mismatch == "" {
			whole++
		}
	}
	fmt.Printf("%d calls, %d whole answers. Tokens by workspace:\n", len(outcomes), whole)
	for _, name := range []string{"assessors", "mine", "border-post"} {
		fmt.Printf("  %-11s %.0f\n", name, served[name])
	}
}

func stopAll(f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
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
