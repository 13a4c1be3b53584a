package cluster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// shrinkHold is how long a list must keep showing less than half of the VMs
// before it is believed.
const shrinkHold = 30 * time.Second

// listVerdict says what became of a VM list.
type listVerdict string

const (
	listAccepted listVerdict = "accepted"
	listSame     listVerdict = "unchanged"
	listEmpty    listVerdict = "empty"
	listShrunk   listVerdict = "shrunk"
)

// lastList holds the last believed VM list.
type lastList struct {
	// exact lists are believed however much they lost.
	exact       bool
	vms         []ports.VM
	shrunkSince time.Time
}

// offer takes a list over unless it is absurd: an empty one never counts, and
// one that lost more than half of the VMs only once it has stayed so. Invalid
// entries are left out.
func (l *lastList) offer(list []ports.VM, now time.Time) listVerdict {
	vms := validVMs(list)
	if len(vms) == 0 {
		return listEmpty
	}
	if !l.exact && l.shrunk(vms) {
		if l.shrunkSince.IsZero() {
			l.shrunkSince = now
		}
		if now.Sub(l.shrunkSince) < shrinkHold {
			return listShrunk
		}
	}
	l.shrunkSince = time.Time{}
	if slices.Equal(vms, l.vms) {
		return listSame
	}
	l.vms = vms
	return listAccepted
}

// shrunk says whether more than half of the believed VMs are missing.
func (l *lastList) shrunk(vms []ports.VM) bool {
	shown := make(map[ports.VMName]bool, len(vms))
	for _, vm := range vms {
		shown[vm.Name] = true
	}
	missing := 0
	for _, vm := range l.vms {
		if !shown[vm.Name] {
			missing++
		}
	}
	return 2*missing > len(l.vms)
}

// validVMs returns the usable entries by name, one for each name.
func validVMs(list []ports.VM) []ports.VM {
	var vms []ports.VM
	for _, vm := range list {
		if validVM(vm) {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b ports.VM) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return slices.CompactFunc(vms, func(a, b ports.VM) bool { return a.Name == b.Name })
}

func validVM(vm ports.VM) bool {
	if vm.Name == "" || vm.Domain == "" || vm.Region == "" {
		return false
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return false
	}
	return vm.Kind == ports.VMKindDaemon || vm.Kind == ports.VMKindBackend && vm.Service != ""
}
