package experiment

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The same seed must give the same faults at the same servers.
func TestPickByNameFollowsTheSeed(t *testing.T) {
	servers := make(map[string]string)
	for i := range 12 {
		name := fmt.Sprintf("s-%d", i)
		servers[name] = name
	}
	picks := func() (picked []string) {
		random := rand.New(rand.NewPCG(1, 2))
		for range 50 {
			picked = append(picked, pickByName(random, servers))
		}
		return picked
	}
	if first, second := fmt.Sprint(picks()), fmt.Sprint(picks()); first != second {
		t.Errorf("two runs picked\n%s\n%s", first, second)
	}
}
