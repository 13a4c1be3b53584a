package cluster

import (
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

func someVMs(n int) []ports.VM {
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

func TestAbsurdListsDoNotReplaceTheLastGoodOne(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lastList{}
	if got := l.offer(nil, now); got != listEmpty {
		t.Errorf("empty first list: %s", got)
	}
	if got := l.offer(someVMs(10), now); got != listAccepted {
		t.Errorf("first list: %s", got)
	}
	if got := l.offer(someVMs(10), now); got != listSame {
		t.Errorf("the same list: %s", got)
	}
	if got := l.offer(nil, now); got != listEmpty {
		t.Errorf("empty list: %s", got)
	}
	if got := l.offer(someVMs(4), now); got != listShrunk {
		t.Errorf("list of less than half: %s", got)
	}
	if len(l.vms) != 10 {
		t.Errorf("%d VMs are believed, want 10", len(l.vms))
	}
	if got := l.offer(someVMs(5), now); got != listAccepted {
		t.Errorf("list of half: %s", got)
	}
}

func TestListThatStaysSmallIsBelievedInTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lastList{}
	l.offer(someVMs(10), now)
	l.offer(someVMs(2), now)
	if got := l.offer(someVMs(2), now.Add(shrinkHold-time.Second)); got != listShrunk {
		t.Errorf("before the hold is over: %s", got)
	}
	if got := l.offer(someVMs(2), now.Add(shrinkHold)); got != listAccepted {
		t.Errorf("after the hold: %s", got)
	}
}

func TestWholeListBetweenStartsTheHoldAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lastList{}
	l.offer(someVMs(10), now)
	l.offer(someVMs(2), now)
	l.offer(someVMs(10), now.Add(time.Second))
	if got := l.offer(someVMs(2), now.Add(shrinkHold)); got != listShrunk {
		t.Errorf("a second small list: %s", got)
	}
}

func TestInvalidEntriesAreLeftOut(t *testing.T) {
	valid := someVMs(1)[0]
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
