// Package controlbench measures what sharing costs a daemon besides the calls
// themselves: the messages between an entry and a slot owner.
package controlbench

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/peer"
	"hawthornstream/internal/app/sharing"
	"hawthornstream/internal/app/workpool"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const service ports.ServiceName = "drafter"

const (
	servers = 12
	workers = 4
	// pace is the time between two calls of a paced benchmark: about what one
	// daemon of a large fleet gets.
	pace = 10 * time.Millisecond
)

// world is what both daemons believe: the second owns the only shard.
type world struct {
	self     ports.VM
	daemons  []ports.VM
	shard    ports.ShardView
	revision *configuration.Revision
}

func (w *world) Self() ports.VM                             { return w.self }
func (w *world) Incarnation() ports.Incarnation             { return 1 }
func (w *world) Daemons() []ports.VM                        { return w.daemons }
func (w *world) Servers(ports.ServiceName) []ports.VM       { return w.shard.Servers }
func (w *world) Shards(ports.ServiceName) []ports.ShardView { return []ports.ShardView{w.shard} }
func (w *world) KeyOwner(string) ports.DaemonID             { return w.daemons[0].Name }
func (w *world) OnChange(func())                            {}

// source gives the world's configuration.
type source struct{ world *world }

func (s source) Current() *ports.Configuration       { return s.world.revision }
func (s source) OnChange(func(*ports.Configuration)) {}

// startPair starts the sharing of two daemons over real sessions and returns
// that of the entry, and the counters of both.
func startPair(b *testing.B) (*sharing.Manager, tally.TestScope) {
	b.Helper()
	scope := tally.NewTestScope("", nil)
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	var transports []*peer.Transport
	var vms []ports.VM
	for _, name := range []ports.VMName{"entry", "owner"} {
		vm := ports.VM{Name: name, Kind: ports.VMKindDaemon, Domain: "domain", Region: "region"}
		pool := workpool.New(workers)
		b.Cleanup(pool.Stop)
		transport, err := peer.New(peer.Options{
			Self: vm, Incarnation: 1, ListenAddress: "127.0.0.1:0",
			Timing: peer.DefaultTiming(), Pool: pool, Logger: logger, Scope: scope,
		})
		if err != nil {
			b.Fatal(err)
		}
		transports = append(transports, transport)
		vms = append(vms, vm)
	}
	var managers []*sharing.Manager
	for i, transport := range transports {
		w := newWorld(vms[i], vms)
		managers = append(managers, sharing.NewManager(sharing.Params{
			Settings: settings.Default(), Logger: logger, Scope: scope,
			Directory: w, Transport: transport, Configuration: source{w},
		}))
		if err := transport.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(transport.Stop)
		vms[i].Address = transport.Address()
	}
	for i, transport := range transports {
		transport.SetPeers(vms)
		managers[i].Run()
		b.Cleanup(managers[i].Stop)
	}
	return managers[0], scope
}

func newWorld(self ports.VM, daemons []ports.VM) *world {
	shard := ports.ShardView{ID: "shard", Service: service, Domain: "domain", Region: "region", Owner: daemons[1].Name}
	for i := range servers {
		shard.Servers = append(shard.Servers, ports.VM{Name: ports.VMName("server-" + strconv.Itoa(i)), Address: "127.0.0.1:1"})
	}
	document := configuration.Document{Services: map[ports.ServiceName]configuration.Service{
		service: {Kind: configuration.ServiceKindPlain, MaxInFlight: 8},
	}}
	return &world{
		self: self, daemons: daemons, shard: shard,
		revision: &configuration.Revision{Number: 1, Document: document},
	}
}

func runCall(b *testing.B, entry *sharing.Manager, workspace int) {
	b.Helper()
	now := time.Now()
	slot, err := entry.Acquire(context.Background(), &ports.Call{
		Service: service, Class: "class", Workspace: ports.WorkspaceID("workspace-" + strconv.Itoa(workspace)),
		Arrived: now, FirstTokenBy: now.Add(time.Second), Deadline: now.Add(time.Minute),
	})
	if err != nil {
		b.Fatal(err)
	}
	slot.Release(ports.RunReport{Cost: 20, FirstByteAfter: time.Millisecond})
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSlotFromAnotherDaemon takes and gives back slots that another daemon
// owns. It reports the processor time of both daemons for each call, which is
// what one daemon of many spends for each of its calls, the time that passes
// included.
func BenchmarkSlotFromAnotherDaemon(b *testing.B) {
	entry, scope := startPair(b)
	runCall(b, entry, 0)
	before := sentBytes(scope)
	began := processorTime(b)
	b.ResetTimer()
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for i := range b.N {
		<-ticker.C
		runCall(b, entry, i%servers)
	}
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/call")
	b.ReportMetric(float64(sentBytes(scope)-before)/float64(b.N), "B/call")
}

// BenchmarkIdlePair is the same for as long without a call.
func BenchmarkIdlePair(b *testing.B) {
	entry, _ := startPair(b)
	runCall(b, entry, 0)
	began := processorTime(b)
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * pace)
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/call")
}

func sentBytes(scope tally.TestScope) int64 {
	var sum int64
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "peer_sent_bytes" {
			sum += counter.Value()
		}
	}
	return sum
}
