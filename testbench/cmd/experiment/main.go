// Command experiment runs seeded load and faults over real daemons and judges
// what came of it. Its last line of output is one JSON object. It exits with 1
// when a bound or promise did not hold and with 2 when the run itself failed.
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

// extraTime is how long a run may take beside its load.
const extraTime = 60 * time.Second

// slopesTime bounds the measurement of the slopes.
const slopesTime = 10 * time.Minute

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("scenario", "", "`NAME` of the scenario")
	daemons := flag.Int("daemons", 3, "number of daemons")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	length := flag.Duration("for", 20*time.Second, "time of the load")
	mixName := flag.String("mix", experiment.Agency.Name, "deployment: agency or hoamai")
	perUnit := flag.Bool("slopes", false, "measure what one more peer, server, request, workspace and change cost a daemon")
	idle := flag.Bool("idle", false, "measure what a daemon of an idle fleet spends, for several sizes")
	list := flag.Bool("list", false, "name the scenarios and exit")
	decisions := flag.String("experimental", "{}", "the daemons' experimental settings, in `JSON`")
	flag.Parse()
	if *list {
		for _, scenario := range experiment.Scenarios() {
			fmt.Printf("%-18s %s\n", scenario.Name, scenario.Summary)
		}
		return exitOK
	}
	mix, found := experiment.Mixes[*mixName]
	if !found || *daemons < 1 {
		flag.Usage()
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer fleet.RemoveBinaries()
	config := experiment.Config{
		Scenario:     *name,
		Daemons:      *daemons,
		Seed:         *seed,
		LoadDuration: *length,
		Mix:          mix,
		Logf:         func(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) },
	}
	if err := json.Unmarshal([]byte(*decisions), &config.Experimental); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if *perUnit {
		return runSlopes(ctx, config)
	}
	if *idle {
		return runIdle(ctx, config)
	}
	return runScenario(ctx, config)
}

func runScenario(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, config.LoadDuration+extraTime)
	defer cancel()
	result, err := experiment.Run(ctx, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printLine(result) {
		return exitFailure
	}
	if len(result.Violations) > 0 {
		return exitViolation
	}
	return exitOK
}

func runSlopes(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, slopesTime)
	defer cancel()
	measured, err := experiment.MeasureSlopes(ctx, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printLine(measured) {
		return exitFailure
	}
	return exitOK
}

func runIdle(ctx context.Context, config experiment.Config) int {
	ctx, cancel := context.WithTimeout(ctx, slopesTime)
	defer cancel()
	result, err := slopes.Run(ctx, slopes.Config{Logf: config.Logf})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if !printLine(result) {
		return exitFailure
	}
	return exitOK
}

// printLine prints a value as one line of JSON.
func printLine(value any) bool {
	line, err := json.Marshal(value)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println(string(line))
	return true
}
