package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// evacuationTimeout is the documented bound for evacuations plus the time that a daemon
// may need after a fault.
const evacuationTimeout = 9 * time.Second

// daemonZone is the failure domain of all daemons; see platformtest.Settings.
const daemonZone = "z1"

// evacuationZone returns the failure domain of a server in a run with an evacuation: each
// service has servers of each software version in each domain.
func evacuationZone(serverNumber int) string {
	return fmt.Sprintf("z%d", 1+(serverNumber-1)/4%2)
}

// withEvacuations returns the settings of a daemon that reads evacuations.
func withEvacuations(settings string) string {
	return strings.Replace(settings, `"vmListPeriod"`, `"evacuateWithin": "5s", "vmListPeriod"`, 1)
}

// evacuate evacuates the daemons' own failure domain, whose servers they prefer.
func (r *soakRun) evacuate() {
	r.evacuated = daemonZone
	r.evacuationDeadline = time.Now().Add(evacuationTimeout)
	r.options.Logf("seed %d: %s is evacuated", r.options.Seed, r.evacuated)
	r.store.Set("evacuations", r.evacuated, struct{}{})
	for _, server := range r.servers {
		if server.zone == r.evacuated {
			r.checker.setDrainDeadline(server.Name, r.evacuationDeadline)
		}
	}
}

// endEvacuation takes the evacuation back and checks that calls go to the domain again. The
// deadlines of servers that left hold on.
func (r *soakRun) endEvacuation() {
	var returned []*backendServer
	for _, server := range r.servers {
		if server.zone == r.evacuated {
			r.checker.setDrainDeadline(server.Name, time.Time{})
			returned = append(returned, server)
		}
	}
	before := make(map[string]int)
	for _, server := range returned {
		before[server.Name] = len(server.Requests())
	}
	r.store.Remove("evacuations", r.evacuated)
	isUsed := func(server *backendServer) bool { return len(server.Requests()) > before[server.Name] }
	if len(returned) > 0 && !waitUntil(recoveryTimeout, func() bool { return slices.ContainsFunc(returned, isUsed) }) {
		r.checker.addViolation("evacuation: no call went to %s within %v after it was taken back", r.evacuated, recoveryTimeout)
	}
}
