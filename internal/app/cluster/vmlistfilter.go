package cluster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

// shrunkListHoldTime is how long successive lists must lack more than half of
// the accepted VMs before one of them is accepted.
const shrunkListHoldTime = 30 * time.Second

// listVerdict is the result of checking a VM list. It is a label of the metric
// vm_list_reads and the reason in the log.
type listVerdict string

const (
	listAccepted  listVerdict = "accepted"
	listUnchanged listVerdict = "unchanged"
	listEmpty     listVerdict = "empty"
	listShrunk    listVerdict = "shrunk"
)

// vmListFilter rejects implausible VM lists and holds the last accepted one.
type vmListFilter struct {
	// authoritative lists are accepted no matter how many VMs are missing.
	authoritative bool
	// accepted is the last accepted list, ordered by name.
	accepted []ports.VM
	// shrunkSince is when the first shrunk list after the last full one arrived, or
	// zero when there was none.
	shrunkSince time.Time
}

// update accepts a list unless it is implausible: an empty list is always
// rejected, and one that lacks more than half of the accepted VMs is rejected
// until lists have stayed that way for shrunkListHoldTime. Invalid entries are
// dropped first.
func (f *vmListFilter) update(list []ports.VM, now time.Time) listVerdict {
	vms := validVMs(list)
	if len(vms) == 0 {
		return listEmpty
	}
	if !f.authoritative && f.hasShrunk(vms) {
		if f.shrunkSince.IsZero() {
			f.shrunkSince = now
		}
		if now.Sub(f.shrunkSince) < shrunkListHoldTime {
			return listShrunk
		}
	}
	f.shrunkSince = time.Time{}
	if slices.Equal(vms, f.accepted) {
		return listUnchanged
	}
	f.accepted = vms
	return listAccepted
}

// hasShrunk reports whether more than half of the accepted VMs are missing.
func (f *vmListFilter) hasShrunk(vms []ports.VM) bool {
	listed := make(map[ports.VMName]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	missing := 0
	for _, vm := range f.accepted {
		if !listed[vm.Name] {
			missing++
		}
	}
	return 2*missing > len(f.accepted)
}

// validVMs returns the valid entries ordered by name, one for each name and kind.
func validVMs(list []ports.VM) []ports.VM {
	var vms []ports.VM
	for _, vm := range list {
		if isValidVM(vm) {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b ports.VM) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Address, b.Address))
	})
	return slices.CompactFunc(vms, func(a, b ports.VM) bool { return a.Name == b.Name && a.Kind == b.Kind })
}

// isValidVM reports whether an entry has all fields that the daemon needs.
func isValidVM(vm ports.VM) bool {
	if vm.Name == "" || vm.Domain == "" || vm.Region == "" {
		return false
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return false
	}
	return vm.Kind == ports.VMKindDaemon || vm.Kind == ports.VMKindBackend && vm.Service != ""
}
