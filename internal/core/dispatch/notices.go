package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// noticeLifetime is how long a notice is remembered for a server that has left the list
// and may be listed again.
const noticeLifetime = time.Hour

// serverInstance identifies one start of a backend server.
type serverInstance struct {
	name          ports.VMName
	startedMillis int64
}

func instanceOf(vm ports.VM) serverInstance {
	return serverInstance{name: vm.Name, startedMillis: vm.StartedMillis}
}

// Notices holds what the backend servers of all services said about themselves in their
// answers to this daemon. A notice outlives the server's entry in the list, which may
// vanish and come back around an outage of the platform. It ends with the server's
// restart.
type Notices struct {
	byInstance map[serverInstance]notice
	// domainLimits are the limits to report to the other daemons of this failure domain,
	// crossDomainLimits those for other domains.
	domainLimits, crossDomainLimits limitUpdates
}

// notice is what one server said about itself.
type notice struct {
	recordedAt time.Time
	isLeaving  bool
	// pausedUntil is when the pause ends that the server asked for.
	pausedUntil time.Time
	limit       limitNotice
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices {
	return &Notices{
		byInstance: make(map[serverInstance]notice), domainLimits: make(limitUpdates), crossDomainLimits: make(limitUpdates),
	}
}

// RecordLeaving records that a server is leaving. It reports false if that was recorded
// before.
func (n *Notices) RecordLeaving(now time.Time, vm ports.VM) bool {
	recorded := n.byInstance[instanceOf(vm)]
	if recorded.isLeaving {
		return false
	}
	recorded.isLeaving = true
	n.set(now, vm, recorded)
	return true
}

// RecordPause records that a server asked for a pause that begins now. A longer one that
// it asked for before stays in force. RecordPause reports false if the server pauses
// already.
func (n *Notices) RecordPause(now time.Time, vm ports.VM, pause time.Duration) bool {
	recorded := n.byInstance[instanceOf(vm)]
	isNew := !recorded.pausedUntil.After(now)
	if until := now.Add(pause); until.After(recorded.pausedUntil) {
		recorded.pausedUntil = until
	}
	n.set(now, vm, recorded)
	return isNew
}

func (n *Notices) set(now time.Time, vm ports.VM, recorded notice) {
	n.setByKey(now, instanceOf(vm), recorded)
}

func (n *Notices) setByKey(now time.Time, key serverInstance, recorded notice) {
	if _, known := n.byInstance[key]; !known {
		n.prune(now)
	}
	recorded.recordedAt = now
	n.byInstance[key] = recorded
}

func (n *Notices) prune(now time.Time) {
	for key, recorded := range n.byInstance {
		if now.Sub(recorded.recordedAt) >= noticeLifetime && !now.Before(recorded.pausedUntil) {
			delete(n.byInstance, key)
		}
	}
}

// ApplyNotices makes the notices about the pool's servers take effect.
func (p *Pool) ApplyNotices(notices *Notices) {
	leavingChanged := false
	for _, server := range p.servers {
		recorded, known := notices.byInstance[instanceOf(server.vm)]
		if !known {
			continue
		}
		leavingChanged = leavingChanged || recorded.isLeaving && !server.isLeaving()
		server.saidLeaving = server.saidLeaving || recorded.isLeaving
		server.pausedUntil = recorded.pausedUntil
	}
	if leavingChanged {
		p.assignLongPromptServers()
	}
}

// EarliestFree returns the earliest time from which a server of the pool that may run the
// work takes calls as it has room: now, or when the first pause ends or the first limit
// permits one more. It reports false if there is none. A nil work stands for any.
func (p *Pool) EarliestFree(now time.Time, work *Work) (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, server := range p.servers {
		if !server.takesNewCalls() || work != nil && !server.mayRun(work) {
			continue
		}
		free := server.freeAt(now)
		if !free.After(now) {
			return now, true
		}
		if !found || free.Before(earliest) {
			earliest, found = free, true
		}
	}
	return earliest, found
}

// NextFree returns when the next server of the pool takes calls again whose pause or
// limit keeps calls away now. It reports false if there is none.
func (p *Pool) NextFree(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, server := range p.servers {
		if free := server.freeAt(now); free.After(now) && (next.IsZero() || free.Before(next)) {
			next = free
		}
	}
	return next, !next.IsZero()
}
