package dispatch

import (
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// perTestEngine is what one engine of the tests can do, in tokens per second.
const perTestEngine = 100_000

// overloadedPool is the pool of a daemon whose failure domain z1 has three engines and
// whose callers ask for half more than these can do. The domain z2 of the same region has
// three idle ones.
func overloadedPool(t *testing.T, terms *configuration.Spillover) *Pool {
	t.Helper()
	vms := engineVMs(3, 64)
	for i := range vms {
		if vms[i].Domain == "z2" {
			vms[i].Region = "r1"
		}
	}
	pool := NewPool(localVM)
	pool.SetService(true, 0)
	pool.SetServers(vms)
	pool.SetSpillover(terms)
	return pool
}

// reportDemands reports 1.5 times what z1 can do and nothing of the others, and updates the
// flows for two seconds.
func reportDemands(pool *Pool, now time.Time) time.Time {
	pool.ChooseForArrival(now, shortWork(0), AdmissionTerms{})
	for end := now.Add(2 * time.Second); now.Before(end); {
		now = now.Add(spilloverPeriod)
		pool.SetReportedDemand(now, Source{Daemon: "d2"}, 4.5*perTestEngine)
		pool.SetReportedDemand(now, Source{Domain: "z2"}, 0)
		pool.SetReportedDemand(now, Source{Domain: "z3"}, 0)
		pool.UpdateSpillover(now, perTestEngine)
	}
	return now
}

func shortWork(id int) *Work {
	return &Work{
		CallID: ports.RequestID(fmt.Sprint("c", id)), ForEngine: true, UniqueTokens: 500, OutputTokens: 100,
		FirstTokenWithin: 800 * time.Millisecond,
	}
}

// Without the section, calls pay the constants for links, whatever is reported.
func TestWithoutSpilloverLinksCostAsBefore(t *testing.T) {
	pool := overloadedPool(t, nil)
	reportDemands(pool, start)
	want := map[ports.FailureDomain]time.Duration{"z1": 0, "z2": crossDomainCost, "z3": crossRegionCost}
	for _, server := range pool.Servers() {
		if cost := pool.linkCost(server, shortWork(1)); cost != want[server.VM().Domain] {
			t.Errorf("%s costs %s", server.VM().Name, cost)
		}
	}
	if pool.Flows() != nil || pool.OwnDemand(start) != 0 || len(pool.UpdateSpillover(start, perTestEngine)) > 0 {
		t.Error("a flow without the section")
	}
}

// The domain is overloaded. A part of its calls goes to the other domain of the region at
// the cost of the delay, the rest pays the price as well, and all of them stay where the
// other domain is lost.
func TestOverloadedDomainSendsPartOfItsCalls(t *testing.T) {
	pool := overloadedPool(t, &configuration.Spillover{})
	now := reportDemands(pool, start)
	part := pool.Flows()["z2"]
	if part < 0.2 {
		t.Fatalf("flows %v", pool.Flows())
	}
	leaving := 0
	for i := range 2000 {
		work := shortWork(i)
		choice, _ := pool.Choose(now, work, AdmissionTerms{})
		if work.LeavesFor("z2") {
			leaving++
			if cost := pool.linkCost(pool.findServer("e2-0"), work); cost > 10*time.Millisecond {
				t.Fatalf("a call that leaves pays %s", cost)
			}
		} else if cost := pool.linkCost(pool.findServer("e2-0"), work); cost < time.Duration(startMargin*float64(work.FirstTokenWithin)) {
			t.Fatalf("a call that stays would pay %s", cost)
		}
		if choice.Server.VM().Domain == "z3" {
			t.Fatal("a call leaves the region")
		}
	}
	if got := float64(leaving) / 2000; got < part-0.03 || got > part+0.03 {
		t.Errorf("%.2f of the calls leave, want %.2f", got, part)
	}
	for _, server := range pool.Servers() {
		if server.VM().Domain == "z2" {
			server.health.exclude(now)
		}
	}
	pool.UpdateSpillover(now.Add(spilloverPeriod), perTestEngine)
	if pool.Flows()["z2"] > 0 {
		t.Errorf("flows %v although the servers can't be reached", pool.Flows())
	}
}

// Where the own domain would make a call late, it leaves although no flow does.
func TestCallLeavesFullDomainWithoutFlow(t *testing.T) {
	pool := overloadedPool(t, &configuration.Spillover{})
	for _, server := range pool.Servers() {
		if server.VM().Domain == "z1" {
			server.ownLoad.PendingTokens = 10_000_000
		}
	}
	if choice := mustChoose(t, pool, start, shortWork(1), AdmissionTerms{}); choice.Server.VM().Domain != "z2" {
		t.Errorf("chosen in %s", choice.Server.VM().Domain)
	}
}

// The other domain's reports stop, as when it is cut off: nothing flows there.
func TestSilentDomainGetsNoFlow(t *testing.T) {
	pool := overloadedPool(t, &configuration.Spillover{})
	now := reportDemands(pool, start)
	for end := now.Add(demandLifetime + time.Second); now.Before(end); {
		now = now.Add(spilloverPeriod)
		pool.SetReportedDemand(now, Source{Daemon: "d2"}, 4.5*perTestEngine)
		pool.SetReportedDemand(now, Source{Domain: "z3"}, 0)
		pool.UpdateSpillover(now, perTestEngine)
	}
	if pool.Flows()["z2"] > 0 {
		t.Errorf("flows %v", pool.Flows())
	}
}

// A call that may not run in the other domain stays, whatever flows there.
func TestFlowsGiveWayToAllowedRegions(t *testing.T) {
	pool := overloadedPool(t, &configuration.Spillover{})
	vms := pool.VMs()
	for i := range vms {
		if vms[i].Domain == "z2" {
			vms[i].Region = "r2"
		}
	}
	pool.SetServers(vms)
	now := reportDemands(pool, start)
	if len(pool.Flows()) == 0 {
		t.Fatal("nothing flows")
	}
	for i := range 500 {
		work := shortWork(i)
		work.SetRegions(boundTo("r1"))
		if choice, _ := pool.Choose(now, work, AdmissionTerms{}); choice.Server.VM().Region != "r1" || work.LeavesFor("z2") || work.LeavesFor("z3") {
			t.Fatalf("call %d runs in %s", i, choice.Server.VM().Region)
		}
	}
}
