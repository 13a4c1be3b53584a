package serverlist

import (
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

// at returns a version in an era.
func at(era, revision uint64) ports.StoreVersion {
	return ports.StoreVersion{Era: era, Revision: revision}
}

func newServer(name ports.VMName, startedMillis int64) Change {
	return Change{Name: name, VM: &ports.VM{Name: name, StartedMillis: startedMillis}}
}

func newLeavingServer(name ports.VMName, startedMillis int64) Change {
	change := newServer(name, startedMillis)
	change.VM.Leaving = true
	return change
}

// newTableInEra returns a table at revision 100 of era 1.
func newTableInEra(entries ...Change) *Table {
	t := NewTable()
	t.Replace(start, at(1, 100), entries)
	return t
}

// servers returns the servers of a table by their names, with a "-" after the names of
// leaving ones.
func serverNames(t *Table, now time.Time) []string {
	names := []string{}
	for _, vm := range t.Servers(now) {
		name := string(vm.Name)
		if vm.Leaving {
			name += "-"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func expectServers(t *testing.T, table *Table, now time.Time, want ...string) {
	t.Helper()
	if got := serverNames(table, now); !slices.Equal(got, want) {
		t.Errorf("servers %v, want %v", got, want)
	}
}

// The store comes back from a copy: its revisions are lower than before.
func TestListOfRestoredStoreIsApplied(t *testing.T) {
	for name, apply := range map[string]func(*Table){
		"from the store": func(table *Table) { table.Replace(start, at(2, 40), []Change{newEntry("a"), newEntry("c")}) },
		"from another daemon": func(table *Table) {
			table.Adopt(start, ports.ServerListPush{Era: 2, Version: 40, Servers: []ports.VM{{Name: "a"}, {Name: "c"}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTableInEra(newEntry("a"), newEntry("b"))
			apply(table)
			if version, _ := table.Version(); version != at(2, 40) {
				t.Errorf("version %+v", version)
			}
			expectServers(t, table, start.Add(time.Minute), "a", "c")
			table.Apply(start, at(2, 41), []Change{newEntry("d")})
			expectServers(t, table, start.Add(time.Minute), "a", "c", "d")
		})
	}
}

// A daemon that knows the old history must not overrule one that has read the new one.
func TestListsOfEarlierErasAreIgnored(t *testing.T) {
	table := NewTable()
	table.Replace(start, at(2, 40), []Change{newEntry("a")})
	table.Replace(start, at(1, 100), []Change{newEntry("b")})
	table.Apply(start, at(1, 101), []Change{newEntry("c")})
	table.Adopt(start, ports.ServerListPush{Era: 1, Version: 102, Servers: []ports.VM{{Name: "d"}}})
	expectServers(t, table, start, "a")
}

// Changes of another era don't continue the list, even if their revision is higher.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	table := newTableInEra(newEntry("a"))
	table.Apply(start, at(2, 101), []Change{newEntry("b")})
	expectServers(t, table, start, "a")
	if version, _ := table.Version(); version != at(1, 100) {
		t.Errorf("version %+v", version)
	}
}

// A server registered after the copy was made. It writes its entry again soon.
func TestServerMissingFromCopyMayReturn(t *testing.T) {
	table := newTableInEra(newEntry("a"), newEntry("b"))
	table.Replace(start, at(2, 40), []Change{newEntry("a")})
	expectServers(t, table, start.Add(ReregistrationGrace-1), "a", "b")
	table.Apply(start.Add(time.Second), at(2, 41), []Change{newEntry("b")})
	expectServers(t, table, start.Add(time.Minute), "a", "b")
}

// The copy lists servers as they were before they left, which the daemon has read.
func TestCopyDoesNotBringBackServersThatLeft(t *testing.T) {
	copied := []Change{newServer("drained", 7), newServer("removed", 7), newServer("restarted", 6), newServer("stays", 7)}
	newTable := func() *Table {
		table := newTableInEra(newServer("drained", 7), newServer("removed", 7), newServer("restarted", 7), newServer("stays", 7))
		table.Apply(start, at(1, 101), []Change{newLeavingServer("drained", 7), {Name: "removed", Removed: true}})
		return table
	}
	t.Run("until the entry is written again", func(t *testing.T) {
		table := newTable()
		table.Replace(start, at(2, 40), copied)
		expectServers(t, table, start, "drained-", "restarted", "stays")
		for _, vm := range table.Servers(start) {
			if vm.StartedMillis != 7 {
				t.Errorf("%s is used as started at %d, which is over", vm.Name, vm.StartedMillis)
			}
		}
		table.Apply(start, at(2, 44), []Change{newServer("drained", 8), newServer("removed", 8)})
		expectServers(t, table, start, "drained", "removed", "restarted", "stays")
	})
	t.Run("in two copies in a row", func(t *testing.T) {
		table := newTable()
		table.Replace(start, at(2, 40), copied)
		table.Replace(start.Add(OutdatedHold/2), at(3, 30), copied)
		expectServers(t, table, start.Add(OutdatedHold+1), "drained-", "restarted", "stays")
	})
	t.Run("at a daemon that adopts the list", func(t *testing.T) {
		table := newTable()
		table.Replace(start, at(2, 40), copied)
		adopting := NewTable()
		adopting.Adopt(start, table.Snapshot(start))
		expectServers(t, adopting, start, "drained-", "restarted", "stays")
		knowing := newTable()
		knowing.Adopt(start, ports.ServerListPush{Era: 2, Version: 40, Servers: []ports.VM{*copied[0].VM, *copied[1].VM, *copied[2].VM}})
		expectServers(t, knowing, start, "drained-", "restarted", "stays")
	})
	t.Run("for a bounded time", func(t *testing.T) {
		table := newTable()
		table.Replace(start, at(2, 40), copied)
		table.Replace(start, at(2, 41), copied)
		expectServers(t, table, start.Add(OutdatedHold), "drained", "removed", "restarted", "stays")
	})
}

// Without eras, a list of an older revision stays ignored, and a server that was removed
// and is listed again is used at once.
func TestServerListedAgainInSameEraIsUsedAtOnce(t *testing.T) {
	table := newTestTable("a", "b")
	table.Apply(start, ports.StoreVersion{Revision: 11}, []Change{{Name: "b", Removed: true}})
	table.Replace(start, ports.StoreVersion{Revision: 12}, []Change{newEntry("a"), newEntry("b")})
	expectServers(t, table, start, "a", "b")
}
