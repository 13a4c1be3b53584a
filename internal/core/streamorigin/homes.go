package streamorigin

import (
	"slices"

	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

// candidatesPerDomain is the number of daemons of a failure domain that may be homes of
// an attempt: the first by hash other than the one that records, and one more in case a
// daemon has just come or gone.
const candidatesPerDomain = 3

// Homes returns the daemons, at most two, at which the daemon self records the origin of
// the stream that an attempt began. One is in its own failure domain, where most callers
// return to, and one in another domain, preferably of the same region, so that the loss
// of a domain leaves a record. Only regions that allows returns true for have homes; if
// that of self has none, the two are in different domains where possible.
func Homes(
	self ports.VM, hash *placement.RendezvousHash, attempt ports.RequestID, allows func(ports.Region) bool,
) []ports.DaemonID {
	candidates := slices.DeleteFunc(hash.HighestInDomains(string(attempt), candidatesPerDomain),
		func(vm ports.VM) bool { return !allows(vm.Region) })
	var homes []ports.VM
	preferences := []func(ports.VM) bool{
		func(vm ports.VM) bool { return vm.Domain == self.Domain },
		func(vm ports.VM) bool { return vm.Domain != self.Domain && vm.Region == self.Region },
		func(vm ports.VM) bool { return vm.Region != self.Region },
	}
	if !allows(self.Region) {
		var first ports.FailureDomain
		if len(candidates) > 0 {
			first = candidates[0].Domain
		}
		preferences = []func(ports.VM) bool{
			func(vm ports.VM) bool { return vm.Domain == first },
			func(vm ports.VM) bool { return vm.Domain != first },
		}
	}
	for _, isPreferred := range preferences {
		homes = appendFirst(homes, self, candidates, isPreferred)
	}
	for len(homes) < 2 {
		more := appendFirst(homes, self, candidates, func(ports.VM) bool { return true })
		if len(more) == len(homes) {
			break
		}
		homes = more
	}
	names := make([]ports.DaemonID, 0, 2)
	for _, home := range homes[:min(len(homes), 2)] {
		names = append(names, home.Name)
	}
	return names
}

// appendFirst appends the first candidate that is neither self nor chosen already and
// meets the condition, if there is one.
func appendFirst(homes []ports.VM, self ports.VM, candidates []ports.VM, condition func(ports.VM) bool) []ports.VM {
	for _, candidate := range candidates {
		if candidate.Name != self.Name && !contains(homes, candidate) && condition(candidate) {
			return append(homes, candidate)
		}
	}
	return homes
}

func contains(vms []ports.VM, vm ports.VM) bool {
	for _, other := range vms {
		if other.Name == vm.Name {
			return true
		}
	}
	return false
}

// Candidates returns the other daemons at which any daemon may have recorded the origin
// of the stream that an attempt began.
func Candidates(self ports.VM, hash *placement.RendezvousHash, attempt ports.RequestID) []ports.DaemonID {
	var names []ports.DaemonID
	for _, candidate := range hash.HighestInDomains(string(attempt), candidatesPerDomain) {
		if candidate.Name != self.Name {
			names = append(names, candidate.Name)
		}
	}
	return names
}
