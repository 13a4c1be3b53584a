package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// EvacuatedDomains holds the failure domains whose backend servers get no calls, with the
// time since when that is known.
type EvacuatedDomains map[ports.FailureDomain]time.Time

// Load pattern: a failure domain of six is evacuated under full load. Its servers keep
// the streams that they run; all new work, retries and calls that wait move to the others
// at once, whose capacity is now the fleet's. If calls were to find out server by server,
// or shares still counted the evacuated servers, the others would be flooded meanwhile.

const (
	// minEvacuationRetryAfter and maxEvacuationRetryAfter bound the time after which a
	// caller should retry all of whose servers are evacuated. An operator takes an
	// evacuation back after seconds at the least.
	minEvacuationRetryAfter = 2 * time.Second
	maxEvacuationRetryAfter = 4 * time.Second
)

// SetEvacuated sets the evacuated failure domains. Their servers get no further calls;
// those that they run go on.
func (p *Pool) SetEvacuated(domains EvacuatedDomains) {
	p.evacuated = domains
	p.applyEvacuated()
}

// applyEvacuated sets the servers' flags.
func (p *Pool) applyEvacuated() {
	changed := false
	for _, server := range p.servers {
		_, isEvacuated := p.evacuated[server.vm.Domain]
		changed = changed || isEvacuated != server.isEvacuated
		server.isEvacuated = isEvacuated
	}
	if changed {
		p.assignLongPromptServers()
	}
}

// takesNewCalls reports whether the server takes new calls, as far as operators and the
// server itself tell: it is neither leaving nor evacuated.
func (s *Server) takesNewCalls() bool {
	return !s.isLeaving() && !s.isEvacuated
}

// IsEvacuatedFor reports whether evacuations keep the work from all servers that could
// run it.
func (p *Pool) IsEvacuatedFor(work *Work) bool {
	found := false
	for _, server := range p.servers {
		if server.mayRun(work) {
			return false
		}
		found = found || server.isEvacuated && server.suits(work)
	}
	return found
}

// Running returns the number of calls that run on the servers of a failure domain: those
// of this daemon, and those of the daemons that report their loads to it.
func (p *Pool) Running(domain ports.FailureDomain) (own, elsewhere int) {
	for _, server := range p.servers {
		if server.vm.Domain == domain {
			own += server.ownLoad.Calls
			elsewhere += server.peerLoad.Calls
		}
	}
	return own, elsewhere
}

// RetryAfterEvacuation returns the time after which a caller should retry all of whose
// servers are evacuated, given a random number from 0 to 1. The retries are spread, so that
// callers don't return together.
func RetryAfterEvacuation(random float64) time.Duration {
	spread := maxEvacuationRetryAfter - minEvacuationRetryAfter
	return minEvacuationRetryAfter + time.Duration(random*float64(spread))
}

// EvacuationChange is the begin or the end of an evacuation.
type EvacuationChange struct {
	Domain ports.FailureDomain
	Ended  bool
	// Since is when the evacuation became known.
	Since time.Time
}

// ChangesFrom returns what changed since the set before. An evacuation that was taken
// back and begun again in between is no change.
func (d EvacuatedDomains) ChangesFrom(before EvacuatedDomains) []EvacuationChange {
	var changes []EvacuationChange
	for domain, since := range d {
		if _, known := before[domain]; !known {
			changes = append(changes, EvacuationChange{Domain: domain, Since: since})
		}
	}
	for domain, since := range before {
		if _, still := d[domain]; !still {
			changes = append(changes, EvacuationChange{Domain: domain, Since: since, Ended: true})
		}
	}
	return changes
}
