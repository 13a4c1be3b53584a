// Package vmlist is a stand-in for the platform's VM list, which lags behind the
// actual state. Only packages of the testbench import it.
package vmlist

import (
	"net/http"
	"sync"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
)

// AddressRewriter returns the address at which the daemon named viewer reaches a VM;
// "" leaves the VM's own address in place.
type AddressRewriter func(viewer string, vm ports.VM) string

// List is one running VM list. A daemon reads it at URL() + "/v1/vms?viewer=NAME".
type List struct {
	*standin.Server

	mu             sync.Mutex
	rewriteAddress AddressRewriter
	snapshots      []snapshot
	lag            time.Duration
	frozenAt       time.Time
	empty          bool
	down           bool
	readCount      int
}

type snapshot struct {
	at  time.Time
	vms []ports.VM
}

type listResponse struct {
	VMs []ports.VM `json:"vms"`
}

// Start starts an empty list without lag on a free loopback port. With a nil
// rewriteAddress, all viewers see the VMs' own addresses.
func Start(rewriteAddress AddressRewriter) (*List, error) {
	list := &List{rewriteAddress: rewriteAddress}
	server, err := standin.Start(list)
	if err != nil {
		return nil, err
	}
	list.Server = server
	return list, nil
}

// ViewURL returns the URL at which the daemon named viewer reads the list.
func (l *List) ViewURL(viewer string) string {
	return l.URL() + "/v1/vms?viewer=" + viewer
}

// Set adds a VM or replaces the one with the same name.
func (l *List) Set(vm ports.VM) {
	l.update(func(vms []ports.VM) []ports.VM {
		for i := range vms {
			if vms[i].Name == vm.Name {
				vms[i] = vm
				return vms
			}
		}
		return append(vms, vm)
	})
}

// Remove removes a VM from the list.
func (l *List) Remove(name ports.VMName) {
	l.update(func(vms []ports.VM) []ports.VM {
		remaining := vms[:0]
		for _, vm := range vms {
			if vm.Name != name {
				remaining = append(remaining, vm)
			}
		}
		return remaining
	})
}

// MarkLeaving sets the leaving flag of a VM and returns the time from which readers
// see it, unless the list is frozen.
func (l *List) MarkLeaving(name ports.VMName) time.Time {
	l.update(func(vms []ports.VM) []ports.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == name
		}
		return vms
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(l.lag)
}

// SetLag sets the age of the state that the list shows.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetFrozen sets whether the list goes on showing the state of the time of this call,
// less the lag.
func (l *List) SetFrozen(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozenAt = time.Time{}
	if frozen {
		l.frozenAt = time.Now()
	}
}

// SetEmpty sets whether the list shows no VM.
func (l *List) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
}

// SetDown sets whether the list answers 503.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// CurrentVMs returns the current VMs, without lag, outage or address rewriting.
func (l *List) CurrentVMs() []ports.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vmsAt(time.Now())
}

// ReadCount returns the number of times that the list was read.
func (l *List) ReadCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readCount
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vms, ok := l.readVisible()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	viewer := r.URL.Query().Get("viewer")
	for i, vm := range vms {
		if l.rewriteAddress == nil {
			break
		}
		if address := l.rewriteAddress(viewer, vm); address != "" {
			vms[i].Address = address
		}
	}
	standin.WriteJSON(w, listResponse{VMs: vms})
}

// readVisible counts a read and returns a copy of the VMs that the list shows now. It
// returns false when the list is down.
func (l *List) readVisible() ([]ports.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readCount++
	if l.down {
		return nil, false
	}
	if l.empty {
		return []ports.VM{}, true
	}
	at := time.Now()
	if !l.frozenAt.IsZero() {
		at = l.frozenAt
	}
	return l.vmsAt(at.Add(-l.lag)), true
}

// vmsAt returns a copy of the VMs at a time. The caller holds l.mu.
func (l *List) vmsAt(at time.Time) []ports.VM {
	vms := []ports.VM{}
	for _, snapshot := range l.snapshots {
		if snapshot.at.After(at) {
			break
		}
		vms = snapshot.vms
	}
	return append([]ports.VM{}, vms...)
}

// update appends a snapshot with a copy of the latest VMs, changed by edit.
func (l *List) update(edit func([]ports.VM) []ports.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []ports.VM
	if n := len(l.snapshots); n > 0 {
		vms = append(vms, l.snapshots[n-1].vms...)
	}
	l.snapshots = append(l.snapshots, snapshot{at: time.Now(), vms: edit(vms)})
}
