// Command soak runs daemons under random faults and checks that the guarantees hold;
// see package soak. Each seed is one run.
//
// Usage:
//
//	soak [-seed N] [-seeds N] [-for 20s] [-daemons N] [-late N] [-callers N] [-servers N] [-silent-servers] [-planned-stops] [-cut-stops] [-endless] [-faults REGEXP] [-keep DIR] [-v]
//
// Without -seed, the first seed is random. The exit code is 1 when a guarantee was
// violated or a run could not be started; the logs of such a seed are kept.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/soak"
)

func main() {
	os.Exit(run())
}

func run() int {
	firstSeed := flag.Uint64("seed", 0, "the first seed; 0 chooses a random one")
	seedCount := flag.Int("seeds", 1, "the number of seeds")
	faultDuration := flag.Duration("for", 20*time.Second, "how long faults are injected for each seed")
	daemons := flag.Int("daemons", 3, "the number of daemons")
	late := flag.Int("late", 0, "the number of daemons that hand their connections over to others")
	callers := flag.Int("callers", 20, "the number of callers")
	servers := flag.Int("servers", 3, "the number of backend servers of each service")
	silentServers := flag.Bool("silent-servers", false, "only pause backend servers and change the configuration; no call may end without an answer")
	plannedStops := flag.Bool("planned-stops", false, "only stop daemons, pause backend servers and change the configuration; no call that a server has received may end without an answer")
	cutStops := flag.Bool("cut-stops", false, "send calls that last longer than a stop until the platform's kill")
	endless := flag.Bool("endless", false, "give the daemons little memory, and only send messages that never arrive whole and change the configuration")
	faults := flag.String("faults", "", "inject only the faults whose name matches the `regexp`; empty for all that the code should bear")
	keep := flag.String("keep", os.TempDir(), "the `directory` for the logs of failed seeds")
	verbose := flag.Bool("v", false, "report each injected fault")
	flag.Parse()
	var chosenFaults *regexp.Regexp
	if *faults != "" {
		var err error
		if chosenFaults, err = regexp.Compile(*faults); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	defer fleet.RemoveBinaries()
	if *firstSeed == 0 {
		*firstSeed = rand.Uint64N(1 << 32)
	}
	failed := 0
	for i := range uint64(*seedCount) {
		options := soak.Options{
			Seed: *firstSeed + i, Daemons: *daemons, Callers: *callers, ServersPerService: *servers, FaultDuration: *faultDuration,
			LateDaemons: *late, SilentServersOnly: *silentServers, PlannedStopsOnly: *plannedStops, CutStops: *cutStops, EndlessMessages: *endless, Faults: chosenFaults,
			Directory: filepath.Join(*keep, fmt.Sprintf("soak-%d", *firstSeed+i)),
		}
		if *verbose {
			options.Logf = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
		}
		if !runSeed(options) {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, *seedCount)
	return min(failed, 1)
}

// runSeed does one run and reports whether the guarantees held.
func runSeed(options soak.Options) bool {
	if err := os.MkdirAll(options.Directory, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	result, err := soak.Run(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d calls completed, %d streams resumed by callers, %d violations\n",
		options.Seed, result.CompletedCalls, result.ResumedStreams, len(result.Violations))
	if stops := result.Stops; options.CutStops || stops.Killed > 0 {
		fmt.Printf("  stops: %d calls cut, %d answered as cut, %d refused, %d of %d short ones in announcements, %d daemons killed\n",
			stops.Cut, stops.CutAnswers, stops.Refused, stops.AnnouncedRefused, stops.Announced, stops.Killed)
	}
	if options.EndlessMessages {
		fmt.Printf("  peak memory of a daemon: %d MiB\n", result.PeakMiB)
	}
	for _, violation := range result.Violations {
		fmt.Println("  " + violation)
	}
	if len(result.Violations) > 0 {
		fmt.Println("  logs in " + options.Directory)
		return false
	}
	if err := os.RemoveAll(options.Directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return true
}
