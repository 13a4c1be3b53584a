package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

const (
	// maxWriters is the number of daemons that can write checkpoints at the least interval.
	// In larger fleets, as many write for all.
	maxWriters = int(maxCheckpointRate * MinCheckpointInterval / time.Second)
	// writersKey is the key by whose rendezvous hash the writers are chosen.
	writersKey = "stream-origin-checkpoints"
)

// Writer returns the daemon that writes the checkpoint of the daemon self, and the number of
// writers of the fleet. In a small fleet each daemon writes its own. In a larger one a few
// daemons of each failure domain write for all of it, since origins that cross domains cost
// most.
func Writer(self ports.VM, hash *placement.RendezvousHash, daemons []ports.VM) (ports.DaemonID, int) {
	if len(daemons) <= maxWriters {
		return self.Name, max(len(daemons), 1)
	}
	domains := make(map[ports.FailureDomain]bool)
	for _, vm := range daemons {
		domains[vm.Domain] = true
	}
	writers := hash.HighestInDomains(writersKey, max(1, maxWriters/len(domains)))
	var local []ports.DaemonID
	for _, vm := range writers {
		if vm.Name == self.Name {
			return self.Name, len(writers)
		}
		if vm.Domain == self.Domain {
			local = append(local, vm.Name)
		}
	}
	if len(local) == 0 {
		return self.Name, len(writers) + 1
	}
	return local[xxhash.Sum64String(string(self.Name))%uint64(len(local))], len(writers)
}
