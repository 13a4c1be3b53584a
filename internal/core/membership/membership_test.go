package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

const settleTime = 10 * time.Second

func without(ids []ports.DaemonID, excluded ...ports.DaemonID) []ports.DaemonID {
	var remaining []ports.DaemonID
	for _, id := range ids {
		keep := true
		for _, e := range excluded {
			keep = keep && id != e
		}
		if keep {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

func requireAgreement(t *testing.T, f *simulatedFleet, alive []ports.DaemonID, limit time.Duration) {
	t.Helper()
	took, ok := f.advanceUntilAgreed(alive, limit)
	if !ok {
		for id, table := range f.tables {
			t.Logf("%s considers %d daemons alive, want %d", id, len(table.AliveDaemons()), len(alive))
		}
		t.Fatalf("the daemons do not agree on the %d alive ones after %s", len(alive), limit)
	}
	t.Logf("the daemons agreed after %s", took)
}

func TestKilledDaemonIsDeclaredDeadEverywhere(t *testing.T) {
	for _, n := range []int{2, 3, 9, 60} {
		f := newSimulatedFleet(n, 1)
		all := f.runningIDs()
		f.advance(settleTime)
		requireAgreement(t, f, all, time.Second)
		f.killDaemon("vm-001")
		requireAgreement(t, f, without(all, "vm-001"), 20*time.Second)
	}
}

func TestRestartedDaemonIsAliveAgain(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.killDaemon("vm-001")
	requireAgreement(t, f, without(all, "vm-001"), 20*time.Second)
	f.startDaemon(f.vms[1])
	requireAgreement(t, f, all, 10*time.Second)
}

func TestResumedDaemonRefutesItsDeath(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.paused["vm-004"] = true
	f.advance(30 * time.Second)
	if state, _ := f.tables["vm-000"].State("vm-004"); state != ports.MemberDead {
		t.Fatalf("a daemon paused for 30 s is considered %s, want dead", state)
	}
	f.paused["vm-004"] = false
	f.advance(2 * testTickPeriod)
	if alive := len(f.tables["vm-004"].AliveDaemons()); alive != len(all) {
		t.Errorf("the resumed daemon considers %d of %d daemons alive", alive, len(all))
	}
	requireAgreement(t, f, all, 15*time.Second)
}

func TestPartitionsMergeAfterTheNetworkHeals(t *testing.T) {
	f := newSimulatedFleet(60, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	region := make(map[ports.DaemonID]ports.Region)
	for _, vm := range f.vms {
		region[vm.Name] = vm.Region
	}
	f.dropped = func(from, to ports.DaemonID) bool {
		return (region[from] == "region-0") != (region[to] == "region-0")
	}
	f.advance(2 * time.Minute)
	if alive := len(f.tables["vm-000"].AliveDaemons()); alive != 20 {
		t.Errorf("the partitioned region considers %d daemons alive, want its own 20", alive)
	}
	if alive := len(f.tables["vm-001"].AliveDaemons()); alive != 40 {
		t.Errorf("the other regions consider %d daemons alive, want 40", alive)
	}
	f.dropped = func(_, _ ports.DaemonID) bool { return false }
	requireAgreement(t, f, all, 15*time.Second)
}

func TestIndirectProbesKeepADaemonAliveWhenOneLinkIsCut(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.dropped = func(from, to ports.DaemonID) bool {
		return from == "vm-000" && to == "vm-001" || from == "vm-001" && to == "vm-000"
	}
	for range 600 {
		f.advance(testTickPeriod)
		for id, table := range f.tables {
			for other, m := range table.members {
				if m.state != ports.MemberAlive {
					t.Fatalf("%s considers %s %s, want alive", id, other, m.state)
				}
			}
		}
	}
	requireAgreement(t, f, all, time.Second)
}

func TestLeaveReachesAllDaemonsAtOnce(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.send("vm-003", f.tables["vm-003"].Leave())
	f.deliver()
	for _, id := range without(all, "vm-003") {
		if state, _ := f.tables[id].State("vm-003"); state != ports.MemberLeft {
			t.Errorf("%s considers the leaving daemon %s, want left", id, state)
		}
	}
	f.advance(time.Minute)
	if state, _ := f.tables["vm-000"].State("vm-003"); state != ports.MemberLeft {
		t.Errorf("a leaving daemon that still answers is considered %s, want left", state)
	}
	if !f.tables["vm-003"].Self().Leaving {
		t.Error("the leaving daemon does not report itself as leaving")
	}
}

func TestUnlistedDaemonStaysAliveWhileItAnswers(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	shorter := append([]ports.VM{}, f.vms[:8]...)
	for _, id := range all {
		f.tables[id].ApplyVMList(shorter, f.now)
	}
	f.advance(time.Minute)
	requireAgreement(t, f, all, time.Second)
	f.killDaemon("vm-008")
	took, ok := f.advanceUntilAgreed(without(all, "vm-008"), 4*time.Second)
	if !ok {
		t.Errorf("a daemon that neither is listed nor answers is still considered alive after %s", took)
	}
}

func TestListedDaemonThatNeverAnsweredIsNotAlive(t *testing.T) {
	f := newSimulatedFleet(3, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	late := ports.VM{Name: "vm-900", Kind: ports.VMKindDaemon, Domain: "domain-0", Region: "region-0", Address: "127.0.0.1:9"}
	f.vms = append(f.vms, late)
	for _, id := range all {
		f.tables[id].ApplyVMList(f.vms, f.now)
	}
	f.advance(settleTime)
	requireAgreement(t, f, all, time.Second)
	f.startDaemon(late)
	requireAgreement(t, f, append(all, late.Name), 10*time.Second)
}

func TestDaemonsOfTheFirstVMListArePresumedAlive(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	all := f.runningIDs()
	requireAgreement(t, f, all, 0)
	f.killDaemon("vm-005")
	requireAgreement(t, f, without(all, "vm-005"), 20*time.Second)
}

func TestOwnDeathIsRefuted(t *testing.T) {
	f := newSimulatedFleet(3, 1)
	table := f.tables["vm-000"]
	probe := &ports.Probe{Sequence: 1, Incarnation: 7, Updates: []ports.MemberUpdate{{
		Daemon: "vm-000", Incarnation: table.incarnation, Refutation: 4, State: ports.MemberDead,
	}}}
	out := table.HandleProbe("vm-001", probe, f.now)
	ack := out[0].Message.(*ports.ProbeAck)
	if ack.Refutation != 5 {
		t.Errorf("the ack has refutation %d, want 5", ack.Refutation)
	}
}

func TestRestartWithLowerIncarnationIsAlive(t *testing.T) {
	f := newSimulatedFleet(5, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.killDaemon("vm-002")
	requireAgreement(t, f, without(all, "vm-002"), 20*time.Second)
	earlier := New(f.vms[2], 5, DefaultConfig(), f.random)
	earlier.ApplyVMList(f.vms, f.now)
	f.tables["vm-002"] = earlier
	requireAgreement(t, f, all, 15*time.Second)
}

// daemonNotProbing returns a running daemon that does not probe the other one in
// turn.
func daemonNotProbing(f *simulatedFleet, other ports.DaemonID) ports.DaemonID {
	ids := append(f.runningIDs(), other)
	for _, id := range f.runningIDs() {
		if !slices.Contains(selectProbeTargets(id, without(ids, id)), other) {
			return id
		}
	}
	return ""
}

func TestMissedUpdateIsReconciled(t *testing.T) {
	f := newSimulatedFleet(60, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.killDaemon("vm-001")
	f.advance(30 * time.Second)
	table := f.tables[daemonNotProbing(f, "vm-001")]
	table.members["vm-001"].state = ports.MemberAlive
	table.updateQueue.remove("vm-001")
	table.aliveVersion++
	requireAgreement(t, f, without(all, "vm-001"), 40*time.Second)
}

func TestStartedDaemonReceivesDeadMembers(t *testing.T) {
	f := newSimulatedFleet(60, 1)
	all := f.runningIDs()
	f.advance(settleTime)
	f.killDaemon("vm-001")
	f.advance(time.Minute)
	f.startDaemon(vmByID(f, daemonNotProbing(f, "vm-001")))
	requireAgreement(t, f, without(all, "vm-001"), 4*time.Second)
}

func vmByID(f *simulatedFleet, id ports.DaemonID) ports.VM {
	for _, vm := range f.vms {
		if vm.Name == id {
			return vm
		}
	}
	return ports.VM{}
}

func TestOwnPauseDoesNotExpireProbesOrSuspicions(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	f.advance(settleTime)
	table := f.tables["vm-004"]
	table.markSuspect("vm-005", f.now)
	f.send("vm-004", table.Tick(f.now))
	pending := len(table.pendingProbes)
	if pending == 0 {
		t.Fatal("no probe waits for an ack")
	}
	table.Tick(f.now.Add(time.Hour))
	for id, m := range table.members {
		if id != "vm-005" && m.state != ports.MemberAlive {
			t.Errorf("after a pause, %s is considered %s, want alive", id, m.state)
		}
	}
	if state := table.members["vm-005"].state; state != ports.MemberSuspect {
		t.Errorf("after a pause, a suspect is considered %s, want suspect", state)
	}
}

func TestLostSessionTriggersOneProbe(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	f.advance(settleTime)
	table := f.tables["vm-000"]
	clear(table.pendingProbes)
	out := table.HandleSessionLost("vm-003", f.now)
	if len(out) != 1 || out[0].To != "vm-003" {
		t.Fatalf("a lost session caused %v, want one probe of vm-003", out)
	}
	if again := table.HandleSessionLost("vm-003", f.now); len(again) != 0 {
		t.Errorf("a lost session caused another probe while one is pending: %v", again)
	}
	if unknown := table.HandleSessionLost("nobody", f.now); len(unknown) != 0 {
		t.Errorf("a lost session with an unknown daemon caused %v", unknown)
	}
}

func TestSuspectRemovedFromVMListIsDeadAtOnce(t *testing.T) {
	f := newSimulatedFleet(3, 1)
	f.advance(settleTime)
	table := f.tables["vm-000"]
	table.markSuspect("vm-001", f.now)
	table.ApplyVMList([]ports.VM{f.vms[0], f.vms[2]}, f.now)
	if state, _ := table.State("vm-001"); state != ports.MemberDead {
		t.Errorf("the suspect is considered %s, want dead", state)
	}
}

func TestDaemonAddedByLaterVMListIsNotPresumedAlive(t *testing.T) {
	f := newSimulatedFleet(3, 1)
	table := New(f.vms[0], 1, DefaultConfig(), f.random)
	table.ApplyVMList(f.vms[:2], f.now)
	table.ApplyVMList(f.vms, f.now)
	if alive := len(table.AliveDaemons()); alive != 2 {
		t.Errorf("%d daemons alive, want the 2 of the first list", alive)
	}
}

func TestDeadUnlistedMembersAreForgotten(t *testing.T) {
	f := newSimulatedFleet(9, 1)
	f.advance(settleTime)
	f.killDaemon("vm-001")
	f.advance(settleTime)
	shorter := append([]ports.VM{f.vms[0]}, f.vms[2:]...)
	for _, id := range f.runningIDs() {
		f.tables[id].ApplyVMList(shorter, f.now)
	}
	f.advance(2 * DefaultConfig().ForgetAfter)
	if _, ok := f.tables["vm-000"].members["vm-001"]; ok {
		t.Error("a dead, unlisted member is still kept after twice ForgetAfter")
	}
}

func TestUnlistedMembersAreBounded(t *testing.T) {
	f := newSimulatedFleet(2, 1)
	table := f.tables["vm-000"]
	for i := range 2 * DefaultConfig().MaxUnlistedMembers {
		table.applyUpdate(ports.MemberUpdate{Daemon: ports.DaemonID(fmt.Sprint(i)), Incarnation: 1}, f.now)
	}
	if count := len(table.members); count > DefaultConfig().MaxUnlistedMembers+1 {
		t.Errorf("%d members kept, more than MaxUnlistedMembers and the listed one", count)
	}
	if alive := len(table.AliveDaemons()); alive != 2 {
		t.Errorf("%d daemons alive, want the 2 of the list", alive)
	}
}

// Silent sessions may be replaced only shortly before the suspicion timeout
// ends. The daemons are still running and must not be declared dead.
func TestSuspectWhoseConnectionsRecoverInTimeIsNotDeclaredDead(t *testing.T) {
	config := DefaultConfig()
	for seed := range uint64(40) {
		f := newSimulatedFleet(3, seed)
		f.advance(settleTime + time.Duration(seed%10)*testTickPeriod)
		f.dropped = func(_, _ ports.DaemonID) bool { return true }
		suspected := false
		for !suspected {
			f.advance(testTickPeriod)
			for _, table := range f.tables {
				suspected = suspected || len(table.selectMembers((*member).isSuspect)) > 0
			}
		}
		f.advance(config.SuspicionTimeout - 3*testTickPeriod)
		f.dropped = func(_, _ ports.DaemonID) bool { return false }
		for range 50 {
			f.advance(testTickPeriod)
			if deaths := f.falseDeaths(); deaths > 0 {
				t.Fatalf("seed %d: running daemons are considered dead in %d cases after the connections recovered", seed, deaths)
			}
		}
		requireAgreement(t, f, f.runningIDs(), time.Second)
	}
}

// A daemon that receives a suspicion of itself in an ack sends its refutation to
// the sender at once.
func TestSuspicionIsRefutedAtOnce(t *testing.T) {
	f := newSimulatedFleet(2, 1)
	f.advance(settleTime)
	observer, suspect := f.tables["vm-000"], f.tables["vm-001"]
	observer.markSuspect("vm-001", f.now)
	f.send("vm-001", []Envelope{suspect.startProbe("vm-000", f.now)})
	f.deliver()
	if state, _ := observer.State("vm-001"); state != ports.MemberAlive {
		t.Errorf("the suspect is considered %s after its probe was answered, want alive", state)
	}
}

// A suspect can refute only over a session. When one opens, it is probed at
// once, without waiting for its turn.
func TestSuspectIsProbedWhenItsSessionOpens(t *testing.T) {
	f := newSimulatedFleet(2, 1)
	f.advance(settleTime)
	table := f.tables["vm-000"]
	if out := table.HandleSessionOpened("vm-001", f.now); len(out) != 0 {
		t.Errorf("a daemon that isn't suspect got %d probes, want 0", len(out))
	}
	table.markSuspect("vm-001", f.now)
	f.send("vm-000", table.HandleSessionOpened("vm-001", f.now))
	f.deliver()
	if state, _ := table.State("vm-001"); state != ports.MemberAlive {
		t.Errorf("the suspect is considered %s after its session opened, want alive", state)
	}
}
