package dispatch

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// chosenServers returns the names of the servers that get calls until none accepts one.
func chosenServers(pool *Pool, now time.Time) map[ports.VMName]bool {
	chosen := make(map[ports.VMName]bool)
	work := &Work{ForEngine: true, UniqueTokens: 100, FirstTokenWithin: time.Second}
	for {
		choice, admitted := pool.Choose(now, work, AdmissionTerms{AlwaysAdmit: true})
		if !admitted {
			return chosen
		}
		chosen[choice.Server.VM().Name] = true
		work.FailedServers = append(work.FailedServers, choice.Server.VM().Name)
	}
}

// Around an outage of the platform a leaving server's entry vanishes and comes back, and
// the configuration moves it to another service. It stays excluded until it restarts.
func TestLeavingNoticeOutlivesListEntryAndService(t *testing.T) {
	vms := engineVMs(1, 64)
	pool, notices := newEnginePool(1, 64), NewNotices()
	leaving := vms[0]
	if !notices.RecordLeaving(start, leaving) || notices.RecordLeaving(start.Add(time.Second), leaving) {
		t.Error("not exactly the first answer is reported as new")
	}
	pool.ApplyNotices(notices)
	expectChosen := func(pool *Pool, when string, want bool) {
		t.Helper()
		if chosen := chosenServers(pool, start.Add(time.Minute)); chosen[leaving.Name] != want || len(chosen) < 2 {
			t.Errorf("%s: calls go to %v", when, chosen)
		}
	}
	expectChosen(pool, "after the answer", false)
	pool.SetServers(vms)
	expectChosen(pool, "after the next list", false)
	pool.SetServers(vms[1:])
	pool.SetServers(vms)
	pool.ApplyNotices(notices)
	expectChosen(pool, "after its entry came back", false)
	other := newEnginePool(1, 64)
	other.ApplyNotices(notices)
	expectChosen(other, "in another service", false)
	vms[0].StartedMillis = 7
	pool.SetServers(vms)
	pool.ApplyNotices(notices)
	expectChosen(pool, "after its restart", true)
}

// Servers come and go for days. What they said is not kept for longer than any of them
// can come back to the list.
func TestNoticesOfGoneServersAreForgotten(t *testing.T) {
	notices := NewNotices()
	for i := range 1000 {
		notices.RecordLeaving(start, ports.VM{Name: "e", StartedMillis: int64(i)})
	}
	notices.RecordLeaving(start.Add(noticeLifetime), ports.VM{Name: "e", StartedMillis: 5000})
	if len(notices.byInstance) != 1 {
		t.Errorf("%d notices are remembered", len(notices.byInstance))
	}
}

// All servers of a service leave at once. Its calls must not wait for room that can't
// come, while those of a pool with one staying server may.
func TestPoolOfLeavingServersCannotServe(t *testing.T) {
	vms := engineVMs(1, 64)
	pool, notices := newEnginePool(1, 64), NewNotices()
	work := &Work{ForEngine: true, FirstTokenWithin: time.Second}
	for _, vm := range vms {
		if !pool.CanServe(work) || pool.AllLeaving() {
			t.Fatalf("no server is left before %s leaves", vm.Name)
		}
		notices.RecordLeaving(start, vm)
		pool.ApplyNotices(notices)
	}
	if pool.CanServe(work) || !pool.AllLeaving() {
		t.Error("a pool of leaving servers can serve calls")
	}
}

// A server that takes the long prompts of its failure domain leaves. Another one takes
// them at once, or they would meet the streams of the others.
func TestLongPromptsMoveWhenTheirServerLeaves(t *testing.T) {
	pool, notices := newEnginePool(minServersToSeparate, 64), NewNotices()
	work := &Work{
		ForEngine: true, UniqueTokens: 100_000, OutputTokens: 100, FirstTokenWithin: time.Second, PauseWithin: 100 * time.Millisecond,
	}
	for range assignmentInterval {
		pool.observeLongPrompt(work)
	}
	assigned := func() (inDomain []*Server) {
		for _, server := range pool.Servers() {
			if server.takesLongPrompts && server.vm.Domain == localVM.Domain {
				inDomain = append(inDomain, server)
			}
		}
		return inDomain
	}
	before := assigned()
	if len(before) == 0 {
		t.Fatal("no server takes long prompts")
	}
	for _, server := range before {
		notices.RecordLeaving(start, server.VM())
	}
	pool.ApplyNotices(notices)
	for _, server := range assigned() {
		if server.saidLeaving {
			t.Errorf("%s takes long prompts although it is leaving", server.vm.Name)
		}
	}
}
