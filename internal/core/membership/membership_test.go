package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

const settle = 10 * time.Second

func without(ids []ports.DaemonID, gone ...ports.DaemonID) []ports.DaemonID {
	var rest []ports.DaemonID
	for _, id := range ids {
		keep := true
		for _, g := range gone {
			keep = keep && id != g
		}
		if keep {
			rest = append(rest, id)
		}
	}
	return rest
}

func mustConverge(t *testing.T, f *fleet, live []ports.DaemonID, limit time.Duration) {
	t.Helper()
	took, ok := f.runUntil(live, limit)
	if !ok {
		for id, table := range f.tables {
			t.Logf("%s believes live: %d of %d", id, len(table.Live()), len(live))
		}
		t.Fatalf("no agreement on the %d live daemons after %s", len(live), limit)
	}
	t.Logf("agreed after %s", took)
}

func TestKilledDaemonIsDeclaredDeadEverywhere(t *testing.T) {
	for _, n := range []int{2, 3, 9, 60} {
		f := newFleet(n, 1)
		all := f.ids()
		f.run(settle)
		mustConverge(t, f, all, time.Second)
		f.kill("vm-001")
		mustConverge(t, f, without(all, "vm-001"), 20*time.Second)
	}
}

func TestRestartedDaemonIsLiveAgain(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	f.run(settle)
	f.kill("vm-001")
	mustConverge(t, f, without(all, "vm-001"), 20*time.Second)
	f.start(f.vms[1])
	mustConverge(t, f, all, 10*time.Second)
}

func TestPausedDaemonRefutesAfterItResumes(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	f.run(settle)
	f.paused["vm-004"] = true
	f.run(30 * time.Second)
	if state, _ := f.tables["vm-000"].State("vm-004"); state != ports.MemberDead {
		t.Fatalf("a daemon paused for 30 s is believed %s", state)
	}
	f.paused["vm-004"] = false
	f.run(2 * testTick)
	if live := len(f.tables["vm-004"].Live()); live != len(all) {
		t.Errorf("the resumed daemon believes %d of %d live", live, len(all))
	}
	mustConverge(t, f, all, 15*time.Second)
}

func TestPartitionedSidesRejoin(t *testing.T) {
	f := newFleet(60, 1)
	all := f.ids()
	f.run(settle)
	region := make(map[ports.DaemonID]ports.Region)
	for _, vm := range f.vms {
		region[vm.Name] = vm.Region
	}
	f.lost = func(from, to ports.DaemonID) bool {
		return (region[from] == "region-0") != (region[to] == "region-0")
	}
	f.run(2 * time.Minute)
	if live := len(f.tables["vm-000"].Live()); live != 20 {
		t.Errorf("the cut-off region believes %d daemons live, want its own 20", live)
	}
	if live := len(f.tables["vm-001"].Live()); live != 40 {
		t.Errorf("the others believe %d daemons live, want 40", live)
	}
	f.lost = func(_, _ ports.DaemonID) bool { return false }
	mustConverge(t, f, all, 15*time.Second)
}

func TestIndirectProbesKeepADaemonLiveWhenOneLinkIsCut(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	f.run(settle)
	f.lost = func(from, to ports.DaemonID) bool {
		return from == "vm-000" && to == "vm-001" || from == "vm-001" && to == "vm-000"
	}
	for range 600 {
		f.run(testTick)
		for id, table := range f.tables {
			for other, m := range table.members {
				if m.state != ports.MemberAlive {
					t.Fatalf("%s believes %s %s", id, other, m.state)
				}
			}
		}
	}
	mustConverge(t, f, all, time.Second)
}

func TestLeavingDaemonGivesUpItsRolesAtOnce(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	f.run(settle)
	f.post("vm-003", f.tables["vm-003"].Leave())
	f.deliver()
	for _, id := range without(all, "vm-003") {
		if state, _ := f.tables[id].State("vm-003"); state != ports.MemberLeft {
			t.Errorf("%s believes the leaving daemon %s", id, state)
		}
	}
	f.run(time.Minute)
	if state, _ := f.tables["vm-000"].State("vm-003"); state != ports.MemberLeft {
		t.Errorf("a leaving daemon that still answers is believed %s", state)
	}
	if !f.tables["vm-003"].Self().Leaving {
		t.Error("the leaving daemon does not flag itself")
	}
}

func TestDaemonGoneFromTheListStaysWhileItAnswers(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	f.run(settle)
	shorter := append([]ports.VM{}, f.vms[:8]...)
	for _, id := range all {
		f.tables[id].Seed(shorter, f.now)
	}
	f.run(time.Minute)
	mustConverge(t, f, all, time.Second)
	f.kill("vm-008")
	took, ok := f.runUntil(without(all, "vm-008"), 4*time.Second)
	if !ok {
		t.Errorf("a daemon that is neither listed nor answers was still live after %s", took)
	}
}

func TestListedDaemonThatNeverAnsweredIsNotLive(t *testing.T) {
	f := newFleet(3, 1)
	all := f.ids()
	f.run(settle)
	late := ports.VM{Name: "vm-900", Kind: ports.VMKindDaemon, Domain: "domain-0", Region: "region-0", Address: "127.0.0.1:9"}
	f.vms = append(f.vms, late)
	for _, id := range all {
		f.tables[id].Seed(f.vms, f.now)
	}
	f.run(settle)
	mustConverge(t, f, all, time.Second)
	f.start(late)
	mustConverge(t, f, append(all, late.Name), 10*time.Second)
}

func TestColdStartBelievesTheListUntilItProvesSilent(t *testing.T) {
	f := newFleet(9, 1)
	all := f.ids()
	mustConverge(t, f, all, 0)
	f.kill("vm-005")
	mustConverge(t, f, without(all, "vm-005"), 20*time.Second)
}

func TestClaimsAboutSelfAreRefuted(t *testing.T) {
	f := newFleet(3, 1)
	table := f.tables["vm-000"]
	probe := &ports.Probe{Sequence: 1, Incarnation: 7, Updates: []ports.MemberUpdate{{
		Daemon: "vm-000", Incarnation: table.incarnation, Refutation: 4, State: ports.MemberDead,
	}}}
	out := table.HandleProbe("vm-001", probe, f.now)
	ack := out[0].Message.(*ports.ProbeAck)
	if ack.Refutation != 5 {
		t.Errorf("answered with refutation %d, want 5", ack.Refutation)
	}
}

func TestRestartAfterAClockSetBackIsLive(t *testing.T) {
	f := newFleet(5, 1)
	all := f.ids()
	f.run(settle)
	f.kill("vm-002")
	mustConverge(t, f, without(all, "vm-002"), 20*time.Second)
	earlier := New(f.vms[2], 5, DefaultConfig(), f.random)
	earlier.Seed(f.vms, f.now)
	f.tables["vm-002"] = earlier
	mustConverge(t, f, all, 15*time.Second)
}

// withoutTarget returns a running daemon that does not watch another one.
func withoutTarget(f *fleet, other ports.DaemonID) ports.DaemonID {
	ids := append(f.ids(), other)
	for _, id := range f.ids() {
		if !slices.Contains(watched(id, without(ids, id)), other) {
			return id
		}
	}
	return ""
}

func TestMissedClaimIsMadeUpFor(t *testing.T) {
	f := newFleet(60, 1)
	all := f.ids()
	f.run(settle)
	f.kill("vm-001")
	f.run(30 * time.Second)
	table := f.tables[withoutTarget(f, "vm-001")]
	table.members["vm-001"].state = ports.MemberAlive
	table.gossip.forget("vm-001")
	table.version++
	mustConverge(t, f, without(all, "vm-001"), 40*time.Second)
}

func TestDaemonThatStartsLearnsWhoIsGone(t *testing.T) {
	f := newFleet(60, 1)
	all := f.ids()
	f.run(settle)
	f.kill("vm-001")
	f.run(time.Minute)
	f.start(vmOf(f, withoutTarget(f, "vm-001")))
	mustConverge(t, f, without(all, "vm-001"), 4*time.Second)
}

func vmOf(f *fleet, id ports.DaemonID) ports.VM {
	for _, vm := range f.vms {
		if vm.Name == id {
			return vm
		}
	}
	return ports.VM{}
}

func TestPausedDaemonForgivesTheOthersItsPause(t *testing.T) {
	f := newFleet(9, 1)
	f.run(settle)
	table := f.tables["vm-004"]
	table.suspect("vm-005", f.now)
	f.post("vm-004", table.Tick(f.now))
	waiting := len(table.sent)
	if waiting == 0 {
		t.Fatal("no probe waits for its answer")
	}
	table.Tick(f.now.Add(time.Hour))
	for id, m := range table.members {
		if id != "vm-005" && m.state != ports.MemberAlive {
			t.Errorf("after a pause, %s is believed %s", id, m.state)
		}
	}
	if state := table.members["vm-005"].state; state != ports.MemberSuspect {
		t.Errorf("after a pause, a suspect is believed %s", state)
	}
}

func TestDoubtedDaemonIsProbedOnceAtOnce(t *testing.T) {
	f := newFleet(9, 1)
	f.run(settle)
	table := f.tables["vm-000"]
	clear(table.sent)
	out := table.Doubt("vm-003", f.now)
	if len(out) != 1 || out[0].To != "vm-003" {
		t.Fatalf("doubt asked for %v", out)
	}
	if again := table.Doubt("vm-003", f.now); len(again) != 0 {
		t.Errorf("doubt asked for another probe while one waits: %v", again)
	}
	if unknown := table.Doubt("nobody", f.now); len(unknown) != 0 {
		t.Errorf("doubt of an unknown daemon asked for %v", unknown)
	}
}

func TestSuspectThatLeavesTheListIsDeadAtOnce(t *testing.T) {
	f := newFleet(3, 1)
	f.run(settle)
	table := f.tables["vm-000"]
	table.suspect("vm-001", f.now)
	table.Seed([]ports.VM{f.vms[0], f.vms[2]}, f.now)
	if state, _ := table.State("vm-001"); state != ports.MemberDead {
		t.Errorf("believed %s, want dead", state)
	}
}

func TestDaemonThatALaterListAddsIsNotPresumedLive(t *testing.T) {
	f := newFleet(3, 1)
	table := New(f.vms[0], 1, DefaultConfig(), f.random)
	table.Seed(f.vms[:2], f.now)
	table.Seed(f.vms, f.now)
	if live := len(table.Live()); live != 2 {
		t.Errorf("%d daemons live, want the first list's 2", live)
	}
}

func TestGoneMembersAreForgotten(t *testing.T) {
	f := newFleet(9, 1)
	f.run(settle)
	f.kill("vm-001")
	f.run(settle)
	shorter := append([]ports.VM{f.vms[0]}, f.vms[2:]...)
	for _, id := range f.ids() {
		f.tables[id].Seed(shorter, f.now)
	}
	f.run(2 * DefaultConfig().ForgetAfter)
	if _, ok := f.tables["vm-000"].members["vm-001"]; ok {
		t.Error("a member that is gone for long is remembered")
	}
}

func TestUnlistedMembersAreBounded(t *testing.T) {
	f := newFleet(2, 1)
	table := f.tables["vm-000"]
	for i := range 2 * DefaultConfig().MaxUnlisted {
		table.apply(ports.MemberUpdate{Daemon: ports.DaemonID(fmt.Sprint(i)), Incarnation: 1}, f.now)
	}
	if count := len(table.members); count > DefaultConfig().MaxUnlisted+1 {
		t.Errorf("%d members remembered", count)
	}
	if live := len(table.Live()); live != 2 {
		t.Errorf("%d daemons live, want the 2 of the list", live)
	}
}

// Sessions that fell silent are replaced shortly before the suspicion ends. The
// daemons behind them run and must not be declared dead.
func TestSuspectWhoseConnectionsRecoverBeforeTheDeadlineIsKept(t *testing.T) {
	config := DefaultConfig()
	for seed := range uint64(40) {
		f := newFleet(3, seed)
		f.run(settle + time.Duration(seed%10)*testTick)
		f.lost = func(_, _ ports.DaemonID) bool { return true }
		suspected := false
		for !suspected {
			f.run(testTick)
			for _, table := range f.tables {
				suspected = suspected || len(table.selectMembers((*member).suspected)) > 0
			}
		}
		f.run(config.SuspicionTimeout - 3*testTick)
		f.lost = func(_, _ ports.DaemonID) bool { return false }
		for range 50 {
			f.run(testTick)
			if deaths := f.deaths(); deaths > 0 {
				t.Fatalf("seed %d: %d beliefs in the death of daemons that answer again", seed, deaths)
			}
		}
		mustConverge(t, f, f.ids(), time.Second)
	}
}

// A daemon that learns of a suspicion tells the one that holds it at once.
func TestSuspicionIsRefutedAtOnce(t *testing.T) {
	f := newFleet(2, 1)
	f.run(settle)
	suspecter, suspect := f.tables["vm-000"], f.tables["vm-001"]
	suspecter.suspect("vm-001", f.now)
	f.post("vm-001", []Envelope{suspect.probe("vm-000", f.now)})
	f.deliver()
	if state, _ := suspecter.State("vm-001"); state != ports.MemberAlive {
		t.Errorf("the suspect is believed %s after its probe was answered", state)
	}
}

// The session with a suspect is the way on which it can refute.
func TestSuspectIsProbedWhenItsSessionOpens(t *testing.T) {
	f := newFleet(2, 1)
	f.run(settle)
	table := f.tables["vm-000"]
	if out := table.Reached("vm-001", f.now); len(out) != 0 {
		t.Errorf("a daemon that isn't suspected got %d probes", len(out))
	}
	table.suspect("vm-001", f.now)
	f.post("vm-000", table.Reached("vm-001", f.now))
	f.deliver()
	if state, _ := table.State("vm-001"); state != ports.MemberAlive {
		t.Errorf("the suspect is believed %s after its session opened", state)
	}
}
