package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hawthornstream/platform/platformtest"
	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
)

// Options are what a run is made of.
type Options struct {
	Seed uint64
	// Daemons, Callers and Servers of each service are counts.
	Daemons, Callers, Servers int
	// For is the time with faults; the recovery after it comes on top.
	For time.Duration
	// Directory takes settings and logs.
	Directory string
	// Logf reports each fault; nil for silence.
	Logf func(format string, values ...any)
}

// Result is what a run came to.
type Result struct {
	Served   int
	Breaches []string
}

const (
	// startWithin bounds the start of the fleet, and recoverWithin the time after
	// the last fault in which calls have to be served again.
	startWithin   = 30 * time.Second
	recoverWithin = 15 * time.Second
	// recoveredCalls are the calls that show that the fleet serves again.
	recoveredCalls = 50
	// leaveWithin and revokeWithin are the bounds of the pages, with the time of
	// contact that a daemon which was just disturbed may need.
	leaveWithin  = 8500 * time.Millisecond
	revokeWithin = 12500 * time.Millisecond
)

// world is one run.
type world struct {
	options Options
	random  *rand.Rand
	store   *platformtest.Store
	network *faultproxy.Network
	ledger  *ledger
	servers []*backendServer
	daemons []*daemon
	version int
	// names counts the servers that were started.
	names int

	mu      sync.Mutex
	revoked time.Time
}

// daemon is a process and its addresses.
type daemon struct {
	*fleet.Process
	places platformtest.Places
	// planned says that the process was told to end.
	planned bool
	paused  bool
	// started is when the process was started last.
	started time.Time
}

// Run plays one seed. It fails when the world can't be built; broken promises are
// in the result.
func Run(options Options) (Result, error) {
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), store: platformtest.NewStore(),
		network: faultproxy.NewNetwork(), ledger: newLedger(), version: 3,
	}
	defer w.close()
	if err := w.build(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	w.startCallers(ctx, &callers)
	w.play()
	w.recover()
	cancel()
	callers.Wait()
	return Result{Served: w.ledger.served(), Breaches: w.ledger.breaches()}, nil
}

func (w *world) close() {
	for _, d := range w.daemons {
		if d.Running() {
			_ = d.Resume()
			_ = d.Kill()
			<-d.Exited()
		}
	}
	for _, server := range w.servers {
		server.Close()
	}
	w.network.Close()
	w.store.Close()
}

func (w *world) build() error {
	binary, err := fleet.DaemonBinary()
	if err != nil {
		return err
	}
	w.configure()
	for range w.options.Servers {
		w.addServer("llm")
		w.addServer("app")
	}
	for i := range w.options.Daemons {
		if err := w.addDaemon(binary, i); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		d.started = time.Now()
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if !within(startWithin, func() bool { return ready(d.places.Readiness) }) {
			return &startError{Name: d.Name, Log: tail(d.Log())}
		}
	}
	return nil
}

// startError says that a daemon did not become ready.
type startError struct{ Name, Log string }

// Error implements error.
func (e *startError) Error() string {
	return fmt.Sprintf("%s did not become ready: %s", e.Name, e.Log)
}

// addDaemon writes the settings of a daemon that reaches the store over a proxied
// link.
func (w *world) addDaemon(binary string, index int) error {
	name := fmt.Sprintf("d%d", index+1)
	link, err := w.network.AddLink(name, "store", strings.TrimPrefix(w.store.URL, "http://"), time.Millisecond)
	if err != nil {
		return err
	}
	places := platformtest.NewPlaces()
	path := filepath.Join(w.options.Directory, name+".json")
	text := platformtest.Settings(name, "http://"+link.Address(), places)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	process := fleet.NewProcess(name, binary, path, filepath.Join(w.options.Directory, name+".log"))
	w.daemons = append(w.daemons, &daemon{Process: process, places: places})
	return nil
}

// addServer starts a backend server and registers it, behind a proxied link.
func (w *world) addServer(service string) {
	w.names++
	name := fmt.Sprintf("i-%s-%d", service, w.names)
	server := newBackendServer(name, service, fmt.Sprintf("z%d", 1+w.names%2), w.ledger)
	w.servers = append(w.servers, server)
	w.register(server, "ready")
}

func (w *world) register(server *backendServer, state string) {
	entry := server.Entry(server.service, server.zone, state)
	if link, err := w.network.AddLink("daemons", server.Name, server.Address(), 0); err == nil {
		entry["address"] = link.Address()
	}
	w.store.Set("servers", server.Name, entry)
}

func (w *world) startCallers(ctx context.Context, group *sync.WaitGroup) {
	var targets []string
	for _, d := range w.daemons {
		targets = append(targets, d.places.Callers)
	}
	for i := range w.options.Callers {
		c := &caller{
			name: fmt.Sprintf("c%d", i), ledger: w.ledger, targets: targets, revoked: w.isRevoked,
			random: rand.New(rand.NewPCG(w.options.Seed, uint64(i)+100)),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		group.Add(1)
		go c.run(ctx, group)
	}
}

// isRevoked says whether the second key must no longer work.
func (w *world) isRevoked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.revoked.IsZero() && time.Now().After(w.revoked)
}

// recover ends all faults and checks that calls are served again.
func (w *world) recover() {
	w.calm()
	before := w.ledger.served()
	if !within(recoverWithin, func() bool { return w.ledger.served() >= before+recoveredCalls }) {
		w.ledger.add("recover: %d calls served in %v after the last fault", w.ledger.served()-before, recoverWithin)
	}
	for _, d := range w.daemons {
		if !d.Running() {
			w.ledger.add("ended: %s is not running after the faults: %s", d.Name, tail(d.Log()))
		}
	}
}

func ready(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func within(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// tailBytes is how much of a log is shown.
const tailBytes = 1500

func tail(log string) string {
	return log[max(0, len(log)-tailBytes):]
}
