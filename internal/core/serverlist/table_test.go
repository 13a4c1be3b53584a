package serverlist

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

var start = time.Unix(1000, 0)

func newEntry(name ports.VMName) Change {
	return Change{Name: name, VM: &ports.VM{Name: name}}
}

func newTestTable(names ...ports.VMName) *Table {
	t := NewTable()
	var entries []Change
	for _, name := range names {
		entries = append(entries, newEntry(name))
	}
	t.Replace(start, ports.StoreVersion{Revision: 10}, entries)
	return t
}

// Entries lapse during a platform outage: servers that are alive write them
// again soon after.
func TestEntryLapsedDuringOutageMayReturn(t *testing.T) {
	table := newTestTable("a", "b")
	table.SetPlatformAvailable(start, false)
	table.SetPlatformAvailable(start.Add(5*time.Second), true)
	table.Replace(start.Add(5*time.Second), ports.StoreVersion{Revision: 20}, []Change{newEntry("a")})
	soon := start.Add(6 * time.Second)
	if got := len(table.Servers(soon)); got != 2 {
		t.Fatalf("%d servers just after the outage, want 2", got)
	}
	table.Apply(soon, ports.StoreVersion{Revision: 21}, []Change{newEntry("b")})
	if got := len(table.Servers(start.Add(time.Minute))); got != 2 {
		t.Errorf("%d servers after the entry is back, want 2", got)
	}
}

func TestLapsedEntryIsRemovedAfterGrace(t *testing.T) {
	table := newTestTable("a", "b")
	table.SetPlatformAvailable(start, false)
	table.SetPlatformAvailable(start, true)
	table.Replace(start, ports.StoreVersion{Revision: 20}, []Change{newEntry("a")})
	if got := len(table.Servers(start.Add(ReregistrationGrace))); got != 1 {
		t.Errorf("%d servers after the grace period, want 1", got)
	}
}

func TestEntryIsRemovedAtOnceWithoutOutage(t *testing.T) {
	table := newTestTable("a", "b")
	table.Apply(start, ports.StoreVersion{Revision: 11}, []Change{{Name: "b", Removed: true}})
	if got := len(table.Servers(start)); got != 1 {
		t.Errorf("%d servers, want 1", got)
	}
}

func TestEntryWithoutUsableServerIsRemoved(t *testing.T) {
	table := newTestTable("a", "b")
	table.Apply(start, ports.StoreVersion{Revision: 11}, []Change{{Name: "b"}})
	if got := len(table.Servers(start)); got != 1 {
		t.Errorf("%d servers, want 1", got)
	}
}

// A list adopted from another daemon is not undone by an older list or change.
func TestOlderListsAreIgnored(t *testing.T) {
	table := newTestTable("a")
	table.Adopt(start, ports.ServerListPush{Version: 30, Servers: []ports.VM{{Name: "a"}, {Name: "c"}}})
	table.Replace(start, ports.StoreVersion{Revision: 20}, []Change{newEntry("a")})
	table.Apply(start, ports.StoreVersion{Revision: 25}, []Change{{Name: "c", Removed: true}})
	table.Adopt(start, ports.ServerListPush{Version: 29})
	if got := len(table.Servers(start)); got != 2 {
		t.Errorf("%d servers, want 2", got)
	}
	if version, _ := table.Version(); version != (ports.StoreVersion{Revision: 30}) {
		t.Errorf("version %+v, want revision 30", version)
	}
}

// After an outage one daemon still waits for an entry that its server has
// removed for good, and sends its list to the others. The entry must expire
// there too.
func TestLapsedEntryExpiresAtAdoptingDaemons(t *testing.T) {
	watching := newTestTable("a", "b")
	watching.SetPlatformAvailable(start, false)
	watching.SetPlatformAvailable(start, true)
	watching.Replace(start, ports.StoreVersion{Revision: 20}, []Change{newEntry("a")})
	adopting := NewTable()
	adopting.Adopt(start.Add(time.Second), watching.Snapshot(start.Add(time.Second)))
	if got := len(adopting.Servers(start.Add(ReregistrationGrace - time.Millisecond))); got != 2 {
		t.Errorf("%d servers while the entry may return, want 2", got)
	}
	if got := len(adopting.Servers(start.Add(ReregistrationGrace + time.Millisecond))); got != 1 {
		t.Errorf("%d servers after that, want 1", got)
	}
}

// A list passed on tells what is left of a warm-up, and not an end by the sender's clock.
func TestRemainingWarmUpIsPassedOn(t *testing.T) {
	watching, adopting := NewTable(), NewTable()
	entry := newEntry("a")
	entry.VM.ColdUntil = start.Add(3 * time.Second)
	watching.Replace(start, ports.StoreVersion{Revision: 10}, []Change{entry, newEntry("b")})
	adoptedAt := start.Add(time.Hour)
	adopting.Adopt(adoptedAt, watching.Snapshot(start.Add(time.Second)))
	for _, vm := range adopting.Servers(adoptedAt) {
		want := time.Time{}
		if vm.Name == "a" {
			want = adoptedAt.Add(2 * time.Second)
		}
		if !vm.ColdUntil.Equal(want) {
			t.Errorf("%s is cold until %s, want %s", vm.Name, vm.ColdUntil, want)
		}
	}
	if cold := adopting.Snapshot(adoptedAt.Add(2 * time.Second)).Cold; len(cold) != 0 {
		t.Errorf("a warm server is passed on as cold: %+v", cold)
	}
}
