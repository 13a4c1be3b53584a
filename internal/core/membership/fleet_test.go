package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const testTickPeriod = 100 * time.Millisecond

// simulatedFleet delivers messages between the tables of its daemons, on a
// simulated clock.
type simulatedFleet struct {
	now    time.Time
	random *rand.Rand
	vms    []ports.VM
	tables map[ports.DaemonID]*Table
	paused map[ports.DaemonID]bool
	// dropped reports whether the network drops a message.
	dropped  func(from, to ports.DaemonID) bool
	inFlight []inFlightMessage
	// sentCount is the number of messages that each daemon sent, dropped ones
	// included.
	sentCount map[ports.DaemonID]int
}

type inFlightMessage struct {
	from, to ports.DaemonID
	message  ports.Message
}

func newSimulatedFleet(n int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		now:       time.Unix(1_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		tables:    make(map[ports.DaemonID]*Table),
		paused:    make(map[ports.DaemonID]bool),
		sentCount: make(map[ports.DaemonID]int),
		dropped:   func(_, _ ports.DaemonID) bool { return false },
	}
	for i := range n {
		f.vms = append(f.vms, ports.VM{
			Name:    ports.VMName(fmt.Sprintf("vm-%03d", i)),
			Kind:    ports.VMKindDaemon,
			Domain:  ports.FailureDomain(fmt.Sprintf("domain-%d", i%3)),
			Region:  ports.Region(fmt.Sprintf("region-%d", i%3)),
			Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
		})
	}
	for _, vm := range f.vms {
		f.startDaemon(vm)
	}
	return f
}

// startDaemon starts a new incarnation of a daemon.
func (f *simulatedFleet) startDaemon(vm ports.VM) *Table {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 2))
	table := New(vm, ports.Incarnation(f.now.UnixMilli()), DefaultConfig(), random)
	table.ApplyVMList(f.vms, f.now)
	f.tables[vm.Name] = table
	return table
}

func (f *simulatedFleet) killDaemon(id ports.DaemonID) {
	delete(f.tables, id)
}

func (f *simulatedFleet) runningIDs() []ports.DaemonID {
	var ids []ports.DaemonID
	for id := range f.tables {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *simulatedFleet) send(from ports.DaemonID, envelopes []Envelope) {
	for _, e := range envelopes {
		f.sentCount[from]++
		if f.dropped(from, e.To) {
			continue
		}
		f.inFlight = append(f.inFlight, inFlightMessage{from: from, to: e.To, message: e.Message})
	}
}

// advance moves the clock forward in ticks and delivers the messages of each.
func (f *simulatedFleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(testTickPeriod) {
		for _, id := range f.runningIDs() {
			if !f.paused[id] {
				f.send(id, f.tables[id].Tick(f.now))
			}
		}
		f.deliver()
	}
}

func (f *simulatedFleet) deliver() {
	for len(f.inFlight) > 0 {
		m := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		table, ok := f.tables[m.to]
		if !ok || f.paused[m.to] {
			continue
		}
		switch message := m.message.(type) {
		case *ports.Probe:
			f.send(m.to, table.HandleProbe(m.from, message, f.now))
		case *ports.ProbeAck:
			f.send(m.to, table.HandleAck(m.from, message, f.now))
		case *ports.ProbeRequest:
			f.send(m.to, table.HandleProbeRequest(m.from, message, f.now))
		}
	}
}

// dropMessages makes the network drop a fraction of all messages.
func (f *simulatedFleet) dropMessages(fraction float64) {
	f.dropped = func(_, _ ports.DaemonID) bool { return f.random.Float64() < fraction }
}

// falseDeaths returns in how many tables a running daemon is considered dead,
// summed over the daemons.
func (f *simulatedFleet) falseDeaths() int {
	count := 0
	for _, table := range f.tables {
		for id, m := range table.members {
			if f.tables[id] != nil && m.state == ports.MemberDead {
				count++
			}
		}
	}
	return count
}

// allAgree reports whether exactly the given daemons are considered alive in the
// table of every running daemon.
func (f *simulatedFleet) allAgree(alive []ports.DaemonID) bool {
	for _, id := range f.runningIDs() {
		var names []ports.DaemonID
		for _, vm := range f.tables[id].AliveDaemons() {
			names = append(names, vm.Name)
		}
		if !slices.Equal(names, alive) {
			return false
		}
	}
	return true
}

// advanceUntilAgreed advances the clock until all daemons agree on the alive
// ones. It returns how long that took, and false when they don't agree within
// the limit.
func (f *simulatedFleet) advanceUntilAgreed(alive []ports.DaemonID, limit time.Duration) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < limit {
		if f.allAgree(alive) {
			return f.now.Sub(start), true
		}
		f.advance(testTickPeriod)
	}
	return limit, f.allAgree(alive)
}
