package serverlist

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// OutdatedHold is how long what was known of a server before the store was
	// restored holds against an entry of the copy. By then the store has removed
	// the entries of servers that stopped writing to it, which takes three
	// heartbeats.
	OutdatedHold = 6 * time.Second
	// goneMemory is how long a removed server is remembered. The copy from which
	// the store is restored is some seconds old.
	goneMemory = time.Minute
)

// outdatedEntry is what is known of a server whose entry in the store is older.
type outdatedEntry struct {
	// known is nil if the server is gone.
	known *ports.VM
	until time.Time
}

// goneServer is a server that was removed.
type goneServer struct {
	startedMillis int64
	at            time.Time
}

// knownServer is what the table knew of a server when an era ended.
type knownServer struct {
	// vm is nil if the server is gone.
	vm            *ports.VM
	startedMillis int64
}

// advance sets the version of the table before a whole list is applied. If the list
// begins a new era, advance returns what the table knew of each server before, and
// nil otherwise.
func (t *Table) advance(now time.Time, version ports.StoreVersion) map[ports.VMName]knownServer {
	t.expire(now)
	previous := t.version
	t.version = version
	if previous.Era == version.Era || previous == (ports.StoreVersion{}) {
		return nil
	}
	known := make(map[ports.VMName]knownServer, len(t.servers)+len(t.gone))
	for name, server := range t.gone {
		known[name] = knownServer{startedMillis: server.startedMillis}
	}
	for name := range t.servers {
		if vm, usable := t.current(name); usable {
			known[name] = knownServer{vm: &vm, startedMillis: vm.StartedMillis}
		}
	}
	clear(t.outdated)
	// The copy may lack entries that were written after it.
	t.platformBackAt = now
	return known
}

// applyListed applies an entry of a whole list. known is set if the list begins a new
// era.
func (t *Table) applyListed(now time.Time, entry Change, known map[ports.VMName]knownServer) {
	previous, wasListed := t.servers[entry.Name]
	gone, wasGone := t.gone[entry.Name]
	t.applyChange(now, entry)
	if known == nil {
		if entry.VM == nil || !wasListed || previous != *entry.VM {
			// The server has written its entry again.
			delete(t.outdated, entry.Name)
		}
		return
	}
	before, ok := known[entry.Name]
	if !ok || entry.VM == nil || !before.supersedes(*entry.VM) {
		return
	}
	t.outdated[entry.Name] = outdatedEntry{known: before.vm, until: now.Add(OutdatedHold)}
	if wasGone {
		t.gone[entry.Name] = gone
	}
}

// supersedes reports whether what was known of a server is later than its entry in an
// older copy of the store: a later start of it, that it is leaving, or that it is
// gone.
func (k knownServer) supersedes(entry ports.VM) bool {
	if k.startedMillis != entry.StartedMillis {
		return k.startedMillis > entry.StartedMillis
	}
	return k.vm == nil || k.vm.Leaving && !entry.Leaving
}

// adoptOutdated adds what another daemon knows of outdated entries. What this daemon
// knows itself takes precedence.
func (t *Table) adoptOutdated(now time.Time, servers []ports.OutdatedServer) {
	for _, server := range servers {
		if _, listed := t.servers[server.Name]; !listed {
			continue
		}
		if _, known := t.outdated[server.Name]; known {
			continue
		}
		hold := min(time.Duration(server.HoldMillis)*time.Millisecond, OutdatedHold)
		t.outdated[server.Name] = outdatedEntry{known: server.Known, until: now.Add(hold)}
	}
}

// current returns a listed server as it is known best, and false if it is gone.
func (t *Table) current(name ports.VMName) (ports.VM, bool) {
	entry, outdated := t.outdated[name]
	switch {
	case !outdated:
		return t.servers[name], true
	case entry.known == nil:
		return ports.VM{}, false
	default:
		return *entry.known, true
	}
}

// recordGone remembers a server that is about to be removed.
func (t *Table) recordGone(now time.Time, name ports.VMName) {
	if vm, usable := t.current(name); usable {
		t.gone[name] = goneServer{startedMillis: vm.StartedMillis, at: now}
	}
}

// expireHistory forgets outdated entries and removed servers after their time.
func (t *Table) expireHistory(now time.Time) {
	for name, entry := range t.outdated {
		if !now.Before(entry.until) {
			// The store still lists the server, so it writes its entry.
			delete(t.outdated, name)
			delete(t.gone, name)
		}
	}
	for name, server := range t.gone {
		if now.Sub(server.at) >= goneMemory {
			delete(t.gone, name)
		}
	}
}
