package dispatch

import (
	"slices"
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
}

// notice is what one server said about itself.
type notice struct {
	recordedAt time.Time
	isLeaving  bool
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices {
	return &Notices{byInstance: make(map[serverInstance]notice)}
}

// RecordLeaving records that a server is leaving. It reports false if that was recorded
// before.
func (n *Notices) RecordLeaving(now time.Time, vm ports.VM) bool {
	key := instanceOf(vm)
	recorded, known := n.byInstance[key]
	if recorded.isLeaving {
		return false
	}
	if !known {
		n.prune(now)
	}
	recorded.isLeaving, recorded.recordedAt = true, now
	n.byInstance[key] = recorded
	return true
}

func (n *Notices) prune(now time.Time) {
	for key, recorded := range n.byInstance {
		if now.Sub(recorded.recordedAt) >= noticeLifetime {
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
	}
	if leavingChanged {
		p.assignLongPromptServers()
	}
}

// CanServe reports whether a server of the pool may get the call, now or once it has
// room: one that is not leaving and on which the call has not failed.
func (p *Pool) CanServe(work *Work) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool {
		return !s.isLeaving() && !slices.Contains(work.FailedServers, s.vm.Name)
	})
}

// AllLeaving reports whether every server of the pool is leaving.
func (p *Pool) AllLeaving() bool {
	return !slices.ContainsFunc(p.servers, func(s *Server) bool { return !s.isLeaving() })
}
