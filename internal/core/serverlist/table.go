// Package serverlist maintains the platform's list of backend servers from the
// platform's answers and from other daemons' lists, and keeps entries that
// lapsed during a platform outage for a grace period. It has no I/O, clock or
// lock; platform uses it.
package serverlist

import (
	"time"

	"hawthornstream/internal/ports"
)

// ReregistrationGrace is how long a backend server whose entry lapsed during a
// platform outage may take to write it again: about two seconds after the
// platform's return, plus a heartbeat's jitter.
const ReregistrationGrace = 2300 * time.Millisecond

// Change is a change of one entry, or an entry of a whole list.
type Change struct {
	Name ports.VMName
	// VM is nil when the entry is removed or names no usable server.
	VM *ports.VM
	// Removed reports that the entry is gone, not merely unusable.
	Removed bool
}

// Table is the list with its version. It is not safe for concurrent use: its
// owner calls it under a lock.
type Table struct {
	// version is the newest state of the store that the table contains.
	version ports.StoreVersion
	// servers are the servers as the store lists them.
	servers map[ports.VMName]ports.VM
	// lapsed are the entries that vanished around a platform outage, with the
	// time until which they may return.
	lapsed map[ports.VMName]time.Time
	// outdated are the entries that come from an older copy of the store.
	outdated map[ports.VMName]outdatedEntry
	// gone are the servers that were removed lately.
	gone map[ports.VMName]goneServer
	// platformDown reports that the platform did not answer last, and
	// platformBackAt is when it last became available again.
	platformDown   bool
	platformBackAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: make(map[ports.VMName]ports.VM), lapsed: make(map[ports.VMName]time.Time),
		outdated: make(map[ports.VMName]outdatedEntry), gone: make(map[ports.VMName]goneServer),
	}
}

// Replace applies a whole list. An entry with a nil VM names no usable server.
// A list that is older than the table is ignored.
func (t *Table) Replace(now time.Time, version ports.StoreVersion, entries []Change) {
	if t.version.IsNewerThan(version) {
		return
	}
	known := t.advance(now, version)
	listed := make(map[ports.VMName]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Name] = true
		t.applyListed(now, entry, known)
	}
	for name := range t.servers {
		if !listed[name] {
			t.remove(now, name)
		}
	}
}

// Apply applies single changes, unless the table is newer. The changes must be
// complete since a version of the same era that the table contains.
func (t *Table) Apply(now time.Time, version ports.StoreVersion, changes []Change) {
	if t.version.IsNewerThan(version) || t.version.Era != version.Era {
		return
	}
	t.version = version
	for _, change := range changes {
		t.applyChange(now, change)
	}
}

// applyChange applies a change that the store recorded in the table's era.
func (t *Table) applyChange(now time.Time, change Change) {
	if change.Removed {
		t.remove(now, change.Name)
		return
	}
	t.setEntry(change)
	delete(t.outdated, change.Name)
	if change.VM != nil {
		delete(t.gone, change.Name)
	}
}

// setEntry sets the entry of a server as the store lists it.
func (t *Table) setEntry(entry Change) {
	delete(t.lapsed, entry.Name)
	if entry.VM == nil {
		delete(t.servers, entry.Name)
		return
	}
	t.servers[entry.Name] = *entry.VM
}

// remove deletes a server, at once or, if its entry may have lapsed because of
// a platform outage, after ReregistrationGrace.
func (t *Table) remove(now time.Time, name ports.VMName) {
	if _, listed := t.servers[name]; !listed {
		return
	}
	vm, usable := t.current(name)
	if !usable {
		t.drop(now, name)
		return
	}
	t.servers[name] = vm
	delete(t.outdated, name)
	if until := t.platformBackAt.Add(ReregistrationGrace); now.Before(until) {
		t.lapsed[name] = until
		return
	}
	t.drop(now, name)
}

// drop deletes a server at once.
func (t *Table) drop(now time.Time, name ports.VMName) {
	t.recordGone(now, name)
	delete(t.servers, name)
	delete(t.lapsed, name)
	delete(t.outdated, name)
}

// Snapshot returns the table in the form that other daemons adopt.
func (t *Table) Snapshot(now time.Time) ports.ServerListPush {
	t.expire(now)
	list := ports.ServerListPush{Version: t.version.Revision, Era: t.version.Era}
	for _, vm := range t.servers {
		list.Servers = append(list.Servers, vm)
		if left := vm.ColdUntil.Sub(now); left > 0 {
			list.Cold = append(list.Cold, ports.ColdServer{Name: vm.Name, LeftMillis: left.Milliseconds()})
		}
	}
	for name, until := range t.lapsed {
		list.Lapsed = append(list.Lapsed, ports.LapsedServer{Name: name, GraceMillis: until.Sub(now).Milliseconds()})
	}
	for name, entry := range t.outdated {
		list.Outdated = append(list.Outdated, ports.OutdatedServer{
			Name: name, Known: entry.known, HoldMillis: entry.until.Sub(now).Milliseconds(),
		})
	}
	return list
}

// Adopt replaces the table by another daemon's list if that is newer.
func (t *Table) Adopt(now time.Time, list ports.ServerListPush) {
	version := list.StoreVersion()
	if !version.IsNewerThan(t.version) {
		return
	}
	known := t.advance(now, version)
	lapsed := make(map[ports.VMName]bool, len(list.Lapsed))
	for _, server := range list.Lapsed {
		lapsed[server.Name] = true
	}
	coldUntil := make(map[ports.VMName]time.Time, len(list.Cold))
	for _, server := range list.Cold {
		coldUntil[server.Name] = now.Add(time.Duration(server.LeftMillis) * time.Millisecond)
	}
	listed := make(map[ports.VMName]bool, len(list.Servers))
	for _, vm := range list.Servers {
		vm.ColdUntil = coldUntil[vm.Name]
		if lapsed[vm.Name] {
			var isGone bool
			if vm, isGone = t.latest(vm); isGone {
				continue
			}
		}
		listed[vm.Name] = true
		t.applyListed(now, Change{Name: vm.Name, VM: &vm}, known)
	}
	for name := range t.servers {
		switch {
		case listed[name]:
		case known != nil:
			t.remove(now, name)
		default:
			t.drop(now, name)
		}
	}
	for _, server := range list.Lapsed {
		if listed[server.Name] {
			grace := time.Duration(server.GraceMillis) * time.Millisecond
			t.lapsed[server.Name] = now.Add(min(grace, ReregistrationGrace))
		}
	}
	t.adoptOutdated(now, list.Outdated)
}

// SetPlatformAvailable records whether the platform answered.
func (t *Table) SetPlatformAvailable(now time.Time, available bool) {
	if t.platformDown && available {
		t.platformBackAt = now
	}
	t.platformDown = !available
}

// Version returns the table's version, and whether the table has a version and
// the platform answered last.
func (t *Table) Version() (version ports.StoreVersion, available bool) {
	return t.version, t.version != ports.StoreVersion{} && !t.platformDown
}

// Servers returns the servers that may be used.
func (t *Table) Servers(now time.Time) []ports.VM {
	t.expire(now)
	vms := make([]ports.VM, 0, len(t.servers))
	for name := range t.servers {
		if vm, usable := t.current(name); usable {
			vms = append(vms, vm)
		}
	}
	return vms
}

// expire deletes the servers whose grace period is over, and what is known of the
// past for longer than it is needed.
func (t *Table) expire(now time.Time) {
	for name, until := range t.lapsed {
		if !now.Before(until) {
			t.drop(now, name)
		}
	}
	t.expireHistory(now)
}
