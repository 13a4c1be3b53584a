package serverlist

import (
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

var start = time.Unix(1000, 0)

func entry(name ports.VMName) Change {
	return Change{Name: name, VM: &ports.VM{Name: name}}
}

func tableOf(names ...ports.VMName) *Table {
	t := NewTable()
	var entries []Change
	for _, name := range names {
		entries = append(entries, entry(name))
	}
	t.Replace(start, 10, entries)
	return t
}

// Entries lapse while the platform is away: what lives is back soon after.
func TestEntryThatLapsedDuringAnOutageMayReturn(t *testing.T) {
	table := tableOf("a", "b")
	table.PlatformAnswers(start, false)
	table.PlatformAnswers(start.Add(5*time.Second), true)
	table.Replace(start.Add(5*time.Second), 20, []Change{entry("a")})
	soon := start.Add(6 * time.Second)
	if got := len(table.Servers(soon)); got != 2 {
		t.Fatalf("%d servers just after the outage, want 2", got)
	}
	table.Apply(soon, 21, []Change{entry("b")})
	if got := len(table.Servers(start.Add(time.Minute))); got != 2 {
		t.Errorf("%d servers after the entry is back, want 2", got)
	}
}

func TestEntryThatStaysAwayAfterAnOutageIsGone(t *testing.T) {
	table := tableOf("a", "b")
	table.PlatformAnswers(start, false)
	table.PlatformAnswers(start, true)
	table.Replace(start, 20, []Change{entry("a")})
	if got := len(table.Servers(start.Add(LapseGrace))); got != 1 {
		t.Errorf("%d servers after the grace, want 1", got)
	}
}

func TestEntryRemovedInCalmIsGoneAtOnce(t *testing.T) {
	table := tableOf("a", "b")
	table.Apply(start, 11, []Change{{Name: "b", Removed: true}})
	if got := len(table.Servers(start)); got != 1 {
		t.Errorf("%d servers, want 1", got)
	}
}

func TestEntryThatNamesNoServerAnyMoreIsGone(t *testing.T) {
	table := tableOf("a", "b")
	table.Apply(start, 11, []Change{{Name: "b"}})
	if got := len(table.Servers(start)); got != 1 {
		t.Errorf("%d servers, want 1", got)
	}
}

// A list that another daemon brought is not undone by an older answer.
func TestOlderAnswersChangeNothing(t *testing.T) {
	table := tableOf("a")
	table.Adopt(start, ports.ServerListPush{Version: 30, Servers: []ports.VM{{Name: "a"}, {Name: "c"}}})
	table.Replace(start, 20, []Change{entry("a")})
	table.Apply(start, 25, []Change{{Name: "c", Removed: true}})
	table.Adopt(start, ports.ServerListPush{Version: 29})
	if got := len(table.Servers(start)); got != 2 {
		t.Errorf("%d servers, want 2", got)
	}
	if version, _ := table.Version(); version != 30 {
		t.Errorf("version %d, want 30", version)
	}
}

// Load pattern: around an outage one daemon still waits for an entry that its
// server removed for good, and tells its list to the others.
func TestLapsedEntryEndsAtThoseThatWereToldToo(t *testing.T) {
	follower := tableOf("a", "b")
	follower.PlatformAnswers(start, false)
	follower.PlatformAnswers(start, true)
	follower.Replace(start, 20, []Change{entry("a")})
	told := NewTable()
	told.Adopt(start.Add(time.Second), follower.Snapshot(start.Add(time.Second)))
	if got := len(told.Servers(start.Add(LapseGrace - time.Millisecond))); got != 2 {
		t.Errorf("%d servers while the entry may return, want 2", got)
	}
	if got := len(told.Servers(start.Add(LapseGrace + time.Millisecond))); got != 1 {
		t.Errorf("%d servers after that, want 1", got)
	}
}
