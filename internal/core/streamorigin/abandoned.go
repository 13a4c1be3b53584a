package streamorigin

import (
	"time"

	"hawthornstream/internal/ports"
)

// SweepInterval is the time between two searches for the checkpoints of daemons that are
// gone. All streams in a checkpoint that did not change meanwhile have ended.
const SweepInterval = 2 * Lifetime

// StoredCheckpoint identifies one state of a daemon's checkpoint in the store.
type StoredCheckpoint struct {
	Daemon  ports.DaemonID
	Version ports.StoreVersion
}

// Sweeper finds the checkpoints of daemons that are gone. It compares revisions of the
// store, not times, since the clocks of daemons may differ. It is not safe for concurrent
// use.
type Sweeper struct {
	// versions are those at sweptAt.
	versions map[ports.DaemonID]ports.StoreVersion
	sweptAt  time.Time
	// foreign is true if the last list had checkpoints of daemons that were not alive.
	foreign bool
}

// Due reports whether to list the checkpoints now. Only the first by name of the daemons
// that are alive does, while there may be abandoned ones.
func (s *Sweeper) Due(now time.Time, self ports.DaemonID, alive []ports.VM, severalVersions bool) bool {
	if now.Sub(s.sweptAt) < SweepInterval || !s.foreign && !severalVersions {
		return false
	}
	for _, vm := range alive {
		if ports.DaemonID(vm.Name) < self {
			return false
		}
	}
	return true
}

// Sweep records the checkpoints in the store and returns those to be removed: their daemons
// are not alive, and they have not changed since the last sweep.
func (s *Sweeper) Sweep(now time.Time, stored []StoredCheckpoint, alive []ports.VM) []StoredCheckpoint {
	isAlive := make(map[ports.DaemonID]bool, len(alive))
	for _, vm := range alive {
		isAlive[ports.DaemonID(vm.Name)] = true
	}
	versions := make(map[ports.DaemonID]ports.StoreVersion, len(stored))
	s.foreign = false
	var abandoned []StoredCheckpoint
	for _, c := range stored {
		if isAlive[c.Daemon] {
			continue
		}
		s.foreign = true
		versions[c.Daemon] = c.Version
		if s.versions[c.Daemon] == c.Version {
			abandoned = append(abandoned, c)
		}
	}
	s.versions, s.sweptAt = versions, now
	return abandoned
}
