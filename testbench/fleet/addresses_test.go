package fleet

import (
	"testing"
)

// Two fleets draw the same network. The second must get another one, and the network
// is free again once the first fleet is closed.
func TestNetworkIsClaimedByOneFleet(t *testing.T) {
	// A range of its own keeps other tests' claims out.
	const octet2 = 252
	drawn := 0
	draw := func() (int, int) {
		drawn++
		return octet2, drawn
	}
	first, err := claimNetwork(draw)
	if err != nil {
		t.Fatal(err)
	}
	drawn = first.octet3 - 1
	second, err := claimNetwork(draw)
	if err != nil {
		t.Fatal(err)
	}
	defer second.close()
	if second.octet3 == first.octet3 {
		t.Errorf("both fleets use 127.%d.%d.0/24", octet2, first.octet3)
	}
	drawn = first.octet3 - 1
	first.close()
	third, err := claimNetwork(draw)
	if err != nil {
		t.Fatal(err)
	}
	defer third.close()
	if third.octet3 != first.octet3 {
		t.Errorf("127.%d.%d.0/24 is still claimed after its fleet was closed", octet2, first.octet3)
	}
}

func TestClaimFailsWithoutFreeNetwork(t *testing.T) {
	held, err := claimNetwork(func() (int, int) { return 253, 1 })
	if err != nil {
		t.Fatal(err)
	}
	defer held.close()
	if allocator, err := claimNetwork(func() (int, int) { return 253, 1 }); err == nil {
		allocator.close()
		t.Error("a claimed network was claimed again")
	}
}
