package experiment

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
)

// Experiment is one running experiment, as seen by the scenario's functions that
// inject faults and evaluate results.
type Experiment struct {
	Config Config
	Plan   *Plan
	Fleet  *fleet.Fleet
	Caller *fleet.Caller
	// LoadStart is the time at which the load starts.
	LoadStart time.Time
	// Evidence is complete when Plan.Evaluate is called.
	Evidence audit.Evidence
	// CentralEvidence is the evidence of the central queue, empty without
	// baselines.
	CentralEvidence audit.Evidence

	balancer *balancer

	mu                    sync.Mutex
	expectedInterruptions map[ports.DaemonID][]timeRange
	partitions            []networkPartition
	capacityByServer      map[string]audit.ServerCapacity
	// serverByRequest holds the name of the backend server that ran a request, by
	// request ID.
	serverByRequest map[string]string
}

type timeRange struct {
	from  time.Time
	until time.Time
}

// networkPartition is a time in which two sets of VMs could not reach each other.
type networkPartition struct {
	timeRange
	// inside reports whether a VM, by name, belongs to the first set.
	inside func(vm string) bool
}

// WaitUntil waits until an offset from the start of the load. It returns false
// when ctx ended before.
func (e *Experiment) WaitUntil(ctx context.Context, offset time.Duration) bool {
	return sleepUntil(ctx, e.LoadStart.Add(offset))
}

// ExpectInterruptions records that the experiment itself interrupts the calls that
// are open at a daemon now or are sent to it before until. They don't count as
// cut calls.
func (e *Experiment) ExpectInterruptions(daemon *fleet.Daemon, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expectedInterruptions[daemon.ID()] = append(e.expectedInterruptions[daemon.ID()], timeRange{from: time.Now(), until: until})
}

// ExpectInterruptionsAcross records that the experiment interrupts the answers of
// backend servers that are on the other side of a network partition than the
// daemon of the call, from now until a time. inside reports whether a VM belongs
// to the first side.
func (e *Experiment) ExpectInterruptionsAcross(inside func(vm string) bool, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partitions = append(e.partitions, networkPartition{timeRange: timeRange{from: time.Now(), until: until}, inside: inside})
}

// isInterruptionExpected reports whether the experiment itself may have interrupted
// a call.
func (e *Experiment) isInterruptionExpected(outcome fleet.Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, partition := range e.partitions {
		server := e.serverByRequest[outcome.RequestID]
		crossesPartition := server != "" && partition.inside(server) != partition.inside(string(outcome.Daemon))
		if crossesPartition && outcome.EndedAt.After(partition.from) && outcome.SentAt.Before(partition.until) {
			return true
		}
	}
	for _, expected := range e.expectedInterruptions[outcome.Daemon] {
		if outcome.EndedAt.After(expected.from) && outcome.SentAt.Before(expected.until) {
			return true
		}
	}
	return false
}

// Kill kills a daemon's process and expects the interruption of its calls, also of
// those sent before the balancer finds it not ready.
func (e *Experiment) Kill(daemon *fleet.Daemon) error {
	e.ExpectInterruptions(daemon, time.Now().Add(10*readinessCheckInterval))
	e.Config.Logf("kill %s", daemon.ID())
	return daemon.Kill()
}

// RemoveCapacity excludes a backend server's slots from the capacity from a time
// on.
func (e *Experiment) RemoveCapacity(server string, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	capacity := e.capacityByServer[server]
	capacity.Until = from
	e.capacityByServer[server] = capacity
}

// Send makes a call at a ready daemon, preferably at the arrival's preferred one.
func (e *Experiment) Send(ctx context.Context, arrival Arrival) fleet.Outcome {
	return e.Caller.Do(ctx, e.balancer.selectDaemon(arrival.PreferredDaemon), arrival.Call)
}

// ShardOwners returns the daemons whose own status says that they own shards of a
// service.
func (e *Experiment) ShardOwners(ctx context.Context, service ports.ServiceName) []*fleet.Daemon {
	var owners []*fleet.Daemon
	for _, daemon := range e.Fleet.Daemons {
		status, err := daemon.Status(ctx)
		if err != nil {
			continue
		}
		for _, serviceStatus := range status.Services {
			if serviceStatus.Service == service && len(serviceStatus.Owned) > 0 {
				owners = append(owners, daemon)
			}
		}
	}
	return owners
}

func newExperiment(config Config, plan *Plan, f *fleet.Fleet) *Experiment {
	e := &Experiment{
		Config:                config,
		Plan:                  plan,
		Fleet:                 f,
		Caller:                fleet.NewCaller(),
		balancer:              newBalancer(f.Daemons),
		expectedInterruptions: make(map[ports.DaemonID][]timeRange),
		capacityByServer:      make(map[string]audit.ServerCapacity),
		serverByRequest:       make(map[string]string),
	}
	model := measuredModel(plan)
	for name := range f.Engines {
		e.capacityByServer[name] = audit.ServerCapacity{Server: name, Slots: model.Engine.BatchSize}
	}
	return e
}

// collectEvidence sets Evidence from what was recorded so far.
func (e *Experiment) collectEvidence() {
	e.Evidence = audit.Evidence{
		Runs:          e.Fleet.RunLog.Runs(),
		Outcomes:      e.Caller.Outcomes(),
		Document:      e.Fleet.Document(),
		IsExpectedCut: e.isInterruptionExpected,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.Evidence.Runs {
		e.serverByRequest[run.RequestID] = run.Server
	}
}

// capacities returns the capacity of each engine.
func (e *Experiment) capacities() []audit.ServerCapacity {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []audit.ServerCapacity
	for _, capacity := range e.capacityByServer {
		all = append(all, capacity)
	}
	return all
}
