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
	t.replaceOutdated(now)
	known := make(map[ports.VMName]knownServer, len(t.servers)+len(t.gone))
	for name, server := range t.gone {
		known[name] = knownServer{startedMillis: server.startedMillis}
	}
	for name, vm := range t.servers {
		known[name] = knownServer{vm: &vm, startedMillis: vm.StartedMillis}
	}
	// The copy may lack entries that were written after it.
	t.platformBackAt = now
	return known
}

// replaceOutdated replaces the outdated entries by what is known of their servers.
func (t *Table) replaceOutdated(now time.Time) {
	for name := range t.outdated {
		if vm, usable := t.current(name); usable {
			t.servers[name] = vm
		} else {
			t.drop(now, name)
		}
	}
	clear(t.outdated)
}

// applyListed applies an entry of a whole list. known is set if the list begins a new
// era.
func (t *Table) applyListed(now time.Time, entry Change, known map[ports.VMName]knownServer) {
	previous, wasListed := t.servers[entry.Name]
	unchanged := wasListed && entry.VM != nil && isSameEntry(previous, *entry.VM)
	_, isOutdated := t.outdated[entry.Name]
	before, wasKnown := known[entry.Name]
	switch {
	case known == nil && unchanged && isOutdated:
		// The entry is still that of the copy.
		t.setEntry(entry)
	case wasKnown && entry.VM != nil && before.supersedes(*entry.VM):
		t.setEntry(entry)
		t.outdated[entry.Name] = outdatedEntry{known: before.vm, until: now.Add(OutdatedHold)}
	default:
		t.applyChange(now, entry)
	}
}

// isSameEntry compares two entries of a server. An entry that is read again gives another
// end of the warm-up, since that follows from the time of the reading.
func isSameEntry(a, b ports.VM) bool {
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
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
// knows itself takes precedence until its time is over.
func (t *Table) adoptOutdated(now time.Time, servers []ports.OutdatedServer) {
	for name, entry := range t.outdated {
		if !now.Before(entry.until) {
			delete(t.outdated, name)
			delete(t.gone, name)
		}
	}
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

// latest returns what is known best of a server that another daemon keeps without an
// entry in the store, and whether it is gone: this daemon may have read more of it.
func (t *Table) latest(vm ports.VM) (_ ports.VM, isGone bool) {
	if gone, remembered := t.gone[vm.Name]; remembered && gone.startedMillis >= vm.StartedMillis {
		return vm, true
	}
	if _, listed := t.servers[vm.Name]; !listed {
		return vm, false
	}
	own, usable := t.current(vm.Name)
	if usable && (knownServer{vm: &own, startedMillis: own.StartedMillis}).supersedes(vm) {
		return own, false
	}
	return vm, !usable
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
	vm, usable := t.current(name)
	if usable {
		t.gone[name] = goneServer{startedMillis: vm.StartedMillis, at: now}
	} else if _, remembered := t.gone[name]; !remembered {
		t.gone[name] = goneServer{startedMillis: t.servers[name].StartedMillis, at: now}
	}
}

// expireHistory forgets outdated entries and removed servers after their time. While
// the platform doesn't answer, an outdated entry stays: its removal may be unread.
func (t *Table) expireHistory(now time.Time) {
	for name, entry := range t.outdated {
		if !t.platformDown && !now.Before(entry.until) {
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
