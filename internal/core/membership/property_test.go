package membership

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

const (
	testSeed = 20261203
	// toleratedLossRate is the fraction of lost messages at which no running daemon
	// may be declared dead.
	toleratedLossRate = 0.1
	// heavyLossRate is the fraction at which a killed daemon must still be
	// detected.
	heavyLossRate = 0.3
)

func checkProperty(t *testing.T, name string, runs int, property gopter.Prop) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = runs
	properties := gopter.NewProperties(parameters)
	properties.Property(name, property)
	properties.TestingRun(t)
}

func TestNoRunningDaemonIsDeclaredDeadAtToleratedLoss(t *testing.T) {
	checkProperty(t, "no flapping", 25, prop.ForAll(func(n int, seed uint64) bool {
		f := newSimulatedFleet(n, seed)
		f.dropMessages(toleratedLossRate)
		for range 120 {
			f.advance(time.Second)
			if f.falseDeaths() > 0 {
				return false
			}
		}
		return true
	}, gen.IntRange(4, 20), gen.UInt64()))
}

func TestKilledDaemonIsDetectedUnderHeavyLoss(t *testing.T) {
	checkProperty(t, "detection", 25, prop.ForAll(func(n int, seed uint64) bool {
		f := newSimulatedFleet(n, seed)
		all := f.runningIDs()
		f.dropMessages(heavyLossRate)
		f.advance(settleTime)
		f.killDaemon("vm-001")
		for range 60 {
			f.advance(time.Second)
		}
		for _, id := range without(all, "vm-001") {
			if state, _ := f.tables[id].State("vm-001"); state != ports.MemberDead {
				return false
			}
		}
		return true
	}, gen.IntRange(3, 20), gen.UInt64()))
}

func TestViewsConvergeAfterFaultsEnd(t *testing.T) {
	checkProperty(t, "convergence", 25, prop.ForAll(func(n int, seed uint64) bool {
		f := newSimulatedFleet(n, seed)
		all := f.runningIDs()
		f.randomFaults(20)
		for id := range f.paused {
			f.paused[id] = false
		}
		f.dropMessages(0)
		for _, vm := range f.vms {
			if f.tables[vm.Name] == nil {
				f.startDaemon(vm)
			}
		}
		_, ok := f.advanceUntilAgreed(all, 90*time.Second)
		return ok
	}, gen.IntRange(2, 16), gen.UInt64()))
}

// randomFaults injects count random faults: it kills, restarts, pauses and
// resumes daemons, drops messages and partitions the network.
func (f *simulatedFleet) randomFaults(count int) {
	for range count {
		vm := f.vms[f.random.IntN(len(f.vms))]
		switch f.random.IntN(5) {
		case 0:
			f.killDaemon(vm.Name)
		case 1:
			f.startDaemon(vm)
		case 2:
			f.paused[vm.Name] = !f.paused[vm.Name]
		case 3:
			f.dropMessages(f.random.Float64())
		case 4:
			f.dropped = func(from, to ports.DaemonID) bool { return (from < vm.Name) != (to < vm.Name) }
		}
		f.advance(time.Duration(f.random.IntN(6000)) * time.Millisecond)
	}
}

func TestMessageRateDoesNotGrowWithFleetSize(t *testing.T) {
	const seconds = 60
	for _, n := range []int{9, 60, 120} {
		f := newSimulatedFleet(n, 1)
		f.advance(settleTime)
		clear(f.sentCount)
		f.advance(seconds * time.Second)
		for id, sent := range f.sentCount {
			if perSecond := float64(sent) / seconds; perSecond > 2.1 {
				t.Fatalf("%d daemons: %s sends %.2f messages a second, want at most 2.1", n, id, perSecond)
			}
		}
	}
}

func TestUpdatesPerProbeAreBounded(t *testing.T) {
	f := newSimulatedFleet(120, 1)
	f.advance(settleTime)
	for _, vm := range f.vms[60:] {
		f.killDaemon(vm.Name)
	}
	limit := DefaultConfig().MaxMessageUpdates + DefaultConfig().MaxReconciledUpdates
	for range 300 {
		for _, id := range f.runningIDs() {
			for _, e := range f.tables[id].Tick(f.now) {
				if probe, ok := e.Message.(*ports.Probe); ok && len(probe.Updates) > limit {
					t.Fatalf("%d updates on one probe", len(probe.Updates))
				}
				f.send(id, []Envelope{e})
			}
		}
		f.deliver()
		f.now = f.now.Add(testTickPeriod)
	}
}
