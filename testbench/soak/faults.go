package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"hawthornstream/platform/platformtest"
	"hawthornstream/testbench/faultproxy"
)

// fault is a kind of fault. inject starts it and returns the function that ends it, or
// nil if there is nothing to end.
type fault struct {
	name   string
	inject func(r *soakRun) (end func())
}

// faults are the faults that a run chooses from. Several can be active at once.
var faults = []fault{
	{"daemon killed", (*soakRun).killDaemon},
	{"all daemons killed", (*soakRun).killAllDaemons},
	{"planned stop of a daemon", (*soakRun).stopDaemon},
	{"daemon paused", (*soakRun).pauseDaemon},
	{"daemon settings reloaded", (*soakRun).reloadSettings},
	{"store answers with errors", (*soakRun).failStore},
	{"store drops its change history", (*soakRun).dropStoreHistory},
	{"store restored from an older copy", (*soakRun).restoreStore},
	{"link between a daemon and the store cut", (*soakRun).cutStoreLink},
	{"open connections of a daemon to the store silent", (*soakRun).silenceStoreConnections},
	{"open connections to a backend server reset", (*soakRun).resetServerConnections},
	{"open connections to a backend server silent", (*soakRun).silenceServerConnections},
	{"link to a backend server cut in one direction", (*soakRun).cutServerLink},
	{"link to a backend server slow", (*soakRun).delayServerLink},
	{"backend server fails requests", (*soakRun).failServer},
	{"all backend servers fail requests", (*soakRun).failAllServers},
	{"backend server replaced", (*soakRun).replaceServer},
	{"configuration changed", (*soakRun).changeConfiguration},
	{"key revoked", (*soakRun).revokeKey},
	{"invalid server object in the store", (*soakRun).addInvalidServer},
}

// knownRedFaults break guarantees of the current code; see KNOWN-RED.txt. Only Options.Faults
// chooses them.
var knownRedFaults = []fault{
	{"backend server restarted with another version", (*soakRun).restartServer},
}

// silentServerFaults are the faults of a run with Options.SilentServersOnly. None of them
// is a reason to end a call without an answer.
var silentServerFaults = []fault{
	{"backend server pauses", (*soakRun).pauseServer},
	{"daemon settings reloaded", (*soakRun).reloadSettings},
	{"configuration changed", (*soakRun).changeConfiguration},
	{"key revoked", (*soakRun).revokeKey},
}

const (
	// maxServerPause is the exclusive upper bound of a pause of a backend server.
	maxServerPause = 1800 * time.Millisecond
	// maxFaultInterval and maxFaultDuration are exclusive upper bounds of random times:
	// from one fault to the next, and from a fault to its end.
	maxFaultInterval = 1200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// faultPollInterval is the time between two checks for the end of a restore.
	faultPollInterval = 50 * time.Millisecond
)

// activeFault is an injected fault that ends at endAt.
type activeFault struct {
	endAt time.Time
	end   func()
}

// candidates returns the faults that a run with the options chooses from.
func (o *Options) candidates() []fault {
	candidates := faults
	plannedStop := fault{"planned stop of a daemon", (*soakRun).stopDaemon}
	switch {
	case o.PlannedStopsOnly && o.CutStops:
		// The length of a call is known only where no server pauses.
		candidates = append([]fault{plannedStop}, silentServerFaults[1:]...)
	case o.PlannedStopsOnly:
		candidates = append([]fault{plannedStop}, silentServerFaults...)
	case o.SilentServersOnly:
		candidates = silentServerFaults
	case o.EndlessMessages:
		candidates = endlessFaults
	}
	if o.Faults == nil {
		return candidates
	}
	return slices.DeleteFunc(slices.Concat(candidates, knownRedFaults), func(f fault) bool {
		return !o.Faults.MatchString(f.name)
	})
}

// NoFaultError says that Options.Faults matches no fault.
type NoFaultError struct{ Faults string }

// Error implements error.
func (e *NoFaultError) Error() string {
	return fmt.Sprintf("no fault matches %q", e.Faults)
}

// injectFaults injects random faults for the duration in the options, and ends them.
func (r *soakRun) injectFaults() {
	var active []activeFault
	candidates := r.options.candidates()
	for until := time.Now().Add(r.options.FaultDuration); time.Now().Before(until); {
		chosen := candidates[r.random.IntN(len(candidates))]
		r.options.Logf("seed %d: %s", r.options.Seed, chosen.name)
		if end := chosen.inject(r); end != nil {
			active = append(active, activeFault{endAt: time.Now().Add(r.randomDuration(maxFaultDuration)), end: end})
		}
		for pauseUntil := time.Now().Add(r.randomDuration(maxFaultInterval)); time.Now().Before(pauseUntil); {
			time.Sleep(faultPollInterval)
			r.endRestore(time.Now())
			r.copyStore(time.Now())
			r.watchMemory(time.Now())
		}
		active = r.endFaults(active, time.Now())
		r.restartDaemons()
	}
	r.endFaults(active, time.Now().Add(time.Hour))
}

// randomDuration returns a duration from zero up to, but not including, limit.
func (r *soakRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// endFaults ends the faults that are due at now and returns the others.
func (r *soakRun) endFaults(active []activeFault, now time.Time) []activeFault {
	var remaining []activeFault
	for _, f := range active {
		if f.endAt.After(now) {
			remaining = append(remaining, f)
			continue
		}
		f.end()
	}
	return remaining
}

// restartDaemons starts the daemons that have exited. An exit that no fault caused is a
// violation.
func (r *soakRun) restartDaemons() {
	for _, d := range r.daemons {
		if d.Running() {
			continue
		}
		if !d.exitExpected {
			r.checker.addViolation("exited: %s exited unexpectedly, %v: %s", d.Name, d.Wait(context.Background()), logTail(d.Log()))
		}
		d.exitExpected = false
		d.startedAt = time.Now()
		r.interruptions = append(r.interruptions, d.startedAt)
		if err := d.Start(); err != nil {
			r.checker.addViolation("soak: start %s: %v", d.Name, err)
		}
	}
}

// clearFaults removes the effects of all faults, waits for planned stops in progress and
// restarts the daemons that have exited.
func (r *soakRun) clearFaults() {
	r.store.FailWith(0)
	r.endRestore(time.Now().Add(time.Hour))
	for _, link := range r.network.Links(func(string, string) bool { return true }) {
		link.Unblock()
		link.SetDelay(0)
	}
	for _, server := range r.servers {
		server.setFailureMode(noFailure)
	}
	for _, d := range r.daemons {
		if d.exitExpected {
			<-d.Exited()
		}
	}
	r.restartDaemons()
}

func (r *soakRun) randomDaemon() *daemon {
	return r.daemons[r.random.IntN(len(r.daemons))]
}

func (r *soakRun) randomServer() *backendServer {
	return r.servers[r.random.IntN(len(r.servers))]
}

func (r *soakRun) killDaemon() func() {
	if d := r.randomDaemon(); d.Running() && !d.exitExpected && !d.paused {
		d.exitExpected = true
		_ = d.Kill()
		<-d.Exited()
	}
	return nil
}

// killAllDaemons kills all daemons that run, also those that stop.
func (r *soakRun) killAllDaemons() func() {
	for _, d := range r.daemons {
		if d.Running() && !d.paused {
			d.exitExpected = true
			_ = d.Kill()
		}
	}
	for _, d := range r.daemons {
		if !d.paused {
			<-d.Exited()
		}
	}
	return nil
}

// stopDaemon begins a planned stop, and asks for it again if the process still runs when the
// fault ends. It doesn't wait for the exit.
func (r *soakRun) stopDaemon() func() {
	d := r.randomDaemon()
	if !d.Running() || d.exitExpected || d.paused {
		return nil
	}
	d.exitExpected = true
	r.terminate(d)
	stopping := d.PID()
	return func() {
		if d.PID() == stopping && d.Running() {
			_ = d.Terminate()
		}
	}
}

func (r *soakRun) pauseDaemon() func() {
	d := r.randomDaemon()
	if !d.Running() || d.exitExpected || d.paused {
		return nil
	}
	d.paused = true
	_ = d.Pause()
	return func() {
		_ = d.Resume()
		d.paused = false
		r.interruptions = append(r.interruptions, time.Now())
	}
}

func (r *soakRun) reloadSettings() func() {
	if d := r.randomDaemon(); d.Running() && !d.exitExpected && hasSetUpSignals(d) {
		_ = d.ReloadSettings()
	}
	return nil
}

// hasSetUpSignals reports whether the process has installed its signal handlers, which it does
// before it listens. An earlier SIGHUP ends any process, whatever its program does.
func hasSetUpSignals(d *daemon) bool {
	conn, err := net.DialTimeout("tcp", d.addresses.Readiness, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (r *soakRun) randomServerLink() *faultproxy.Link {
	return r.network.Link("daemons", r.randomServer().Name)
}

func (r *soakRun) resetServerConnections() func() {
	r.randomServerLink().CloseOpenConnections()
	return nil
}

func (r *soakRun) silenceServerConnections() func() {
	r.randomServerLink().StallOpenConnections()
	return nil
}

// cutServerLink cuts a link in one direction, chosen at random.
func (r *soakRun) cutServerLink() func() {
	link := r.randomServerLink()
	link.Block(faultproxy.Direction(r.random.IntN(2)))
	return link.Unblock
}

func (r *soakRun) delayServerLink() func() {
	link := r.randomServerLink()
	link.SetDelay(r.randomDuration(maxLinkDelay))
	return func() { link.SetDelay(0) }
}

// failServer sets a random failure mode of a backend server.
func (r *soakRun) failServer() func() {
	server := r.randomServer()
	server.setFailureMode(failureMode(1 + r.random.IntN(int(failureModeCount)-1)))
	return func() { server.setFailureMode(noFailure) }
}

// failAllServers makes all backend servers fail requests in all ways, so that one call meets
// several failures.
func (r *soakRun) failAllServers() func() {
	for _, server := range r.servers {
		server.setFailureMode(anyFailure)
	}
	return func() {
		for _, server := range r.servers {
			server.setFailureMode(noFailure)
		}
	}
}

// pauseServer makes a backend server send nothing for a while. It then goes on.
func (r *soakRun) pauseServer() func() {
	r.randomServer().pauseFor(r.randomDuration(maxServerPause))
	return nil
}

// replaceServer starts a backend server and takes another one of the same service out
// of use: it sets the state of its object to draining, or removes the object.
func (r *soakRun) replaceServer() func() {
	old := r.randomServer()
	r.addServer(old.service)
	for i, server := range r.servers {
		if server == old {
			r.servers = append(r.servers[:i], r.servers[i+1:]...)
			r.replacedServers = append(r.replacedServers, old)
			break
		}
	}
	if r.random.IntN(2) == 0 {
		old.state = stateDraining
		r.writeServer(old)
	} else {
		old.state = stateRemoved
		r.store.Remove("servers", old.Name)
	}
	r.checker.setDrainDeadline(old.Name, time.Now().Add(drainTimeout))
	return nil
}

// restartServer restarts a backend server, which has another software version from then on.
// Its object tells so when the fault ends.
func (r *soakRun) restartServer() func() {
	server := r.randomServer()
	server.restart()
	return func() {
		if server.state != stateRemoved {
			r.writeServer(server)
		}
	}
}

// writeConfiguration writes the configuration object, without key-2 once it is revoked.
func (r *soakRun) writeConfiguration() {
	spec := platformtest.Configuration(r.configurationVersion)
	if r.options.EndlessMessages {
		allowManyConnections(spec)
	} else {
		setWarmUp(spec)
	}
	if r.options.CutStops {
		r.setLongTimeouts(spec)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.revocationDeadline.IsZero() {
		spec["tenants"] = []any{map[string]any{"name": "t1", "apiKeys": []string{"key-1"}}}
	}
	r.store.Set("config", "main", spec)
}

func (r *soakRun) changeConfiguration() func() {
	r.configurationVersion += 1 + r.random.IntN(3)
	r.writeConfiguration()
	return nil
}

// revokeKey removes key-2, with its workspace, from the configuration. A second call does
// nothing.
func (r *soakRun) revokeKey() func() {
	r.mu.Lock()
	alreadyRevoked := !r.revocationDeadline.IsZero()
	if !alreadyRevoked {
		r.revocationDeadline = time.Now().Add(revocationTimeout)
	}
	r.mu.Unlock()
	if alreadyRevoked {
		return nil
	}
	return r.changeConfiguration()
}

func (r *soakRun) addInvalidServer() func() {
	r.store.SetRaw("servers", "x-foreign", []byte(`{"service":7,"address":"nowhere","state":"ready"}`))
	return func() { r.store.Remove("servers", "x-foreign") }
}
