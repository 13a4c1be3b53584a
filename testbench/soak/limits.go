package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hawthornstream/platform/platformtest"
)

const (
	// A backend server may get limitTolerance times its limit, and limitExcess requests
	// more, in each limitWindow from limitGrace after it first named the limit.
	limitTolerance = 1.5
	limitExcess    = 5
	limitWindow    = 4 * time.Second
	limitGrace     = 4 * time.Second
	// limitLearningTime is the time for which a daemon that has started or was paused may
	// send as many requests as there are callers before it knows the limit.
	limitLearningTime = time.Second
	// maxNamedLimit is the exclusive upper bound of the limits that servers name, in
	// requests per second.
	maxNamedLimit = 8.0
)

// namedLimit is the limit that a backend server names in its answers, and the requests
// that it received since.
type namedLimit struct {
	mu                sync.Mutex
	requestsPerSecond float64
	firstNamedAt      time.Time
	received          []time.Time
}

// set sets the limit in requests per second; zero ends it.
func (l *namedLimit) set(requestsPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestsPerSecond = requestsPerSecond
}

// receive records a request and names the limit in its answer.
func (l *namedLimit) receive(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requestsPerSecond == 0 {
		return
	}
	now := time.Now()
	if l.firstNamedAt.IsZero() {
		l.firstNamedAt = now
	}
	l.received = append(l.received, now)
	platformtest.NameLimit(w, l.requestsPerSecond)
}

// limitServers lets a server of each service name a limit until the faults end. The choice
// depends on the seed alone.
func (r *soakRun) limitServers() {
	random := rand.New(rand.NewPCG(r.options.Seed, 8))
	for _, server := range r.servers[:2] {
		limit := 0.5 + random.Float64()*(maxNamedLimit-0.5)
		r.options.Logf("seed %d: %s names a limit of %.1f requests a second", r.options.Seed, server.Name, limit)
		server.limit.set(limit)
		r.limitedServers = append(r.limitedServers, limitedServer{server: server, requestsPerSecond: limit})
	}
}

// limitedServer is a server that names a limit.
type limitedServer struct {
	server            *backendServer
	requestsPerSecond float64
}

// endLimits ends the limits and checks the requests that the servers received.
func (r *soakRun) endLimits() {
	for _, limited := range r.limitedServers {
		limited.server.limit.set(0)
		l := &limited.server.limit
		l.mu.Lock()
		excess := l.largestExcess(limited.requestsPerSecond, r.interruptions, r.options.Callers)
		l.mu.Unlock()
		if excess > 0 {
			r.checker.addViolation("limit: %s got %d requests more in %s than its limit of %.1f a second allows",
				limited.server.Name, excess, limitWindow, limited.requestsPerSecond)
		}
	}
}

// largestExcess returns by how many the requests in a limitWindow exceeded what is allowed.
// interruptions are the times at which daemons started or went on after a pause.
func (l *namedLimit) largestExcess(limit float64, interruptions []time.Time, callers int) int {
	largest := 0
	for i, begin := range l.received {
		if begin.Before(l.firstNamedAt.Add(limitGrace)) {
			continue
		}
		end := begin.Add(limitWindow)
		allowed, count := int(limitTolerance*limit*limitWindow.Seconds()+limitExcess), 0
		for _, at := range interruptions {
			if at.After(begin.Add(-limitLearningTime)) && at.Before(end) {
				allowed += callers
			}
		}
		for _, at := range l.received[i:] {
			if at.Before(end) {
				count++
			}
		}
		largest = max(largest, count-allowed)
	}
	return largest
}
