package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// Placement costs, added to the predicted time to the first byte.
const (
	// prefixFetchCost is the cost of a server that has to fetch the prompt
	// prefix from another, and nonPreferredCost that of one that has to process
	// the prefix and is not a preferred server for it.
	prefixFetchCost  = 120 * time.Millisecond
	nonPreferredCost = 60 * time.Millisecond
	// crossDomainCost and crossRegionCost are the costs of links that are
	// billed.
	crossDomainCost = 10 * time.Millisecond
	crossRegionCost = 80 * time.Millisecond
	// failureCostFactor is the cost of a server all of whose runs fail, in
	// multiples of the call's FirstTokenWithin.
	failureCostFactor = 2.0
)

// silentThreshold is the time without a first byte from which a server counts
// as silent, however much is queued there.
const silentThreshold = 1500 * time.Millisecond

// Pool holds the backend servers of one service.
type Pool struct {
	isEngine bool
	// typical are the times that the servers show.
	typical      *typicalTimes
	self         ports.VM
	selfHash     uint64
	memoryTokens int
	servers      []*Server
	prefixes     prefixTable
	// shortestTarget is the shortest target of the classes whose calls reach the service;
	// zero for unknown.
	shortestTarget time.Duration
	// evacuated are the evacuated failure domains.
	evacuated EvacuatedDomains
	// meanTokens is the mean cost of a call in tokens.
	meanTokens  float64
	longPrompts longPromptStats
	// meanSecondsPerToken is the servers' mean time to read a prompt token.
	meanSecondsPerToken float64
	// daemons is the number of daemons that share the bounds on the servers' requests, and
	// nextReturn the time given to the last caller that was refused because of them.
	daemons    int
	nextReturn time.Time
	// warmUp is how the servers warm up, and warmthChanges what has changed since
	// TakeWarmthChanges.
	warmUp        WarmUp
	warmthChanges []WarmthChange
	listFreshness listFreshness
	// shares are what the workspaces get of the service.
	shares *ShareTracker
	// isListed is true once a list with servers was set.
	isListed bool
	// spillover is nil where each call is placed by itself.
	spillover *poolSpillover
	// preferredBuffer is reused by preferredServers.
	preferredBuffer []*Server
}

// NewPool returns a pool without servers, as seen from the daemon on the VM
// self.
func NewPool(self ports.VM) *Pool {
	return &Pool{
		self: self, selfHash: xxhash.Sum64String(string(self.Name)), prefixes: newPrefixTable(),
		meanSecondsPerToken: defaultEnginePerToken.Seconds(), shares: NewShareTracker(), typical: newTypicalTimes(false),
	}
}

// SetService applies the service's configuration: whether its servers are
// engines, and the memory of one in tokens, zero for unknown.
func (p *Pool) SetService(isEngine bool, memoryTokens int) {
	if p.typical == nil || p.isEngine != isEngine {
		p.typical = newTypicalTimes(isEngine)
	}
	p.isEngine, p.memoryTokens = isEngine, memoryTokens
}

// SetShortestTarget sets the shortest target of the classes whose calls reach the service;
// zero for unknown.
func (p *Pool) SetShortestTarget(target time.Duration) {
	p.shortestTarget = target
}

// SetServers replaces the list of backend servers. A server that has restarted
// loses its recorded load, latency, health and cached prefixes.
func (p *Pool) SetServers(vms []ports.VM) {
	next := make([]*Server, 0, len(vms))
	for _, vm := range vms {
		server := p.findServer(vm.Name)
		if server == nil || server.vm.StartedMillis != vm.StartedMillis || server.isEngine != p.isEngine {
			server = &Server{isEngine: p.isEngine, latency: newLatencyModel(p.isEngine, p.typical)}
			server.joined = p.isListed
		}
		server.vm = vm
		server.distance = distance(p.self, vm)
		server.nameHash = xxhash.Sum64String(string(vm.Name))
		next = append(next, server)
	}
	for _, server := range p.servers {
		server.removed = !slices.Contains(next, server)
	}
	slices.SortFunc(next, func(a, b *Server) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
	p.servers, p.isListed = next, p.isListed || len(next) > 0
	p.applyEvacuated()
	p.assignLongPromptServers()
}

// Shares returns what the workspaces demand and get of the service. Each service is shared by
// itself: what a workspace gets of another one takes nothing from those that wait here.
func (p *Pool) Shares() *ShareTracker {
	return p.shares
}

// SetPeerLoads replaces the loads that the other daemons put on the servers.
func (p *Pool) SetPeerLoads(service ports.ServiceName, loads map[ServerKey]Load) {
	for _, server := range p.servers {
		server.peerLoad = loads[ServerKey{Service: service, Server: server.vm.Name}]
	}
}

// Servers returns the servers, sorted by name. The result must not be modified.
func (p *Pool) Servers() []*Server {
	return p.servers
}

// VMs returns the servers' VMs, sorted by name.
func (p *Pool) VMs() []ports.VM {
	vms := make([]ports.VM, 0, len(p.servers))
	for _, server := range p.servers {
		vms = append(vms, server.vm)
	}
	return vms
}

// HasCalls reports whether this daemon has calls in progress on the servers.
func (p *Pool) HasCalls() bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return s.ownLoad.Calls > 0 })
}

// HasServerFor reports whether the list has a server that may run the call, whether or
// not its health and load permit that now.
func (p *Pool) HasServerFor(work *Work) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return s.mayRun(work) })
}

// SoftwareVersions returns the distinct software versions of all servers in the list,
// leaving ones included, in ascending order.
func (p *Pool) SoftwareVersions() []string {
	versions := make([]string, 0, len(p.servers))
	for _, server := range p.servers {
		versions = append(versions, server.vm.SoftwareVersion)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

func (p *Pool) findServer(name ports.VMName) *Server {
	at, ok := slices.BinarySearchFunc(p.servers, name, func(s *Server, name ports.VMName) int {
		return cmp.Compare(s.vm.Name, name)
	})
	if !ok {
		return nil
	}
	return p.servers[at]
}

func distance(self, vm ports.VM) ports.Distance {
	switch {
	case self.Domain == vm.Domain:
		return ports.DistanceSameDomain
	case self.Region == vm.Region:
		return ports.DistanceSameRegion
	default:
		return ports.DistanceCrossRegion
	}
}

// Choice is a candidate server for a call.
type Choice struct {
	Server *Server
	// ExpectedFirstByte is the predicted time to the first byte, ExpectedIdle
	// the same on a warm server without other load.
	ExpectedFirstByte, ExpectedIdle time.Duration
	// hasMemory reports whether the call fits into the server's memory.
	hasMemory bool
	// CacheHolder is another server that probably has the prompt prefix cached;
	// nil when there is none or the prompt has no prefix.
	CacheHolder *Server
	// totalCost is the expected time plus the placement costs of the server.
	totalCost time.Duration
	// tokensToRead is the number of prompt tokens that the server has to
	// process.
	tokensToRead int
}

// ChooseForArrival chooses a server as Choose does, for a call that has just arrived.
// It also counts the call in the pool's averages. A call that waits, or that is refused, is counted by this alone; one that is
// sent again after a failed run counts again.
func (p *Pool) ChooseForArrival(now time.Time, work *Work, terms AdmissionTerms) (Choice, bool) {
	p.ObserveArrival(now, work)
	return p.Choose(now, work, terms)
}

// ObserveArrival counts a call that has just arrived in the pool's averages.
func (p *Pool) ObserveArrival(now time.Time, work *Work) {
	p.observe(work)
	p.observeLongPrompt(work)
	if p.spillover != nil {
		p.spillover.observeDemand(now, work)
	}
}

// Choose returns the server on which the call should run, and true: the
// admitted one with the lowest cost, which is the predicted time to the first
// byte plus penalties for leaving the prefix's preferred server, the failure
// domain or the region, and for failed runs. When no server admits the call, it
// returns the one with the lowest cost and false. The choice's Server is nil
// when no server accepts calls.
func (p *Pool) Choose(now time.Time, work *Work, terms AdmissionTerms) (Choice, bool) {
	return admittedOr(p.choose(now, work, terms))
}

// ChooseReplacement chooses a server for a call whose run is to be abandoned for it. It
// returns false if no server is expected to answer before the caller leaves.
//
// Load pattern: while servers are silent, the others have long queues. A run that is moved
// to the end of one answers no sooner, and is then moved again.
func (p *Pool) ChooseReplacement(now time.Time, work *Work, terms AdmissionTerms) (Choice, bool) {
	choice, ok := p.Choose(now, work, terms)
	return choice, ok && (work.FirstByteWithin == 0 || terms.Waited+choice.ExpectedFirstByte <= work.FirstByteWithin)
}

// admittedOr returns the choice best and true, or cheapest and false if best has no
// server.
func admittedOr(best, cheapest Choice) (Choice, bool) {
	if best.Server == nil {
		return cheapest, false
	}
	return best, true
}

// choose returns the admitted server with the lowest cost, and that with the lowest
// cost of all that accept calls.
func (p *Pool) choose(now time.Time, work *Work, terms AdmissionTerms) (best, cheapest Choice) {
	lowestFailureRate := p.lowestFailureRate(now)
	work.isLongPrompt = p.isLongPrompt(work)
	p.setDestination(now, work)
	preferred := p.preferredServers(work)
	for _, server := range p.servers {
		if !server.accepts(now, work) {
			continue
		}
		choice := p.evaluate(now, work, server, &preferred, lowestFailureRate)
		if cheapest.Server == nil || choice.totalCost < cheapest.totalCost {
			cheapest = choice
		}
		if (best.Server == nil || choice.totalCost < best.totalCost) && terms.admits(choice, work, p.queueLimit(now, server, work, terms.Excess)) {
			best = choice
		}
	}
	return best, cheapest
}

// evaluate predicts the time to the first byte and the cost of a call on one
// server.
func (p *Pool) evaluate(
	now time.Time, work *Work, server *Server, preferredServers *preferredServers, lowestFailureRate float64,
) Choice {
	choice := Choice{Server: server, tokensToRead: work.UniqueTokens, totalCost: p.linkCost(server, work)}
	if preferredServers.prefix != 0 {
		choice.CacheHolder = p.prefixes.cacheHolder(now, preferredServers.prefix, server, work.regions)
		switch {
		case p.prefixes.isCachedOn(now, preferredServers.prefix, server):
		case choice.CacheHolder != nil:
			choice.tokensToRead += int(prefixFetchFraction * float64(work.PrefixTokens))
			choice.totalCost += prefixFetchCost
		default:
			choice.tokensToRead += work.PrefixTokens
			if !preferredServers.contains(server) {
				choice.totalCost += nonPreferredCost
			}
		}
	}
	choice.ExpectedFirstByte = server.predictFirstByte(now, choice.tokensToRead)
	choice.ExpectedIdle = server.predictIdle(now, choice.tokensToRead)
	if choice.hasMemory = server.hasMemoryFor(p.memoryTokens, work.UniqueTokens+work.OutputTokens); !choice.hasMemory {
		choice.totalCost += work.FirstTokenWithin
	}
	choice.totalCost += time.Duration(p.separationCost(server, work, work.isLongPrompt))
	choice.totalCost += choice.ExpectedFirstByte + server.failurePenalty(now, lowestFailureRate, work)
	return choice
}

func (s *Server) linkCost() time.Duration {
	switch s.distance {
	case ports.DistanceSameDomain:
		return 0
	case ports.DistanceSameRegion:
		return crossDomainCost
	default:
		return crossRegionCost
	}
}

// failurePenalty returns the cost of failing more often than the server with
// the lowest failure rate.
func (s *Server) failurePenalty(now time.Time, lowestRate float64, work *Work) time.Duration {
	excess := s.health.failureRate(now) - lowestRate
	return time.Duration(failureCostFactor * max(excess, 0) * float64(work.FirstTokenWithin))
}

// lowestFailureRate returns the failure rate of the server that fails least.
func (p *Pool) lowestFailureRate(now time.Time) float64 {
	lowest := 1.0
	for _, server := range p.servers {
		lowest = min(lowest, server.health.failureRate(now))
	}
	return lowest
}

// Book adds the call's load to the chosen server and returns the booking that
// tracks it.
func (p *Pool) Book(now time.Time, choice Choice, work *Work) *Booking {
	booking := p.BookReplacement(now, choice, work)
	p.prefixes.recordCall(now, hashPrefixID(work.PrefixID), work.PrefixTokens, choice.Server)
	return booking
}

// BookReplacement does the same for a call that may not be sent after all, because the
// run that it replaces may end first. The server doesn't count as one that has the prompt
// prefix cached.
func (p *Pool) BookReplacement(now time.Time, choice Choice, work *Work) *Booking {
	server := choice.Server
	promptTokens := choice.tokensToRead
	booking := &Booking{
		server: server, sentAt: now, promptTokens: promptTokens,
		pendingTokens: server.ownLoad.PendingTokens + server.peerLoad.PendingTokens + promptTokens,
		load:          Load{Calls: 1, PendingTokens: promptTokens, MemoryTokens: work.UniqueTokens + work.OutputTokens},
	}
	server.ownLoad = server.ownLoad.Add(booking.load)
	server.pendingSince = append(server.pendingSince, now)
	booking.allowance = server.spendAllowance()
	return booking
}

// Booking tracks the load of one call on one server.
type Booking struct {
	server *Server
	sentAt time.Time
	// promptTokens is the number of prompt tokens that the call itself adds,
	// pendingTokens the same plus all that were pending before it.
	promptTokens, pendingTokens int
	load                        Load
	// allowance is what the call took from; nil if nothing.
	allowance    *allowance
	hasFirstByte bool
}

// RecordFirstByte records that the first byte of the answer arrived.
func (b *Booking) RecordFirstByte(now time.Time) {
	if b.hasFirstByte {
		return
	}
	b.hasFirstByte = true
	b.server.recordAnswer(now, b.sentAt)
	b.removePending()
	b.server.latency.observeFirstByte(now, b.pendingTokens, now.Sub(b.sentAt))
}

// removePending subtracts the call's prompt from the server's pending tokens.
func (b *Booking) removePending() {
	b.server.ownLoad.PendingTokens -= b.load.PendingTokens
	b.load.PendingTokens = 0
	b.server.removePending(b.sentAt)
}

// RecordEnd records the end of the call and the fault that the server showed,
// and releases the booked load. It returns the resulting change of the server's
// health.
func (b *Booking) RecordEnd(now time.Time, fault ports.ServerFault) HealthChange {
	wasOnProbation := b.server.health.onProbation
	if b.hasFirstByte && fault == ports.ServerFaultNone {
		b.server.latency.observeRun(now.Sub(b.sentAt))
	}
	if !b.hasFirstByte {
		b.removePending()
		fault = b.recordAbandoned(now, fault)
	}
	b.server.ownLoad.Calls -= b.load.Calls
	b.server.ownLoad.MemoryTokens -= b.load.MemoryTokens
	b.load = Load{}
	if b.hasFirstByte || fault != ports.ServerFaultNone {
		b.server.recordFault(now, b.sentAt, fault)
		b.server.health.recordRun(now, fault)
	}
	return healthChangeOf(wasOnProbation, b.server.health.onProbation)
}

// recordAbandoned updates the model from a call that ended without a byte
// because the caller no longer waited: the elapsed time is a lower bound of the
// time to the first byte. It returns the fault to record.
func (b *Booking) recordAbandoned(now time.Time, fault ports.ServerFault) ports.ServerFault {
	waited := now.Sub(b.sentAt)
	if fault != ports.ServerFaultNone || waited <= b.server.latency.predictFirstByte(now, b.pendingTokens) {
		return fault
	}
	b.server.latency.observeFirstByte(now, b.pendingTokens, waited)
	if waited >= silentThreshold {
		return ports.ServerFaultSilent
	}
	return fault
}
