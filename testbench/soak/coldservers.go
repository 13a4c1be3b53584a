package soak

import (
	"sync"
	"time"
)

const (
	// A backend server is cold for coldTime after its start. It may then get coldRate
	// requests in any second.
	coldTime = 2 * time.Second
	coldRate = 5
	// maxLinkDelay is the exclusive upper bound of the delay of a link to a backend server.
	// Requests of so long a time may arrive at once when the delay ends.
	maxLinkDelay = 300 * time.Millisecond
)

// coldArrivals are the requests that a backend server received while it was cold.
type coldArrivals struct {
	mu       sync.Mutex
	coldTill time.Time
	received []time.Time
}

func (c *coldArrivals) receive(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.coldTill) {
		c.received = append(c.received, now)
	}
}

// most returns the largest number of requests in one second.
func (c *coldArrivals) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, first := 0, 0
	for i, at := range c.received {
		for at.Sub(c.received[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// setWarmUp sets the warm-up of all services in the spec of the configuration object.
func setWarmUp(spec map[string]any) {
	for _, service := range spec["services"].([]any) {
		service.(map[string]any)["coldStartS"] = coldTime.Seconds()
		service.(map[string]any)["coldPerS"] = coldRate
	}
}

// checkColdServers checks the requests that the servers received while they were cold.
func (r *soakRun) checkColdServers() {
	allowed := coldRate + int(coldRate*maxLinkDelay.Seconds())
	for _, servers := range [][]*backendServer{r.servers, r.replacedServers} {
		for _, server := range servers {
			if most := server.cold.most(); most > allowed {
				r.checker.addViolation("cold: %s got %d requests in one second while it was cold, allowed %d", server.Name, most, allowed)
			}
		}
	}
}
