package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornstream/platform/platformtest"
	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
)

// Options holds the parameters of a run.
type Options struct {
	Seed uint64
	// Daemons, Callers and ServersPerService are counts.
	Daemons, Callers, ServersPerService int
	// FaultDuration is how long faults are injected. The recovery after the last fault
	// takes additional time.
	FaultDuration time.Duration
	// SilentServersOnly limits the faults to pauses of backend servers and changes of
	// the configuration and the settings. No call may then end without an answer.
	SilentServersOnly bool
	// PlannedStopsOnly limits the faults to planned stops of daemons and those of
	// SilentServersOnly. No call that a backend server has received may then end without an
	// answer.
	PlannedStopsOnly bool
	// CutStops lets some calls last longer than the time from SIGTERM to the platform's kill.
	// With PlannedStopsOnly, no server pauses, and a stop may cut off only calls that it could
	// neither finish nor refuse.
	CutStops bool
	// LateDaemons is the number of daemons that count as busy all the time and hand their
	// connections over to others.
	LateDaemons int
	// EndlessMessages gives the daemons little memory, and limits the faults to messages that
	// never arrive whole and changes of the configuration and the settings. Services then have no
	// warm-up, so that many calls can meet a server that fails.
	EndlessMessages bool
	// Evacuate evacuates a failure domain before the faults and takes it back after them.
	Evacuate bool
	// Faults limits the faults to those whose name it matches; nil for all but
	// knownRedFaults.
	Faults *regexp.Regexp
	// Directory is an existing directory for the daemons' settings and logs.
	Directory string
	// Logf reports each injected fault. It may be nil.
	Logf func(format string, values ...any)
}

// Result holds the outcome of a run.
type Result struct {
	// CompletedCalls is the number of calls with a complete and correct answer.
	CompletedCalls int
	// ResumedStreams is the number of streams that went on after their callers resumed
	// them.
	ResumedStreams int
	// Stops are the effects of planned stops.
	Stops StopCounts
	// PeakMiB is the highest peak of a daemon's memory in a run with Options.EndlessMessages.
	PeakMiB int
	// Violations describes the violated guarantees.
	Violations []string
}

const (
	// startTimeout limits the wait for each daemon to become ready.
	startTimeout = 30 * time.Second
	// recoveryTimeout limits the time after the last fault in which recoveryCallCount
	// calls must be completed.
	recoveryTimeout   = 15 * time.Second
	recoveryCallCount = 50
	// drainTimeout and revocationTimeout are the documented bounds plus the time that
	// a daemon may need to restore its connections after a fault.
	drainTimeout      = 8500 * time.Millisecond
	revocationTimeout = 12500 * time.Millisecond
	// A daemon with busyProcessors is busy with a few calls a second, and one with
	// enoughProcessors never.
	busyProcessors   = 0.01
	enoughProcessors = 16.0
	// daemonKind is the kind of the objects that daemons write to the store.
	daemonKind = "hawthornstream-daemons"
)

// soakRun is the state of one run.
type soakRun struct {
	options Options
	random  *rand.Rand
	store   *platformtest.Store
	// storeProxy is between the daemons and the store in a run with Options.EndlessMessages; nil
	// in others. endlessStore is what it sends in place of answers; nil for nothing.
	storeProxy   *httptest.Server
	endlessStore atomic.Pointer[endlessMessage]
	network      *faultproxy.Network
	checker      *checker
	cuts         *stopCuts
	// stops are the waits for daemons that stop.
	stops   sync.WaitGroup
	servers []*backendServer
	// replacedServers are out of use. They run until the end, as calls sent before may
	// still be in progress there.
	replacedServers []*backendServer
	limitedServers  []limitedServer
	// evacuated is the evacuated failure domain, empty for none, whose servers must get no
	// requests from evacuationDeadline on.
	evacuated          string
	evacuationDeadline time.Time
	// interruptions are the times at which daemons started or went on after a pause.
	interruptions        []time.Time
	daemons              []*daemon
	configurationVersion int
	// storeCopies are the copies from which the store may be restored, oldest first.
	storeCopies []storeCopy
	// rewriteAt and expireAt are when the effects of the last restore end; zero if
	// they have.
	rewriteAt, expireAt time.Time
	// startedServers counts all backend servers that were started. Their names are
	// numbered by it.
	startedServers int

	mu sync.Mutex
	// revocationDeadline is the time from which daemons must reject key-2. It is zero
	// until the key is revoked.
	revocationDeadline time.Time
}

// daemon is a daemon process with its addresses.
type daemon struct {
	*fleet.Process
	addresses platformtest.Addresses
	// exitExpected tells that a fault killed the process or began its planned stop.
	exitExpected bool
	paused       bool
	// startedAt is the time of the last start.
	startedAt time.Time
	// peakMiB is the peak of the memory of all processes that ran so far.
	peakMiB int
}

// Run does the run of one seed. It returns *NoFaultError, or another error if the daemons and
// servers can't be started; violated guarantees are part of the result.
func Run(options Options) (Result, error) {
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	if len(options.candidates()) == 0 {
		return Result{}, &NoFaultError{Faults: options.Faults.String()}
	}
	r := &soakRun{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), store: platformtest.NewStore(),
		network: faultproxy.NewNetwork(), checker: newChecker(), cuts: newStopCuts(), configurationVersion: 3,
	}
	defer r.close()
	if r.options.CutStops {
		r.setUpCuts()
	}
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	r.startCallers(ctx, &callers)
	if !r.options.SilentServersOnly && !r.options.PlannedStopsOnly && !r.options.EndlessMessages {
		r.limitServers()
	}
	if r.options.Evacuate {
		r.evacuate()
	}
	r.injectFaults()
	r.endLimits()
	if !r.options.EndlessMessages {
		r.checkColdServers()
	}
	r.checkRecovery()
	if r.options.Evacuate {
		r.endEvacuation()
	}
	cancel()
	callers.Wait()
	peak := r.checkMemory()
	if r.options.PlannedStopsOnly {
		r.cuts.check(r.checker)
	}
	return Result{
		CompletedCalls: r.checker.completedCalls(), ResumedStreams: r.checker.resumedStreams(),
		Stops: r.cuts.counted(), PeakMiB: peak, Violations: r.checker.allViolations(),
	}, nil
}

func (r *soakRun) close() {
	for _, d := range r.daemons {
		if d.Running() {
			_ = d.Resume()
			_ = d.Kill()
			<-d.Exited()
		}
	}
	r.stops.Wait()
	for _, server := range append(r.servers, r.replacedServers...) {
		server.Close()
	}
	r.network.Close()
	if r.storeProxy != nil {
		r.storeProxy.Close()
	}
	r.store.Close()
}

// start starts the backend servers and the daemons, and waits until all daemons are
// ready.
func (r *soakRun) start() error {
	buildDaemon := fleet.DaemonBinary
	if r.options.EndlessMessages {
		buildDaemon = fleet.DaemonBinaryWithoutRaceDetector
		r.startStoreProxy()
	}
	binary, err := buildDaemon()
	if err != nil {
		return err
	}
	r.writeConfiguration()
	for range r.options.ServersPerService {
		r.addServer("llm")
		r.addServer("app")
	}
	for i := range r.options.Daemons {
		if err := r.addDaemon(binary, i); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		d.startedAt = time.Now()
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if !waitUntil(startTimeout, func() bool { return isReady(d.addresses.Readiness) }) {
			return &notReadyError{Daemon: d.Name, LogTail: logTail(d.Log())}
		}
	}
	return nil
}

// notReadyError says that a daemon did not become ready in time.
type notReadyError struct{ Daemon, LogTail string }

// Error implements error.
func (e *notReadyError) Error() string {
	return fmt.Sprintf("%s did not become ready: %s", e.Daemon, e.LogTail)
}

// addDaemon adds a daemon, not started, with a settings file by which it reaches the
// store through a proxied link.
func (r *soakRun) addDaemon(binary string, index int) error {
	name := fmt.Sprintf("d%d", index+1)
	link, err := r.network.AddLink(name, "store", r.storeAddress(), time.Millisecond)
	if err != nil {
		return err
	}
	addresses := platformtest.NewAddresses()
	path := filepath.Join(r.options.Directory, name+".json")
	text := platformtest.Settings(name, "http://"+link.Address(), addresses)
	if r.options.Evacuate {
		text = withEvacuations(text)
	}
	if r.options.CutStops {
		text = platformtest.WithStop(text, cutKillAfter, cutAnnounce)
	}
	if r.options.LateDaemons > 0 {
		processors := enoughProcessors
		if index < r.options.LateDaemons {
			processors = busyProcessors
			r.cuts.late[addresses.Callers] = true
		}
		text = platformtest.WithHandover(text, addresses, processors)
	}
	if r.options.EndlessMessages {
		text = withMemory(text)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	process := fleet.NewProcess(name, binary, path, filepath.Join(r.options.Directory, name+".log"))
	r.daemons = append(r.daemons, &daemon{Process: process, addresses: addresses})
	return nil
}

// addServer starts a backend server and registers it, in one of two zones and with one
// of the software versions in turn.
func (r *soakRun) addServer(service string) {
	r.startedServers++
	name, zone := fmt.Sprintf("i-%s-%d", service, r.startedServers), fmt.Sprintf("z%d", 1+r.startedServers%2)
	if r.options.Evacuate {
		zone = evacuationZone(r.startedServers)
	}
	server := newBackendServer(name, service, zone, 1+r.startedServers/2%softwareVersions, r.checker, r.cuts)
	r.servers = append(r.servers, server)
	server.listedAddress, server.state = server.Address(), stateReady
	if link, err := r.network.AddLink("daemons", server.Name, server.Address(), 0); err == nil {
		server.listedAddress = link.Address()
	}
	if r.evacuated != "" && zone == r.evacuated {
		r.checker.setDrainDeadline(name, r.evacuationDeadline)
	}
	r.writeServer(server)
}

// writeServer writes the server object to the store.
func (r *soakRun) writeServer(server *backendServer) {
	spec := server.Spec(server.service, server.zone, string(server.state))
	spec["address"] = server.listedAddress
	r.store.Set("servers", server.Name, spec)
}

func (r *soakRun) startCallers(ctx context.Context, group *sync.WaitGroup) {
	var addresses []string
	for _, d := range r.daemons {
		addresses = append(addresses, d.addresses.Callers)
	}
	for i := range r.options.Callers {
		c := &caller{
			name: fmt.Sprintf("c%d", i), checker: r.checker, daemonAddresses: addresses, isKeyRevoked: r.isKeyRevoked,
			mustBeAnswered: r.options.SilentServersOnly, runsMustBeAnswered: r.options.PlannedStopsOnly,
			cuts: r.cuts, callTimeout: r.callTimeout(), kinds: r.kindsOf(i),
			random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)+100)),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		group.Add(1)
		go c.run(ctx, group)
	}
}

// callTimeout returns the timeout of callers who don't hang up early.
func (r *soakRun) callTimeout() time.Duration {
	if r.options.CutStops {
		return longCallTimeout
	}
	return usualCallTimeout
}

// isKeyRevoked reports whether daemons must reject key-2.
func (r *soakRun) isKeyRevoked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.revocationDeadline.IsZero() && time.Now().After(r.revocationDeadline)
}

// checkRecovery clears all faults and checks that calls are completed again, and that all
// daemons run and have their objects in the store.
func (r *soakRun) checkRecovery() {
	r.clearFaults()
	before := r.checker.completedCalls()
	if !waitUntil(recoveryTimeout, func() bool { return r.checker.completedCalls() >= before+recoveryCallCount }) {
		r.checker.addViolation("recovery: only %d calls completed in %v after the last fault", r.checker.completedCalls()-before, recoveryTimeout)
	}
	for _, d := range r.daemons {
		if !waitUntil(recoveryTimeout, func() bool { return slices.Contains(r.store.Names(daemonKind), d.Name) }) {
			r.checker.addViolation("registration: %s is not in the store %v after the last fault", d.Name, recoveryTimeout)
		}
		if !d.Running() {
			r.checker.addViolation("exited: %s is not running after the faults: %s", d.Name, logTail(d.Log()))
		}
	}
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil polls until the condition holds. It returns false if the timeout passes
// first.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// logTailBytes is the maximum length of a log excerpt in a violation or error.
const logTailBytes = 1500

func logTail(log string) string {
	return log[max(0, len(log)-logTailBytes):]
}
