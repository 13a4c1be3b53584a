// Command soak plays seeds of the fault soak.
//
// Usage:
//
//	soak [-seed N] [-seeds N] [-for 20s] [-daemons N] [-callers N] [-servers N] [-keep DIR]
//
// Without -seed, the seeds are new ones. It exits with 1 when a promise was
// broken, and then keeps the logs of that seed.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/soak"
)

func main() {
	os.Exit(run())
}

func run() int {
	seed := flag.Uint64("seed", 0, "the first seed; 0 draws one")
	seeds := flag.Int("seeds", 1, "the number of seeds")
	length := flag.Duration("for", 20*time.Second, "the time with faults of each seed")
	daemons := flag.Int("daemons", 3, "the number of daemons")
	callers := flag.Int("callers", 20, "the number of callers")
	servers := flag.Int("servers", 3, "the number of backend servers of each service")
	keep := flag.String("keep", os.TempDir(), "the `directory` that takes the logs of failed seeds")
	verbose := flag.Bool("v", false, "report each fault")
	flag.Parse()
	defer fleet.RemoveBinaries()
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 32)
	}
	failed := 0
	for i := range uint64(*seeds) {
		options := soak.Options{
			Seed: *seed + i, Daemons: *daemons, Callers: *callers, ServersPerService: *servers, FaultDuration: *length,
			Directory: filepath.Join(*keep, fmt.Sprintf("soak-%d", *seed+i)),
		}
		if *verbose {
			options.Logf = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
		}
		if !play(options) {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, *seeds)
	return min(failed, 1)
}

// play plays one seed and reports whether it kept the promises.
func play(options soak.Options) bool {
	if err := os.MkdirAll(options.Directory, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	result, err := soak.Run(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d calls served, %d breaches\n", options.Seed, result.CompletedCalls, len(result.Violations))
	for _, breach := range result.Violations {
		fmt.Println("  " + breach)
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
