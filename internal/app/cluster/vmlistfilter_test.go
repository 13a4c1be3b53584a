package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

func daemonVMs(n int) []ports.VM {
	var vms []ports.VM
	for i := range n {
		vms = append(vms, ports.VM{
			Name:    ports.VMName(fmt.Sprintf("vm-%02d", i)),
			Kind:    ports.VMKindDaemon,
			Domain:  "d",
			Region:  "r",
			Address: "127.0.0.1:1",
		})
	}
	return vms
}

func TestEmptyOrShrunkVMListIsRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &vmListFilter{}
	if got := f.update(nil, now); got != listEmpty {
		t.Errorf("empty first list: %s", got)
	}
	if got := f.update(daemonVMs(10), now); got != listAccepted {
		t.Errorf("first list: %s", got)
	}
	if got := f.update(daemonVMs(10), now); got != listUnchanged {
		t.Errorf("unchanged list: %s", got)
	}
	if got := f.update(nil, now); got != listEmpty {
		t.Errorf("empty list: %s", got)
	}
	if got := f.update(daemonVMs(4), now); got != listShrunk {
		t.Errorf("list that lacks more than half of the VMs: %s", got)
	}
	if len(f.accepted) != 10 {
		t.Errorf("%d VMs are accepted, want 10", len(f.accepted))
	}
	if got := f.update(daemonVMs(5), now); got != listAccepted {
		t.Errorf("list that lacks half of the VMs: %s", got)
	}
}

func TestShrunkVMListIsAcceptedAfterTheHoldTime(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &vmListFilter{}
	f.update(daemonVMs(10), now)
	f.update(daemonVMs(2), now)
	if got := f.update(daemonVMs(2), now.Add(shrunkListHoldTime-time.Second)); got != listShrunk {
		t.Errorf("shrunk list before the end of the hold time: %s", got)
	}
	if got := f.update(daemonVMs(2), now.Add(shrunkListHoldTime)); got != listAccepted {
		t.Errorf("shrunk list after the hold time: %s", got)
	}
}

func TestFullVMListRestartsTheHoldTime(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &vmListFilter{}
	f.update(daemonVMs(10), now)
	f.update(daemonVMs(2), now)
	f.update(daemonVMs(10), now.Add(time.Second))
	if got := f.update(daemonVMs(2), now.Add(shrunkListHoldTime)); got != listShrunk {
		t.Errorf("shrunk list after a full one: %s", got)
	}
}

func TestInvalidVMListEntriesAreDropped(t *testing.T) {
	valid := daemonVMs(1)[0]
	entries := []ports.VM{valid}
	for _, change := range []func(*ports.VM){
		func(vm *ports.VM) { vm.Name = "" },
		func(vm *ports.VM) { vm.Domain = "" },
		func(vm *ports.VM) { vm.Region = "" },
		func(vm *ports.VM) { vm.Address = "somewhere" },
		func(vm *ports.VM) { vm.Kind = "other" },
		func(vm *ports.VM) { vm.Kind = ports.VMKindBackend },
	} {
		vm := valid
		vm.Name = "invalid"
		change(&vm)
		entries = append(entries, vm)
	}
	entries = append(entries, valid)
	if got := validVMs(entries); len(got) != 1 || got[0] != valid {
		t.Errorf("valid entries %v, want only %v", got, valid)
	}
}

// The entry of a server that had a daemon's name hid the daemon, or the daemon the server.
func TestServerWithNameOfDaemonHidesNeither(t *testing.T) {
	daemon := daemonVMs(1)[0]
	server := daemon
	server.Kind, server.Service = ports.VMKindBackend, "app"
	for _, address := range []string{"1.0.0.1:1", "200.0.0.1:1"} {
		server.Address = address
		if got := validVMs([]ports.VM{daemon, server}); !slices.Contains(got, daemon) || !slices.Contains(got, server) {
			t.Errorf("server at %s: valid entries %v", address, got)
		}
	}
}
