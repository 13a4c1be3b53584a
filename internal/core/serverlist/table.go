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
	// version is the platform's number of the newest change in the table.
	version uint64
	servers map[ports.VMName]ports.VM
	// lapsed are the entries that vanished around a platform outage, with the
	// time until which they may return.
	lapsed map[ports.VMName]time.Time
	// platformDown reports that the platform did not answer last, and
	// platformBackAt is when it last became available again.
	platformDown   bool
	platformBackAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[ports.VMName]ports.VM), lapsed: make(map[ports.VMName]time.Time)}
}

// Replace applies a whole list. An entry with a nil VM names no usable server.
// A list that is older than the table is ignored.
func (t *Table) Replace(now time.Time, version uint64, entries []Change) {
	if version < t.version {
		return
	}
	t.version = version
	listed := make(map[ports.VMName]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Name] = true
		t.applyChange(now, entry)
	}
	for name := range t.servers {
		if !listed[name] {
			t.remove(now, name)
		}
	}
}

// Apply applies single changes, unless the table is newer.
func (t *Table) Apply(now time.Time, version uint64, changes []Change) {
	if version < t.version {
		return
	}
	t.version = version
	for _, change := range changes {
		t.applyChange(now, change)
	}
}

func (t *Table) applyChange(now time.Time, change Change) {
	if change.Removed {
		t.remove(now, change.Name)
		return
	}
	delete(t.lapsed, change.Name)
	if change.VM == nil {
		delete(t.servers, change.Name)
		return
	}
	t.servers[change.Name] = *change.VM
}

// remove deletes a server, at once or, if its entry may have lapsed because of
// a platform outage, after ReregistrationGrace.
func (t *Table) remove(now time.Time, name ports.VMName) {
	if _, listed := t.servers[name]; !listed {
		return
	}
	if until := t.platformBackAt.Add(ReregistrationGrace); now.Before(until) {
		t.lapsed[name] = until
		return
	}
	delete(t.servers, name)
}

// Snapshot returns the table in the form that other daemons adopt.
func (t *Table) Snapshot(now time.Time) ports.ServerListPush {
	list := ports.ServerListPush{Version: t.version, Servers: t.Servers(now)}
	for name, until := range t.lapsed {
		list.Lapsed = append(list.Lapsed, ports.LapsedServer{Name: name, GraceMillis: until.Sub(now).Milliseconds()})
	}
	return list
}

// Adopt replaces the table by another daemon's list if that is newer.
func (t *Table) Adopt(now time.Time, list ports.ServerListPush) {
	if list.Version <= t.version {
		return
	}
	t.version = list.Version
	clear(t.servers)
	clear(t.lapsed)
	for _, vm := range list.Servers {
		t.servers[vm.Name] = vm
	}
	for _, lapsed := range list.Lapsed {
		t.lapsed[lapsed.Name] = now.Add(min(time.Duration(lapsed.GraceMillis)*time.Millisecond, ReregistrationGrace))
	}
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
func (t *Table) Version() (version uint64, available bool) {
	return t.version, t.version > 0 && !t.platformDown
}

// Servers returns the servers, and deletes those whose grace period is over.
func (t *Table) Servers(now time.Time) []ports.VM {
	vms := make([]ports.VM, 0, len(t.servers))
	for name, vm := range t.servers {
		if until, lapsed := t.lapsed[name]; lapsed && !now.Before(until) {
			delete(t.servers, name)
			delete(t.lapsed, name)
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}
