package serverlist

import (
	"errors"
	"math"
	"strings"
	"testing"

	"hawthornstream/internal/ports"
)

// Each of these values passed and disturbed the use of other servers.
func TestCheckEntryRefusesUnusableFields(t *testing.T) {
	sound := ports.VM{
		Name: "i-1", Kind: ports.VMKindBackend, Domain: "z1", Region: "r1", Service: "app", Address: "10.0.0.1:80", Slots: 4,
		StartedMillis: 1_764_921_600_000, SoftwareVersion: "v1",
	}
	long := strings.Repeat("x", 257)
	for field, changes := range map[Field][]func(*ports.VM){
		"": {
			func(*ports.VM) {}, func(vm *ports.VM) { vm.StartedMillis = 0 }, func(vm *ports.VM) { vm.SoftwareVersion = "" },
			func(vm *ports.VM) { vm.Address = "[::1]:80" }, func(vm *ports.VM) { vm.Name = "máy 1" },
			func(vm *ports.VM) { vm.Slots = maxSlots }, func(vm *ports.VM) { vm.Address = "127.0.0.1:65535" },
		},
		FieldName: {
			func(vm *ports.VM) { vm.Name = "" }, func(vm *ports.VM) { vm.Name = ports.VMName(long) },
			func(vm *ports.VM) { vm.Name = "a\r\nX: y" }, func(vm *ports.VM) { vm.Name = "a\xff" }, func(vm *ports.VM) { vm.Name = " a" },
		},
		FieldService: {func(vm *ports.VM) { vm.Service = "" }, func(vm *ports.VM) { vm.Service = ports.ServiceName(long) }},
		FieldAddress: {
			func(vm *ports.VM) { vm.Address = "10.0.0.1:0" }, func(vm *ports.VM) { vm.Address = "10.0.0.1:65536" },
			func(vm *ports.VM) { vm.Address = "[::1%a]:80" }, func(vm *ports.VM) { vm.Address = "0.0.0.0:80" },
			func(vm *ports.VM) { vm.Address = "[::ffff:0.0.0.0]:80" }, func(vm *ports.VM) { vm.Address = "[ff02::1]:80" },
			func(vm *ports.VM) { vm.Address = "255.255.255.255:80" }, func(vm *ports.VM) { vm.Address = "" },
		},
		FieldSlots: {
			func(vm *ports.VM) { vm.Slots = 0 }, func(vm *ports.VM) { vm.Slots = math.MinInt },
			func(vm *ports.VM) { vm.Slots = math.MaxInt }, func(vm *ports.VM) { vm.Slots = maxSlots + 1 },
		},
		FieldStarted: {func(vm *ports.VM) { vm.StartedMillis = -1 }, func(vm *ports.VM) { vm.StartedMillis = math.MaxInt64 }},
		FieldVersion: {func(vm *ports.VM) { vm.SoftwareVersion = long }, func(vm *ports.VM) { vm.SoftwareVersion = "a\x00" }},
	} {
		for i, change := range changes {
			vm := sound
			change(&vm)
			var unusable *UnusableEntryError
			got := Field("")
			if err := CheckEntry(vm); errors.As(err, &unusable) {
				got = unusable.Field
			}
			if got != field {
				t.Errorf("%s, change %d: refused for %q", field, i, got)
			}
		}
	}
}
