// Command experiment runs seeded load and faults against real daemon processes
// and checks the results. Its last line of output is one JSON value. The exit
// code is 1 when a bound or guarantee was violated and 2 when the run itself
// failed.
//
// Usage:
//
//	experiment -scenario NAME [-daemons N] [-seed S] [-for D] [-mix NAME]
//	experiment -slopes [-seed S] [-mix NAME]
//	experiment -idle
//	experiment -list
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hawthornstream/testbench/experiment"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/slopes"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitFailure   = 2
)

// runTimeoutMargin is how long a run may take in addition to its load.
const runTimeoutMargin = 60 * time.Second

// measurementTimeout bounds a measurement with -slopes or -idle.
const measurementTimeout = 10 * time.Minute

func main() {
	os.Exit(run())
}

func run() int {
	scenarioName := flag.String("scenario", "", "`NAME` of the scenario")
	daemonCount := flag.Int("daemons", 3, "number of daemons")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	loadDuration := flag.Duration("for", 20*time.Second, "duration of the load")
	mixName := flag.String("mix", experiment.Agency.Name, "deployment: agency or hoamai")
	measureSlopes := flag.Bool("slopes", false, "measure what each additional peer, backend server, request, workspace and configuration change costs a daemon")
	measureIdle := flag.Bool("idle", false, "measure the resource use of a daemon in an idle fleet, for several fleet sizes")
	list := flag.Bool("list", false, "list the scenarios and exit")
	experimental := flag.String("experimental", "{}", "the daemons' experimental settings, in `JSON`")
	flag.Parse()
	if *list {
		for _, scenario := range experiment.Scenarios() {
			fmt.Printf("%-18s %s\n", scenario.Name, scenario.Summary)
		}
		return exitOK
	}
	mix, found := experiment.Mixes[*mixName]
	if !found || *daemonCount < 1 {
		flag.Usage()
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer fleet.RemoveBinaries()
	config := experiment.Config{
		Scenario:     *scenarioName,
		Daemons:      *daemonCount,
		Seed:         *seed,
		LoadDuration: *loadDuration,
		Mix:          mix,
		Logf:         func(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) },
	}
	if err := json.Unmarshal([]byte(*experimental), &config.Experimental); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if *measureSlopes {
		return runSlopes(ctx, config)
	}
	if *measureIdle {
		return runIdle(ctx, config)
	}
	return runScenario(ctx, config)
}

func runScenario(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, config.LoadDuration+runTimeoutMargin)
	defer cancel()
	result, err := experiment.Run(ctx, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printJSON(result) {
		return exitFailure
	}
	if len(result.Violations) > 0 {
		return exitViolation
	}
	return exitOK
}

func runSlopes(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	measured, err := experiment.MeasureSlopes(ctx, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printJSON(measured) {
		return exitFailure
	}
	return exitOK
}

func runIdle(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	result, err := slopes.Run(ctx, slopes.Config{Logf: config.Logf})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printJSON(result) {
		return exitFailure
	}
	return exitOK
}

// printJSON prints a value as one line of JSON and reports whether it could be
// encoded.
func printJSON(value any) bool {
	line, err := json.Marshal(value)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println(string(line))
	return true
}
