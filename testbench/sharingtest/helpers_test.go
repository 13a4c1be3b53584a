package sharingtest

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

const (
	service = ports.ServiceName("sds-drafter")
	// batchSize is the number of requests that an engine runs concurrently.
	// engines is the number of engines, four in each failure domain.
	batchSize = 2
	engines   = 12
	// callTokens is the length and cost of each call in tokens.
	callTokens    = 20
	statusTimeout = 2 * time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

func startFleet(t *testing.T, daemons int) *fleet.Fleet {
	t.Helper()
	return fleet.StartTest(t, fleet.Options{
		Daemons: daemons,
		Engines: []fleet.EngineService{{
			Name:        service,
			Servers:     engines,
			MaxInFlight: batchSize,
			Engine:      engine.Config{BatchSize: batchSize, TokensPerSecond: 100},
		}},
		Links: fleet.LinkOptions{Proxied: true},
	})
}

// load is a closed-loop load: each of its callers sends the next call as soon as
// the previous one ends.
type load struct {
	caller  *fleet.Caller
	cancel  context.CancelFunc
	stop    chan struct{}
	callers sync.WaitGroup
}

// startLoad starts callers of a workspace that call the daemons in turn until the
// test ends or finish is called.
func startLoad(t *testing.T, workspace ports.WorkspaceID, callers int, daemons ...*fleet.Daemon) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{caller: fleet.NewCaller(), cancel: cancel, stop: make(chan struct{})}
	for i := range callers {
		l.callers.Go(func() { l.run(ctx, workspace, daemons, i) })
	}
	t.Cleanup(func() {
		cancel()
		l.callers.Wait()
		l.caller.Close()
	})
	return l
}

func (l *load) run(ctx context.Context, workspace ports.WorkspaceID, daemons []*fleet.Daemon, first int) {
	for i := first; ctx.Err() == nil; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		outcome := l.caller.Do(ctx, daemons[i%len(daemons)], fleet.Call{
			Workspace:  workspace,
			Service:    service,
			Kind:       configuration.ServiceKindEngine,
			Stream:     true,
			Tokens:     callTokens,
			Repeatable: "true",
		})
		if outcome.ConnectionRefused() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// finish stops new calls and waits for the calls in progress.
func (l *load) finish() {
	close(l.stop)
	l.callers.Wait()
}

// status returns the status of the service at a daemon, and false when the daemon
// does not answer.
func status(d *fleet.Daemon) (ports.ServiceStatus, bool) {
	if !d.Running() {
		return ports.ServiceStatus{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	daemonStatus, err := d.Status(ctx)
	if err != nil {
		return ports.ServiceStatus{}, false
	}
	for _, s := range daemonStatus.Services {
		if s.Service == service {
			return s, true
		}
	}
	return ports.ServiceStatus{}, false
}

// ownedSlots returns the number of servers in the shards that the daemons own,
// and the number of their slots in use.
func ownedSlots(daemons ...*fleet.Daemon) (servers, inUse int) {
	for _, d := range daemons {
		serviceStatus, ok := status(d)
		if !ok {
			continue
		}
		for _, shard := range serviceStatus.Owned {
			servers += len(shard.Servers)
			for _, server := range shard.Servers {
				inUse += server.InUse
			}
		}
	}
	return servers, inUse
}

// awaitSlotsReleased waits until each server has one owner and no slot is in use.
func awaitSlotsReleased(t *testing.T, daemons ...*fleet.Daemon) {
	t.Helper()
	fleet.Eventually(t, "each server has one owner and no slot is in use", func() bool {
		servers, inUse := ownedSlots(daemons...)
		return servers == engines && inUse == 0
	})
}

// servedCost returns the cost of the calls of a workspace that started at or
// after the given time, and the servers that ran them.
func servedCost(f *fleet.Fleet, workspace ports.WorkspaceID, from time.Time) (cost float64, servers map[string]bool) {
	servers = make(map[string]bool)
	for _, run := range f.RunLog.Runs() {
		if run.Workspace != string(workspace) || run.StartedAt.IsZero() || run.StartedAt.Before(from) {
			continue
		}
		cost += run.Cost()
		servers[run.Server] = true
	}
	return cost, servers
}

// awaitServed waits until the cost of the calls of a workspace that started at
// or after the given time reaches that of the given number of calls.
func awaitServed(t *testing.T, f *fleet.Fleet, workspace ports.WorkspaceID, from time.Time, calls int) {
	t.Helper()
	fleet.Eventually(t, "calls of "+string(workspace)+" are served", func() bool {
		cost, _ := servedCost(f, workspace, from)
		return cost >= float64(calls*callTokens)
	})
}

// shardOwner returns a daemon that owns a shard.
func shardOwner(t *testing.T, f *fleet.Fleet) *fleet.Daemon {
	t.Helper()
	for _, d := range f.Daemons {
		if serviceStatus, ok := status(d); ok && len(serviceStatus.Owned) > 0 {
			return d
		}
	}
	t.Fatal("no daemon owns a shard")
	return nil
}

// others returns all daemons of the fleet except one.
func others(f *fleet.Fleet, excluded *fleet.Daemon) []*fleet.Daemon {
	var remaining []*fleet.Daemon
	for _, d := range f.Daemons {
		if d != excluded {
			remaining = append(remaining, d)
		}
	}
	return remaining
}
