package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// limitReportInterval is the time after which a limit that a server still names is
	// reported to the other daemons again, for those that have started since.
	limitReportInterval = 2 * time.Second
	// limitReportLifetime is how long a limit that no answer has confirmed, or its end, is
	// reported again, for daemons that could not be reached before.
	limitReportLifetime = 10 * time.Minute
	// minConfirmation is the least time by which a report of a known limit must be newer
	// to count. Reported times are late by the delay of the message: daemons that report
	// the same limit to each other would keep it new for good.
	minConfirmation = time.Second
	// minReturnRate is the least rate, in calls per second, at which one daemon lets
	// refused callers return.
	minReturnRate = 0.05
	// neverFree is the time after which a server is free that this daemon doesn't send
	// to, as others do.
	neverFree = time.Hour
)

// limitNotice is what a server said last about the requests that it takes.
type limitNotice struct {
	limit ports.ServerLimit
	// at is when the answer arrived that said so, here or at another daemon.
	at time.Time
	// reportedAt is when the limit was last reported to other daemons.
	reportedAt time.Time
}

// LimitUpdate is a change of a server's limit that other daemons should know, or its
// confirmation.
type LimitUpdate struct {
	Server        ports.VMName
	StartedMillis int64
	Limit         ports.ServerLimit
	// At is when the server said so.
	At time.Time
}

// limitUpdates are the servers whose limits are to be reported.
type limitUpdates map[serverInstance]bool

// RecordLimit records what an answer, which arrived now, says about the server's limit,
// and reports whether that has changed. An answer that names no limit ends one only if
// its request was sent after the limit was last named: answers to earlier requests may
// have begun before.
func (n *Notices) RecordLimit(now time.Time, vm ports.VM, sentAt time.Time, limit ports.ServerLimit) bool {
	key := instanceOf(vm)
	recorded := n.byInstance[key]
	if !limit.IsSet && (!recorded.limit.limit.IsSet || !sentAt.After(recorded.limit.at)) {
		return false
	}
	changed := limit != recorded.limit.limit
	recorded.limit.limit, recorded.limit.at = limit, now
	if changed || now.Sub(recorded.limit.reportedAt) >= limitReportInterval {
		recorded.limit.reportedAt = now
		n.domainLimits[key], n.crossDomainLimits[key] = true, true
	}
	n.setByKey(now, key, recorded)
	return changed
}

// MergeLimits records limits that another daemon reported; fromDomain says that it
// belongs to this failure domain. It reports whether one has changed.
func (n *Notices) MergeLimits(now time.Time, updates []LimitUpdate, fromDomain bool) bool {
	changed := false
	for _, update := range updates {
		key := serverInstance{name: update.Server, startedMillis: update.StartedMillis}
		recorded := n.byInstance[key]
		isChange := update.Limit != recorded.limit.limit
		newer := update.At.Sub(recorded.limit.at)
		if newer <= 0 || !isChange && newer < minConfirmation {
			continue
		}
		changed = changed || isChange
		recorded.limit.limit, recorded.limit.at = update.Limit, update.At
		n.setByKey(now, key, recorded)
		if fromDomain {
			n.crossDomainLimits[key] = true
		}
	}
	return changed
}

// TakeDomainLimits returns the limits to report to the other daemons of this failure
// domain since the last call.
func (n *Notices) TakeDomainLimits() []LimitUpdate {
	return n.takeLimits(n.domainLimits)
}

// TakeCrossDomainLimits does the same for the other failure domains.
func (n *Notices) TakeCrossDomainLimits() []LimitUpdate {
	return n.takeLimits(n.crossDomainLimits)
}

// QueueLimits queues the known limits and the ends of limits to be reported again. A
// daemon that sends nothing to a server learns of the end of its limit by reports alone,
// and reports may be lost.
func (n *Notices) QueueLimits(now time.Time) {
	for key, recorded := range n.byInstance {
		if at := recorded.limit.at; !at.IsZero() && now.Sub(at) < limitReportLifetime {
			n.domainLimits[key], n.crossDomainLimits[key] = true, true
		}
	}
}

func (n *Notices) takeLimits(queued limitUpdates) []LimitUpdate {
	var updates []LimitUpdate
	for key := range queued {
		recorded := n.byInstance[key].limit
		updates = append(updates, LimitUpdate{
			Server: key.name, StartedMillis: key.startedMillis, Limit: recorded.limit, At: recorded.at,
		})
	}
	clear(queued)
	return updates
}

// limitBound returns the bound of a server that names a limit.
func limitBound(limit float64) RateBound {
	return RateTolerance{Factor: limitTolerance, Excess: limitExcess, Window: limitWindow}.Bound(max(limit, minLimit))
}

// allowance is what this daemon may send to a server whose requests are bounded.
type allowance struct {
	bucket
	bound   RateBound
	share   LimitShare
	version int
}

// ApplyLimits makes the limits of the pool's servers and the bounds of cold ones take
// effect.
func (p *Pool) ApplyLimits(now time.Time, notices *Notices, sharing *LimitSharing) {
	p.daemons = sharing.daemonCount()
	p.updateWarmth(now)
	for _, server := range p.servers {
		named := notices.byInstance[instanceOf(server.vm)].limit.limit
		server.namesLimit = named.IsSet
		switch isBounded := server.isCold && p.warmUp.isBounded(); {
		case named.IsSet && isBounded:
			server.setBound(now, limitBound(named.RequestsPerSecond).stricter(p.warmUp.bound()), sharing)
		case named.IsSet:
			server.setBound(now, limitBound(named.RequestsPerSecond), sharing)
		case isBounded:
			server.setBound(now, p.warmUp.bound(), sharing)
		default:
			server.allowance = nil
		}
	}
}

// setBound sets the bound on the server's requests. A server that had none has had its
// requests already: its allowance begins empty.
func (s *Server) setBound(now time.Time, bound RateBound, sharing *LimitSharing) {
	a := s.allowance
	if a == nil {
		a = &allowance{bucket: bucket{updatedAt: now}}
		s.allowance = a
	}
	if a.bound == bound && a.version == sharing.version {
		return
	}
	a.refill(now, a.share.Rate, a.share.Burst)
	a.bound, a.version = bound, sharing.version
	a.share = sharing.ShareOf(s.vm, bound)
}

// freeAt returns the time from which the server takes calls of this daemon, as far as its
// pause and the bound on its requests tell; a time before now if it does so now.
func (s *Server) freeAt(now time.Time) time.Time {
	if s.allowance == nil {
		return s.pausedUntil
	}
	if free := s.allowance.freeAt(now); free.After(s.pausedUntil) {
		return free
	}
	return s.pausedUntil
}

// freeAt returns the time from which one more request may be sent.
func (a *allowance) freeAt(now time.Time) time.Time {
	a.refill(now, a.share.Rate, a.share.Burst)
	switch missing := 1 - a.credit; {
	case missing <= 0:
		return time.Time{}
	case a.share.Rate <= 0:
		return now.Add(neverFree)
	default:
		return now.Add(secondsToDuration(missing / a.share.Rate))
	}
}

// spendAllowance counts a request that is sent to the server. It returns the allowance
// that the request takes from; nil if the server's requests are not bounded.
func (s *Server) spendAllowance() *allowance {
	if s.allowance != nil {
		s.allowance.credit--
	}
	return s.allowance
}

// ReturnUnsent gives back what a call that was not sent took of its server's allowance.
func (b *Booking) ReturnUnsent() {
	if b.allowance != nil {
		b.allowance.credit++
	}
}

// ShareOfLimit returns this daemon's share of the limit of a server; false if the server
// names none.
func (p *Pool) ShareOfLimit(server ports.VMName) (LimitShare, bool) {
	s := p.findServer(server)
	if s == nil || !s.namesLimit {
		return LimitShare{}, false
	}
	return s.allowance.share, true
}

// LimitedServers returns the number of servers that name a limit.
func (p *Pool) LimitedServers() int {
	count := 0
	for _, server := range p.servers {
		if server.namesLimit {
			count++
		}
	}
	return count
}

// HasLimit reports whether the requests of a server of the work's regions are bounded that
// isn't leaving. A nil work stands for any.
func (p *Pool) HasLimit(work *Work) bool {
	return p.limitSum(work) > 0
}

// limitSum returns the sum of the bounds of the servers in the work's regions, in requests
// per second.
func (p *Pool) limitSum(work *Work) float64 {
	sum := 0.0
	for _, server := range p.servers {
		if server.allowance != nil && server.takesNewCalls() && (work == nil || work.regions.Allows(server.vm.Region)) {
			sum += server.allowance.bound.Rate
		}
	}
	return sum
}

// BoundedWait returns how long the bounds on the requests of the servers that may run the work
// keep it waiting behind the given number of calls; zero if a server has no bound.
func (p *Pool) BoundedWait(now time.Time, work *Work, ahead int) time.Duration {
	missing, rate := float64(ahead+1), 0.0
	for _, server := range p.servers {
		if !server.takesNewCalls() || !server.mayRun(work) {
			continue
		}
		a := server.allowance
		if a == nil {
			return 0
		}
		a.refill(now, a.share.Rate, a.share.Burst)
		missing -= a.credit
		rate += a.share.Rate
	}
	if missing <= 0 || rate == 0 {
		return 0
	}
	return secondsToDuration(missing / rate)
}

// RetryAfterLimit returns the time after which a caller should retry that was refused
// because the requests of all servers are bounded, given the time until its deadline.
//
// Load pattern: far more callers are refused than the servers take per second. If all were
// told of the next free place, they would return together for it. Each is therefore told a
// time of its own: the daemons together let as many return per second as the servers take.
// A caller whose time comes after its deadline won't return, and takes no place.
func (p *Pool) RetryAfterLimit(now time.Time, work *Work, remaining time.Duration) time.Duration {
	rate := max(p.limitSum(work)/float64(max(p.daemons, 1)), minReturnRate)
	next := now
	if p.nextReturn.After(now) {
		next = p.nextReturn
	}
	next = next.Add(secondsToDuration(1 / rate))
	after := next.Sub(now)
	if after < remaining {
		p.nextReturn = next
	}
	return after
}

// UsableCapacity returns what is left of the configured capacity of the pool's engines, in
// tokens per second, while the requests of some are bounded or some are evacuated; zero for
// plain services. perEngine is the configured capacity of one engine.
//
// Load pattern: limited engines run a fraction of the calls that they could. By the
// configured capacity every workspace would be within its fair share, and those with the
// most calls would get the most of what is left.
func (p *Pool) UsableCapacity(perEngine float64) float64 {
	capacity := 0.0
	for _, server := range p.servers {
		switch {
		case !p.isEngine, server.isEvacuated:
		case server.allowance != nil:
			capacity += min(perEngine, server.allowance.bound.Rate*p.meanTokens)
		default:
			capacity += perEngine
		}
	}
	return capacity
}
