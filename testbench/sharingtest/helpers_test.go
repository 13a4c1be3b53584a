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
	// batch is the number of requests that an engine runs at once, and engines
	// their number: four in each failure domain.
	batch   = 2
	engines = 12
	// tokens is the cost of each call.
	tokens        = 20
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
			MaxInFlight: batch,
			Engine:      engine.Config{BatchSize: batch, TokensPerSecond: 100},
		}},
		Links: fleet.LinkOptions{Proxied: true},
	})
}

// load is a number of callers that call again as soon as they are answered.
type load struct {
	caller *fleet.Caller
	cancel context.CancelFunc
	stop   chan struct{}
	done   sync.WaitGroup
}

// startLoad calls for a workspace at the daemons in turn, until the test ends or
// finish is called.
func startLoad(t *testing.T, workspace ports.WorkspaceID, callers int, daemons ...*fleet.Daemon) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{caller: fleet.NewCaller(), cancel: cancel, stop: make(chan struct{})}
	for i := range callers {
		l.done.Go(func() { l.run(ctx, workspace, daemons, i) })
	}
	t.Cleanup(func() {
		cancel()
		l.done.Wait()
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
			Tokens:     tokens,
			Repeatable: "true",
		})
		if outcome.ConnectionRefused() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// finish lets the calls in progress end.
func (l *load) finish() {
	close(l.stop)
	l.done.Wait()
}

// status returns how a daemon sees the service, and false when it does not
// answer.
func status(d *fleet.Daemon) (ports.ServiceStatus, bool) {
	if !d.Running() {
		return ports.ServiceStatus{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	seen, err := d.Status(ctx)
	if err != nil {
		return ports.ServiceStatus{}, false
	}
	for _, s := range seen.Services {
		if s.Service == service {
			return s, true
		}
	}
	return ports.ServiceStatus{}, false
}

// slots returns the owned servers and the slots in use of all daemons.
func slots(daemons ...*fleet.Daemon) (servers, inUse int) {
	for _, d := range daemons {
		seen, ok := status(d)
		if !ok {
			continue
		}
		for _, shard := range seen.Owned {
			servers += len(shard.Servers)
			for _, server := range shard.Servers {
				inUse += server.InUse
			}
		}
	}
	return servers, inUse
}

// eventuallyRight waits until each server has one owner and no slot is in use.
func eventuallyRight(t *testing.T, daemons ...*fleet.Daemon) {
	t.Helper()
	fleet.Eventually(t, "each server has one owner and no slot is in use", func() bool {
		servers, inUse := slots(daemons...)
		return servers == engines && inUse == 0
	})
}

// served returns the cost run for a workspace from a time on, and the servers
// that ran it.
func served(f *fleet.Fleet, workspace ports.WorkspaceID, from time.Time) (cost float64, servers map[string]bool) {
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

// eventuallyServed waits until enough of a workspace's calls began to run from a
// time on.
func eventuallyServed(t *testing.T, f *fleet.Fleet, workspace ports.WorkspaceID, from time.Time, calls int) {
	t.Helper()
	fleet.Eventually(t, "calls of "+string(workspace)+" run", func() bool {
		cost, _ := served(f, workspace, from)
		return cost >= float64(calls*tokens)
	})
}

// owner returns a daemon that owns slots.
func owner(t *testing.T, f *fleet.Fleet) *fleet.Daemon {
	t.Helper()
	for _, d := range f.Daemons {
		if seen, ok := status(d); ok && len(seen.Owned) > 0 {
			return d
		}
	}
	t.Fatal("no daemon owns a slot")
	return nil
}

// others returns the daemons without one.
func others(f *fleet.Fleet, without *fleet.Daemon) []*fleet.Daemon {
	var rest []*fleet.Daemon
	for _, d := range f.Daemons {
		if d != without {
			rest = append(rest, d)
		}
	}
	return rest
}
