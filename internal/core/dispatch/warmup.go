package dispatch

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// warmUpRamp is the time over which the daemons of a fleet lift the bound of a server
	// that has become warm, each at a moment of its own.
	warmUpRamp = time.Second
	// warmUpWindow is the window of the rate that a cold server bears.
	warmUpWindow = time.Second
	// coldSlowdown is the factor by which a cold server is taken to be slower than a
	// usual one, until its answers show how slow it is.
	coldSlowdown = 2.0
	// entryDelay is the time within which a list that is kept up to date shows that a
	// server has become cold: a heartbeat of the server and two ways of the list.
	entryDelay = 2500 * time.Millisecond
	// doubtLifetime is how long a server that failed a call and has not answered since is
	// taken to be cold if the list is up to date. By then the list lacks it unless it is
	// alive, and shows whether it is cold.
	doubtLifetime = 6 * time.Second
	// minStaleDoubt and maxStaleDoubt are the bounds of that time if the list is not up to
	// date. It differs between daemons, so that they don't return together.
	minStaleDoubt = 10 * time.Second
	maxStaleDoubt = 20 * time.Second
)

// ColdReason is why a server is taken to be cold.
type ColdReason string

// The reasons.
const (
	// ColdByEntry means that the server's entry in the list says so.
	ColdByEntry ColdReason = "entry"
	// ColdByStart means that the server started within the warm-up time.
	ColdByStart ColdReason = "started"
	// ColdByJoin means that the server was added to the list.
	ColdByJoin ColdReason = "joined"
	// ColdByFailure means that the server failed a call and may have been started again.
	ColdByFailure ColdReason = "failed"
	// ColdByReturn means that calls to the server's failure domain are permitted again.
	ColdByReturn ColdReason = "domain-returned"
)

// WarmUp is how the backend servers of a service warm up. The zero value is a service
// whose servers are never cold.
type WarmUp struct {
	// Within is how long a server is cold after its start.
	Within time.Duration
	// Rate is the number of requests per second that a cold server takes from all daemons
	// together; zero for any number.
	Rate float64
	// Factor and Excess are how far a cold server bears more in one second: Factor times
	// Rate and Excess more.
	Factor, Excess float64
}

func (w *WarmUp) isBounded() bool {
	return w.Rate > 0
}

func (w *WarmUp) bound() RateBound {
	bound := RateTolerance{Factor: max(w.Factor, 1), Excess: w.Excess, Window: warmUpWindow}.Bound(w.Rate)
	bound.RequiresPeers = true
	return bound
}

// warmth is what a daemon knows of whether a server is cold.
//
// Load pattern: servers that return after an outage have no load and look like the best
// choice to each daemon. What a daemon doesn't know counts as cold, since a server that is
// cold and gets the calls of the whole fleet crashes.
type warmth struct {
	isCold bool
	// coldUntil is when the server will be warm as far as it is known, and reason why it
	// was taken to be cold.
	coldUntil time.Time
	reason    ColdReason
	// joined is true for a server that was listed after others, and observed after its
	// first update.
	joined, observed bool
	// entryColdUntil is the end of the warm-up by the entry that was applied last.
	entryColdUntil time.Time
	// failedAt is when the server last failed a call. It is zero once the server has
	// answered a later call or the doubt is over.
	failedAt time.Time
	within   time.Duration
}

// extend takes the server to be cold at least until the given time.
func (w *warmth) extend(until time.Time, reason ColdReason) {
	if until.After(w.coldUntil) {
		w.coldUntil, w.reason = until, reason
	}
}

// recordFault records the end of a run that was sent at sentAt. A server that can't be
// reached or breaks off may have been started again, and one that is silent may be gone.
func (w *warmth) recordFault(now, sentAt time.Time, fault ports.ServerFault) {
	switch fault {
	case ports.ServerFaultUnreachable, ports.ServerFaultSilent, ports.ServerFaultBroken:
		w.failedAt = now
	case ports.ServerFaultOverloaded, ports.ServerFaultPushedBack, ports.ServerFaultFailed:
		w.recordAnswer(now, sentAt)
	case ports.ServerFaultNone, ports.ServerFaultLeaving:
	}
}

// recordAnswer records an answer to a request that was sent at sentAt. The first one after
// a failure may be the first one after a restart.
func (w *warmth) recordAnswer(now, sentAt time.Time) {
	if w.failedAt.IsZero() || !sentAt.After(w.failedAt) {
		return
	}
	w.failedAt = time.Time{}
	w.extend(now.Add(w.within), ColdByFailure)
}

// observeEntry applies the server's entry in the list. An entry that says for the first
// time that the server is no longer cold is newer than what was known of its start.
func (w *warmth) observeEntry(now time.Time, vm ports.VM) {
	if !w.observed {
		w.observed = true
		w.observeFirst(now, vm)
	}
	if vm.ColdUntil.Equal(w.entryColdUntil) {
		return
	}
	w.entryColdUntil = vm.ColdUntil
	switch {
	case !vm.ColdUntil.IsZero():
		w.extend(vm.ColdUntil, ColdByEntry)
	case w.reason != ColdByFailure && w.reason != ColdByReturn && now.Before(w.coldUntil):
		w.coldUntil = now
	}
}

// observeFirst applies the entry of a server that was not listed before. The servers that
// a daemon finds at its own start are cold only if their entries or starts say so.
func (w *warmth) observeFirst(now time.Time, vm ports.VM) {
	if w.joined {
		w.extend(now.Add(w.within), ColdByJoin)
		return
	}
	if age := now.Sub(time.UnixMilli(vm.StartedMillis)); vm.StartedMillis > 0 && age >= 0 && age < w.within {
		w.extend(now.Add(w.within-age), ColdByStart)
	}
}

// listFreshness is since when the list of servers has been up to date; zero if it isn't.
type listFreshness struct {
	since time.Time
}

// SetListFresh records whether the list of servers is up to date.
func (p *Pool) SetListFresh(now time.Time, isFresh bool) {
	switch {
	case !isFresh:
		p.listFreshness.since = time.Time{}
	case p.listFreshness.since.IsZero():
		p.listFreshness.since = now
	}
}

// SetWarmUp applies the service's configuration of the warm-up.
func (p *Pool) SetWarmUp(warmUp WarmUp) {
	p.warmUp = warmUp
}

// SetColdUntil takes the servers of a failure domain to be cold at least until the given
// time.
func (p *Pool) SetColdUntil(domain ports.FailureDomain, until time.Time) {
	for _, server := range p.servers {
		if server.vm.Domain == domain {
			server.extend(until, ColdByReturn)
		}
	}
}

// WarmUpWithin returns how long a server of the pool is cold after its start.
func (p *Pool) WarmUpWithin() time.Duration {
	return p.warmUp.Within
}

// updateWarmth determines which servers count as cold now.
func (p *Pool) updateWarmth(now time.Time) {
	for _, server := range p.servers {
		server.within = p.warmUp.Within
		server.observeEntry(now, server.vm)
		p.endDoubt(now, server)
		isCold := p.warmUp.isBounded() && p.countsAsCold(now, server)
		if isCold == server.isCold {
			continue
		}
		server.isCold = isCold
		if isCold {
			server.latency.assumeSlow(now)
		}
		p.warmthChanges = append(p.warmthChanges, WarmthChange{VM: server.vm, IsCold: isCold, Reason: server.coldReason()})
	}
}

// countsAsCold reports whether the server counts as cold. Each daemon lifts the bound at a
// moment of its own within warmUpRamp after the warm-up.
//
// Load pattern: all daemons know the same end of a warm-up. If all lifted the bound then,
// they would send their calls to the same idle servers before they learn of each other's.
func (p *Pool) countsAsCold(now time.Time, server *Server) bool {
	if !server.failedAt.IsZero() {
		return true
	}
	return !server.coldUntil.IsZero() && now.Before(server.coldUntil.Add(p.spread(server, warmUpRamp)))
}

// endDoubt ends the doubt about a server that failed a call once the list would show what
// has become of it, or after a long time without a list.
func (p *Pool) endDoubt(now time.Time, server *Server) {
	if server.failedAt.IsZero() {
		return
	}
	age := now.Sub(server.failedAt)
	freshSince := p.listFreshness.since
	isShown := age >= doubtLifetime && !freshSince.IsZero() && now.Sub(freshSince) >= entryDelay
	if isShown || age >= minStaleDoubt+p.spread(server, maxStaleDoubt-minStaleDoubt) {
		server.failedAt = time.Time{}
		server.extend(now, ColdByFailure)
	}
}

// spread returns a part of the time that differs between daemons and between servers.
func (p *Pool) spread(server *Server, whole time.Duration) time.Duration {
	return time.Duration(float64(whole) * float64(mixBits(server.nameHash^p.selfHash)) / math.MaxUint64)
}

func (s *Server) coldReason() ColdReason {
	if !s.failedAt.IsZero() {
		return ColdByFailure
	}
	return s.reason
}

// WarmthChange is a server that has become cold or warm, as far as this daemon knows.
type WarmthChange struct {
	VM     ports.VM
	IsCold bool
	// Reason is why the server is cold, or was.
	Reason ColdReason
}

// TakeWarmthChanges returns the changes since the last call.
func (p *Pool) TakeWarmthChanges() []WarmthChange {
	changes := p.warmthChanges
	p.warmthChanges = nil
	return changes
}

// ColdServers returns the number of servers that count as cold.
func (p *Pool) ColdServers() int {
	count := 0
	for _, server := range p.servers {
		if server.isCold {
			count++
		}
	}
	return count
}
