package sharing

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

func TestOneDaemonGrantsItsOwnSlots(t *testing.T) {
	f := newFleet(t, 1, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	first := f.acquire(0, "a")
	second := f.acquire(0, "a")
	first.Release(ports.RunReport{Cost: 10, FirstByteAfter: time.Millisecond})
	third := f.acquire(0, "b")
	if first.Server().Name != "s-0" || third.Server().Name != "s-0" {
		t.Errorf("slots are on %v and %v, want both on s-0", first.Server(), third.Server())
	}
	second.Release(ports.RunReport{Cost: 1})
	third.Release(ports.RunReport{Cost: 1})
}

func TestCallsOfEveryDaemonShareOneShard(t *testing.T) {
	const daemons, calls = 3, 40
	f := newFleet(t, daemons, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 2)})
	var inUse, maxInUse int
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range daemons * calls {
		done.Go(func() {
			slot := f.acquire(i%daemons, "a")
			mu.Lock()
			inUse++
			maxInUse = max(maxInUse, inUse)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			mu.Lock()
			inUse--
			mu.Unlock()
			slot.Release(ports.RunReport{Cost: 5, FirstByteAfter: time.Millisecond})
		})
	}
	done.Wait()
	if maxInUse > 4 || maxInUse < 2 {
		t.Errorf("%d slots in use at once, want 2 to 4", maxInUse)
	}
	f.waitFor("all slots to become free", func() bool { return f.slotsInUse() == 0 })
}

func TestCallWithoutSlotIsRefusedAtItsDeadline(t *testing.T) {
	f := newFleet(t, 1, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 0)})
	_, err := f.nodes["daemon-0"].manager.Acquire(context.Background(), newCall("a", 50*time.Millisecond))
	wantRefusal(t, err, outcome.ReasonDeadlineExceeded)
}

func TestContentionIsCounted(t *testing.T) {
	backlogs := []admission.Backlog{{Workspace: "a", Count: 2}, {Workspace: "b", Count: 5}, {Workspace: "c", Count: 1}}
	if callsAhead, contendingWorkspaces := contention(backlogs, "a"); callsAhead != 2 || contendingWorkspaces != 2 {
		t.Errorf("callsAhead is %d and contendingWorkspaces %d, want 2 and 2", callsAhead, contendingWorkspaces)
	}
	if callsAhead, contendingWorkspaces := contention(backlogs, "d"); callsAhead != 0 || contendingWorkspaces != 3 {
		t.Errorf("callsAhead is %d and contendingWorkspaces %d, want 0 and 3", callsAhead, contendingWorkspaces)
	}
}

func TestSlotOriginNamesGranter(t *testing.T) {
	f := newFleet(t, 2, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	slot := f.acquire(1, "a")
	defer slot.Release(ports.RunReport{Cost: 1})
	if details := slot.GrantDetails(); details.Granter != "daemon-0" || details.Waited <= 0 {
		t.Errorf("grant details are %+v, want granter daemon-0 and a wait above zero", details)
	}
}

func TestCallerThatHangsUpLeavesTheQueue(t *testing.T) {
	f := newFleet(t, 1, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 0)})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.nodes["daemon-0"].manager.Acquire(ctx, newCall("a", hangTimeout))
	wantRefusal(t, err, outcome.ReasonCallerGone)
	m := f.nodes["daemon-0"].manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if queued := m.queue.Len(); queued != 0 {
		t.Errorf("%d calls are queued, want none", queued)
	}
}

func TestSlotsStayCountedWhenTheirOwnerChanges(t *testing.T) {
	f := newFleet(t, 3, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	first, second := f.acquire(1, "a"), f.acquire(2, "b")
	f.moveShard(0, "daemon-2")
	f.waitFor("the new owner to know of both slots", func() bool { return f.slotsInUse() == 2 })
	first.Release(ports.RunReport{Cost: 1})
	second.Release(ports.RunReport{Cost: 1})
	f.waitFor("both slots to become free", func() bool { return f.slotsInUse() == 0 })
	f.acquire(1, "a").Release(ports.RunReport{Cost: 1})
}

func TestSlotsOfIsolatedEntryAreFreedAfterReconnect(t *testing.T) {
	f := newFleet(t, 2, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	slot := f.acquire(1, "a")
	f.setIsolated("daemon-1", true)
	slot.Release(ports.RunReport{Cost: 1})
	f.setIsolated("daemon-1", false)
	f.waitFor("the slot to become free", func() bool { return f.slotsInUse() == 0 })
}

func wantRefusal(t *testing.T, err error, reason outcome.Reason) {
	t.Helper()
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != reason || refusal.End != outcome.NotRun {
		t.Errorf("Acquire ended with %v, want a refusal with reason %s", err, reason)
	}
}

// slotsInUse returns the number of slots in use at all owners.
func (f *fleet) slotsInUse() int {
	inUse := 0
	for _, n := range f.nodes {
		for _, service := range n.manager.Services() {
			for _, shard := range service.Owned {
				for _, server := range shard.Servers {
					inUse += server.InUse
				}
			}
		}
	}
	return inUse
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(hangTimeout)
	for !condition() {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestGrantOfUnknownServerIsReturnedAndRepeatedWithAddress(t *testing.T) {
	f := newFleet(t, 2, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	f.acquire(1, "a").Release(ports.RunReport{Cost: 1})
	entry := f.nodes["daemon-1"].manager
	entry.mu.Lock()
	clear(entry.entryServices[testService].servers)
	entry.mu.Unlock()
	slot := f.acquire(1, "a")
	if slot.Server().Address == "" {
		t.Error("the slot's server has no address")
	}
	slot.Release(ports.RunReport{Cost: 1})
}

func TestOnlyDefaultClassIsOmittedOnTheWire(t *testing.T) {
	f := newFleet(t, 1, nil)
	m := f.nodes["daemon-0"].manager
	m.mu.Lock()
	defer m.mu.Unlock()
	m.document = &configuration.Document{Services: map[ports.ServiceName]configuration.Service{
		testService: {DefaultClass: "usual"},
	}}
	if sent := m.omitDefaultClass(testService, "usual"); sent != "" {
		t.Errorf("the default class is sent as %q, want it omitted", sent)
	}
	for _, class := range []ports.ClassName{"usual", "other"} {
		if got := m.restoreDefaultClass(testService, m.omitDefaultClass(testService, class)); got != class {
			t.Errorf("class %s is received as %s", class, got)
		}
	}
}

func TestServersOfEvacuatedDomainsCountAsLeaving(t *testing.T) {
	shard := newShard("s", "daemon-0", "", 2)
	shard.Servers[0].Domain, shard.Servers[1].Domain = "z1", "z2"
	shards := []ports.ShardView{shard}
	marked := withEvacuatedLeaving(shards, []ports.FailureDomain{"z2"})
	if marked[0].Servers[0].Leaving || !marked[0].Servers[1].Leaving {
		t.Errorf("the servers are %+v", marked[0].Servers)
	}
	if shards[0].Servers[1].Leaving {
		t.Error("the directory's list was modified")
	}
}

// Shard owners grant slots in any region: a workspace that is bound to some gets none.
func TestWorkspaceBoundToRegionsGetsNoSharedSlots(t *testing.T) {
	f := newFleet(t, 1, []ports.ShardView{newShard("s", "daemon-0", "daemon-0", 1)})
	m := f.nodes["daemon-0"].manager
	m.mu.Lock()
	m.document = &configuration.Document{Workspaces: map[ports.WorkspaceID]configuration.Workspace{
		"bound": {AllowedRegions: []ports.Region{"r1"}},
	}}
	m.mu.Unlock()
	_, refused := m.enqueue(time.Now(), &ports.Call{Service: testService, Workspace: "bound", Deadline: time.Now().Add(time.Minute)})
	if refused == nil || refused.Reason != outcome.ReasonNoAllowedRegion || refused.End != outcome.NotRun {
		t.Errorf("got %+v", refused)
	}
	f.acquire(0, "free").Release(ports.RunReport{Cost: 1})
}
