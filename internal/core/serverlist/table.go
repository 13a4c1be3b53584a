// Package serverlist keeps the list of backend servers that the platform shows:
// what the platform says, what other daemons bring, and what an outage of the
// platform hides for a while. It has no I/O, clock or lock; platform uses it.
package serverlist

import (
	"time"

	"hawthornstream/internal/ports"
)

// LapseGrace is how long a backend server whose entry vanished while the platform
// was away may take to write it again: about two seconds after the platform's
// return, and a heartbeat's jitter.
const LapseGrace = 2300 * time.Millisecond

// Change is a change of one entry.
type Change struct {
	Name ports.VMName
	// VM is nil when the entry is gone or names no usable server.
	VM *ports.VM
	// Removed says that the entry is gone, not merely unusable.
	Removed bool
}

// Table is the list with its version. It is used under its owner's lock.
type Table struct {
	// version is the platform's number of the newest change that is in the table.
	version uint64
	servers map[ports.VMName]ports.VM
	// missing are entries that vanished around an outage of the platform, with
	// the time until which they may return.
	missing map[ports.VMName]time.Time
	// away says that the platform gave no answer, regained when it last returned.
	away     bool
	regained time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[ports.VMName]ports.VM), missing: make(map[ports.VMName]time.Time)}
}

// Replace takes a whole list over. Nil servers are entries that name none. An
// older list than the table changes nothing.
func (t *Table) Replace(now time.Time, version uint64, entries []Change) {
	if version < t.version {
		return
	}
	t.version = version
	shown := make(map[ports.VMName]bool, len(entries))
	for _, entry := range entries {
		shown[entry.Name] = true
		t.apply(now, entry)
	}
	for name := range t.servers {
		if !shown[name] {
			t.remove(now, name)
		}
	}
}

// Apply takes single changes over, unless the table is newer.
func (t *Table) Apply(now time.Time, version uint64, changes []Change) {
	if version < t.version {
		return
	}
	t.version = version
	for _, change := range changes {
		t.apply(now, change)
	}
}

func (t *Table) apply(now time.Time, change Change) {
	if change.Removed {
		t.remove(now, change.Name)
		return
	}
	delete(t.missing, change.Name)
	if change.VM == nil {
		delete(t.servers, change.Name)
		return
	}
	t.servers[change.Name] = *change.VM
}

// remove takes a server out, at once or, when its entry may have lapsed for want
// of the platform, after a grace.
func (t *Table) remove(now time.Time, name ports.VMName) {
	if _, known := t.servers[name]; !known {
		return
	}
	if returns := t.regained.Add(LapseGrace); now.Before(returns) {
		t.missing[name] = returns
		return
	}
	delete(t.servers, name)
}

// Snapshot returns the table for other daemons.
func (t *Table) Snapshot(now time.Time) ports.ServerListPush {
	list := ports.ServerListPush{Version: t.version, Servers: t.Servers(now)}
	for name, until := range t.missing {
		list.Lapsed = append(list.Lapsed, ports.LapsedServer{Name: name, GraceMillis: until.Sub(now).Milliseconds()})
	}
	return list
}

// Adopt replaces the table by a newer one of another daemon.
func (t *Table) Adopt(now time.Time, list ports.ServerListPush) {
	if list.Version <= t.version {
		return
	}
	t.version = list.Version
	clear(t.servers)
	clear(t.missing)
	for _, vm := range list.Servers {
		t.servers[vm.Name] = vm
	}
	for _, lapsed := range list.Lapsed {
		t.missing[lapsed.Name] = now.Add(min(time.Duration(lapsed.GraceMillis)*time.Millisecond, LapseGrace))
	}
}

// PlatformAnswers notes whether the platform answers.
func (t *Table) PlatformAnswers(now time.Time, answers bool) {
	if t.away && answers {
		t.regained = now
	}
	t.away = !answers
}

// Version returns the version, and whether the platform answered last.
func (t *Table) Version() (version uint64, answers bool) {
	return t.version, t.version > 0 && !t.away
}

// Servers returns the servers. Those whose grace is over are forgotten.
func (t *Table) Servers(now time.Time) []ports.VM {
	vms := make([]ports.VM, 0, len(t.servers))
	for name, vm := range t.servers {
		if until, missing := t.missing[name]; missing && !now.Before(until) {
			delete(t.servers, name)
			delete(t.missing, name)
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}
