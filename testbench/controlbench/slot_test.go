// Package controlbench measures the processor time and bytes that sharing costs a
// daemon besides the calls themselves: those of the messages between an entry and a
// shard owner.
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

const serviceName ports.ServiceName = "drafter"

const (
	serverCount = 12
	workerCount = 4
	// callInterval is the time between two calls, about that at one daemon of a large
	// fleet.
	callInterval = 10 * time.Millisecond
)

// staticDirectory is a directory that never changes, as one of the two daemons sees it.
// The second daemon owns the only shard.
type staticDirectory struct {
	self     ports.VM
	daemons  []ports.VM
	shard    ports.ShardView
	revision *configuration.Revision
}

func (d *staticDirectory) Self() ports.VM                       { return d.self }
func (d *staticDirectory) Incarnation() ports.Incarnation       { return 1 }
func (d *staticDirectory) Daemons() []ports.VM                  { return d.daemons }
func (d *staticDirectory) Servers(ports.ServiceName) []ports.VM { return d.shard.Servers }
func (d *staticDirectory) Shards(ports.ServiceName) []ports.ShardView {
	return []ports.ShardView{d.shard}
}
func (d *staticDirectory) KeyOwner(string) ports.DaemonID { return d.daemons[0].Name }
func (d *staticDirectory) OnChange(func())                {}

// staticConfiguration is a configuration source with the revision of a directory.
type staticConfiguration struct{ directory *staticDirectory }

func (s staticConfiguration) Current() *ports.Configuration       { return s.directory.revision }
func (s staticConfiguration) OnChange(func(*ports.Configuration)) {}

// startEntryAndOwner starts the sharing managers of two daemons that are connected by
// real sessions. It returns the manager of the entry, and the scope with the metrics of
// both daemons.
func startEntryAndOwner(b *testing.B) (*sharing.Manager, tally.TestScope) {
	b.Helper()
	scope := tally.NewTestScope("", nil)
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	var transports []*peer.Transport
	var vms []ports.VM
	for _, name := range []ports.VMName{"entry", "owner"} {
		vm := ports.VM{Name: name, Kind: ports.VMKindDaemon, Domain: "domain", Region: "region"}
		pool := workpool.New(workerCount)
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
		directory := newStaticDirectory(vms[i], vms)
		managers = append(managers, sharing.NewManager(sharing.Params{
			Settings: settings.Default(), Logger: logger, Scope: scope,
			Directory: directory, Transport: transport, Configuration: staticConfiguration{directory},
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

func newStaticDirectory(self ports.VM, daemons []ports.VM) *staticDirectory {
	shard := ports.ShardView{ID: "shard", Service: serviceName, Domain: "domain", Region: "region", Owner: daemons[1].Name}
	for i := range serverCount {
		shard.Servers = append(shard.Servers, ports.VM{Name: ports.VMName("server-" + strconv.Itoa(i)), Address: "127.0.0.1:1"})
	}
	document := configuration.Document{Services: map[ports.ServiceName]configuration.Service{
		serviceName: {Kind: configuration.ServiceKindPlain, MaxInFlight: 8},
	}}
	return &staticDirectory{
		self: self, daemons: daemons, shard: shard,
		revision: &configuration.Revision{Number: 1, Document: document},
	}
}

// acquireAndRelease acquires a slot for a call of a workspace and releases it at once.
func acquireAndRelease(b *testing.B, entry *sharing.Manager, workspace int) {
	b.Helper()
	now := time.Now()
	slot, err := entry.Acquire(context.Background(), &ports.Call{
		Service: serviceName, Class: "class", Workspace: ports.WorkspaceID("workspace-" + strconv.Itoa(workspace)),
		Arrived: now, FirstTokenBy: now.Add(time.Second), Deadline: now.Add(time.Minute),
	})
	if err != nil {
		b.Fatal(err)
	}
	slot.Release(ports.RunReport{Cost: 20, FirstByteAfter: time.Millisecond})
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSlotFromAnotherDaemon acquires and releases slots of a shard that another
// daemon owns. It reports the processor time and the bytes sent by both daemons
// together per call, which is what one daemon of many spends per call of its own. The
// processor time includes that of periodic work between the calls, which
// BenchmarkIdlePair measures alone.
func BenchmarkSlotFromAnotherDaemon(b *testing.B) {
	entry, scope := startEntryAndOwner(b)
	acquireAndRelease(b, entry, 0)
	sentBytesBefore := sentBytes(scope)
	processorTimeBefore := processorTime(b)
	b.ResetTimer()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for i := range b.N {
		<-ticker.C
		acquireAndRelease(b, entry, i%serverCount)
	}
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-processorTimeBefore).Microseconds())/float64(b.N), "cpu-µs/call")
	b.ReportMetric(float64(sentBytes(scope)-sentBytesBefore)/float64(b.N), "B/call")
}

// BenchmarkIdlePair reports the processor time of both daemons without calls, per
// interval between two calls of BenchmarkSlotFromAnotherDaemon.
func BenchmarkIdlePair(b *testing.B) {
	entry, _ := startEntryAndOwner(b)
	acquireAndRelease(b, entry, 0)
	processorTimeBefore := processorTime(b)
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * callInterval)
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-processorTimeBefore).Microseconds())/float64(b.N), "cpu-µs/call")
}

// sentBytes returns the bytes that both daemons have sent to each other.
func sentBytes(scope tally.TestScope) int64 {
	var sum int64
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "peer_sent_bytes" {
			sum += counter.Value()
		}
	}
	return sum
}
