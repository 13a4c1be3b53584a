package evacuation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

var start = time.Unix(1000, 0)

func at(era, revision uint64) ports.StoreVersion {
	return ports.StoreVersion{Era: era, Revision: revision}
}

func expectInForce(t *testing.T, table *Table, now time.Time, want ...ports.FailureDomain) {
	t.Helper()
	if got := slices.Sorted(maps.Keys(table.InForce(now))); !slices.Equal(got, want) {
		t.Errorf("evacuated %v, want %v", got, want)
	}
}

func newTestTable(domains ...ports.FailureDomain) *Table {
	table := NewTable()
	table.Replace(start, at(1, 100), domains)
	return table
}

// Two domains are evacuated at once; one is taken back and put again within a second. The
// changes come in one answer, or from other daemons late and in another order.
func TestEvacuationTakenBackAndPutAgain(t *testing.T) {
	table := newTestTable()
	table.Apply(start, at(1, 102), []Change{{Domain: "a"}, {Domain: "b"}})
	early := table.Snapshot(start)
	table.Apply(start.Add(time.Second), at(1, 104), []Change{{Domain: "a", Removed: true}, {Domain: "a"}})
	expectInForce(t, table, start.Add(time.Second), "a", "b")
	if since := table.InForce(start)["a"]; !since.Equal(start.Add(time.Second)) {
		t.Errorf("the second evacuation is known since %v", since)
	}
	late := table.Snapshot(start.Add(time.Second))
	table.Apply(start.Add(2*time.Second), at(1, 105), []Change{{Domain: "a", Removed: true}})
	follower := NewTable()
	for _, list := range []ports.EvacuationPush{late, early, table.Snapshot(start.Add(2 * time.Second)), late} {
		follower.Adopt(start.Add(2*time.Second), list)
	}
	expectInForce(t, follower, start.Add(2*time.Second), "b")
	if since := follower.InForce(start)["b"]; !since.Equal(start) {
		t.Errorf("the follower has the evacuation since %v", since)
	}
}

// A list that was read before, by this daemon or another one, changes nothing.
func TestOlderListsAreIgnored(t *testing.T) {
	table := newTestTable("a")
	table.Apply(start, at(1, 110), []Change{{Domain: "b"}})
	table.Replace(start, at(1, 105), []ports.FailureDomain{"a"})
	table.Apply(start, at(1, 109), []Change{{Domain: "b", Removed: true}})
	table.Apply(start, at(2, 120), []Change{{Domain: "a", Removed: true}})
	table.Adopt(start, ports.EvacuationPush{Era: 1, Version: 110})
	table.Adopt(start, ports.EvacuationPush{Version: 500})
	expectInForce(t, table, start, "a", "b")
	table.Replace(start, at(1, 120), []ports.FailureDomain{"b"})
	expectInForce(t, table, start, "b")
}

// The store comes back from a copy that lacks an evacuation and has one that was taken
// back. What was known holds until the entry is written again or the time is over, also
// at a daemon that hears of it from another.
func TestRestoredStoreDoesNotUndoWhatWasKnown(t *testing.T) {
	restored := func() *Table {
		table := newTestTable("ended", "kept")
		table.Apply(start, at(1, 102), []Change{{Domain: "ended", Removed: true}, {Domain: "new"}})
		table.Replace(start, at(2, 40), []ports.FailureDomain{"ended", "kept"})
		return table
	}
	table := restored()
	expectInForce(t, table, start, "kept", "new")
	expectInForce(t, table, start.Add(RestoreHold-1), "kept", "new")
	expectInForce(t, table, start.Add(RestoreHold), "ended", "kept")

	written := restored()
	written.Apply(start, at(2, 42), []Change{{Domain: "ended"}, {Domain: "new"}, {Domain: "new", Removed: true}})
	expectInForce(t, written, start, "ended", "kept")

	follower := NewTable()
	follower.Adopt(start, restored().Snapshot(start.Add(time.Second)))
	expectInForce(t, follower, start, "kept", "new")
	expectInForce(t, follower, start.Add(RestoreHold), "ended", "kept")

	knowing := newTestTable("kept", "new")
	knowing.Adopt(start, ports.EvacuationPush{Era: 2, Version: 40, Domains: []ports.EvacuatedDomain{{Domain: "kept"}}})
	expectInForce(t, knowing, start, "kept", "new")

	again := restored()
	again.Replace(start.Add(time.Second), at(3, 30), []ports.FailureDomain{"kept"})
	expectInForce(t, again, start.Add(time.Second), "kept", "new")
}

// Whatever the order in which daemons read the store and hear from each other, none goes
// back behind a change that it knows, and in the end all agree with the store.
func TestDaemonsConvergeOnTheStore(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 2))
	domains := []ports.FailureDomain{"a", "b", "c"}
	for range 300 {
		stored, revision := map[ports.FailureDomain]bool{}, uint64(1)
		tables := []*Table{newTable(at(1, 1)), newTable(at(1, 1)), newTable(at(1, 1))}
		list := func() []ports.FailureDomain { return slices.Collect(maps.Keys(stored)) }
		now := start
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			domain := domains[random.IntN(len(domains))]
			if stored[domain] {
				delete(stored, domain)
			} else {
				stored[domain] = true
			}
			revision++
			reader, other := tables[random.IntN(3)], tables[random.IntN(3)]
			before := other.Version()
			if random.IntN(2) == 0 {
				reader.Replace(now, at(1, revision), list())
			}
			other.Adopt(now, reader.Snapshot(now))
			if before.IsNewerThan(other.Version()) {
				t.Fatalf("a daemon went from %v back to %v", before, other.Version())
			}
		}
		tables[0].Replace(now, at(1, revision+1), list())
		for _, table := range tables {
			table.Adopt(now, tables[0].Snapshot(now))
			expectInForce(t, table, now, slices.Sorted(maps.Keys(stored))...)
		}
	}
}

func newTable(version ports.StoreVersion) *Table {
	table := NewTable()
	table.Replace(start, version, nil)
	return table
}
