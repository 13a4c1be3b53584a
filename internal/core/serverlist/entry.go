package serverlist

import (
	"fmt"
	"net/netip"

	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/ports"
)

const (
	// maxSlots limits the slots of a server, which count as capacity.
	maxSlots = 1_000_000
	// maxStartedMillis is the end of the year 9999. A start beyond it would hold against all
	// later entries of the server.
	maxStartedMillis = 253_402_300_799_999
)

// Field is a field of an entry.
type Field string

// The fields that CheckEntry and CheckDaemon check.
const (
	FieldName    Field = "name"
	FieldService Field = "service"
	FieldAddress Field = "address"
	FieldSlots   Field = "slots"
	FieldStarted Field = "started"
	FieldVersion Field = "version"
	FieldDomain  Field = "domain"
	FieldRegion  Field = "region"
)

// UnusableEntryError reports an entry of a server or daemon that can't be used.
type UnusableEntryError struct {
	// Field is the first field whose value can't be used.
	Field Field
}

// Error implements error.
func (e *UnusableEntryError) Error() string {
	return fmt.Sprintf("the %s of the entry can't be used", e.Field)
}

// CheckEntry fails with *UnusableEntryError if no call could be sent to the server, or its
// entry would disturb the use of others.
func CheckEntry(vm ports.VM) error {
	switch {
	case !fieldcheck.IsLabel(string(vm.Name)):
		return &UnusableEntryError{Field: FieldName}
	case !fieldcheck.IsLabel(string(vm.Service)):
		return &UnusableEntryError{Field: FieldService}
	case !isReachableAddress(vm.Address):
		return &UnusableEntryError{Field: FieldAddress}
	case vm.Slots < 1 || vm.Slots > maxSlots:
		return &UnusableEntryError{Field: FieldSlots}
	case vm.StartedMillis < 0 || vm.StartedMillis > maxStartedMillis:
		return &UnusableEntryError{Field: FieldStarted}
	case vm.SoftwareVersion != "" && !fieldcheck.IsLabel(vm.SoftwareVersion):
		return &UnusableEntryError{Field: FieldVersion}
	}
	return nil
}

// CheckDaemon fails with *UnusableEntryError if the entry of a daemon names none that can be
// reached.
func CheckDaemon(vm ports.VM) error {
	switch {
	case !fieldcheck.IsLabel(string(vm.Name)):
		return &UnusableEntryError{Field: FieldName}
	case !fieldcheck.IsLabel(string(vm.Domain)):
		return &UnusableEntryError{Field: FieldDomain}
	case !fieldcheck.IsLabel(string(vm.Region)):
		return &UnusableEntryError{Field: FieldRegion}
	case !isReachableAddress(vm.Address):
		return &UnusableEntryError{Field: FieldAddress}
	}
	return nil
}

// isReachableAddress reports whether text is an IP address and port of one VM that others
// can reach.
func isReachableAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return false
	}
	ip := address.Addr().Unmap()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
