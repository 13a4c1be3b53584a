package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// What it costs to leave the best place, in time to the first byte.
const (
	// fetchCost is the cost of a server that has to fetch the shared part, and
	// awayFromHome that of one that has to read it and is not its home.
	fetchCost    = 120 * time.Millisecond
	awayFromHome = 60 * time.Millisecond
	// otherDomain and otherRegion are the costs of links that are billed.
	otherDomain = 10 * time.Millisecond
	otherRegion = 80 * time.Millisecond
	// failureCost is the cost of a server all of whose runs fail, as a part of
	// the call's target.
	failureCost = 2.0
)

// silentAfter is the time without a first byte from which a server counts as
// silent, whatever waits there.
const silentAfter = 1500 * time.Millisecond

// Pool holds the backend servers of one service.
type Pool struct {
	engine  bool
	self    ports.VM
	memory  int
	servers []*Server
	kept    keptTable
	// spare is the part of the allowed queue for workspaces above their share.
	spare float64
	usual
	// homeBuffer is reused by homes.
	homeBuffer []*Server
}

// NewPool returns a pool without servers as the daemon of the given VM sees it.
func NewPool(self ports.VM) *Pool {
	return &Pool{self: self, kept: newKeptTable(), spare: mostSpare}
}

// SetService takes over what the configuration says of the service: whether it
// consists of engines, and the memory of one in tokens, zero for unknown.
func (p *Pool) SetService(engine bool, memory int) {
	p.engine, p.memory = engine, memory
}

// SetServers replaces the list of backend servers. A server that started again
// holds nothing of before.
func (p *Pool) SetServers(vms []ports.VM) {
	next := make([]*Server, 0, len(vms))
	for _, vm := range vms {
		server := p.find(vm.Name)
		if server == nil || server.vm.StartedMillis != vm.StartedMillis || server.engine != p.engine {
			server = &Server{engine: p.engine, model: newModel(p.engine)}
		}
		server.vm = vm
		server.distance = distance(p.self, vm)
		server.nameHash = xxhash.Sum64String(string(vm.Name))
		next = append(next, server)
	}
	for _, server := range p.servers {
		server.gone = !slices.Contains(next, server)
	}
	slices.SortFunc(next, func(a, b *Server) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
	p.servers = next
}

// SetOthers replaces the loads from the other daemons.
func (p *Pool) SetOthers(service ports.ServiceName, loads map[ServerKey]Load) {
	for _, server := range p.servers {
		server.others = loads[ServerKey{Service: service, Server: server.vm.Name}]
	}
}

// Servers returns the servers by name. The result must not be changed.
func (p *Pool) Servers() []*Server {
	return p.servers
}

// VMs returns the servers' VMs by name.
func (p *Pool) VMs() []ports.VM {
	vms := make([]ports.VM, 0, len(p.servers))
	for _, server := range p.servers {
		vms = append(vms, server.vm)
	}
	return vms
}

func (p *Pool) find(name ports.VMName) *Server {
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

// Choice is a server for a call.
type Choice struct {
	Server *Server
	// Expected is the predicted time to the first byte, Alone what it would be
	// if nothing else waited.
	Expected, Alone time.Duration
	// Holder is another server that probably keeps the shared part; nil when
	// nothing is shared.
	Holder *Server
	// cost is the expected time with what else speaks against the server.
	cost time.Duration
	// tokens are the prompt tokens that the server has to read.
	tokens int
}

// Choose returns the server on which the call should run: of those that the
// terms admit, the one with the least predicted time to the first byte, where
// leaving a prompt's home, the failure domain or the region counts as time. When
// none is admitted, it returns the least of all and says so. The server is nil
// when none takes calls.
func (p *Pool) Choose(now time.Time, work *Work, terms Terms) (Choice, bool) {
	homes := p.homes(work)
	failing := p.leastFailing(now)
	p.see(work)
	terms.spare, terms.queue = p.spare, p.queue(work)
	var best, cheapest Choice
	for _, server := range p.servers {
		if !server.takes(now, work) {
			continue
		}
		choice := p.weigh(now, work, server, &homes, &terms, failing)
		if cheapest.Server == nil || choice.cost < cheapest.cost {
			cheapest = choice
		}
		if (best.Server == nil || choice.cost < best.cost) && terms.admit(choice, work) {
			best = choice
		}
	}
	if cheapest.Server != nil && terms.Overuse <= 1 && !terms.Always {
		p.feelLoad(cheapest)
	}
	if best.Server == nil {
		return cheapest, false
	}
	return best, true
}

// weigh predicts how a call fares on one server.
func (p *Pool) weigh(
	now time.Time, work *Work, server *Server, homes *homes, terms *Terms, failing float64,
) Choice {
	choice := Choice{Server: server, tokens: work.OwnTokens, cost: server.linkCost()}
	if homes.key != 0 {
		choice.Holder = p.kept.holder(now, homes.key, server)
		switch {
		case p.kept.by(now, homes.key, server):
		case choice.Holder != nil:
			choice.tokens += int(fetchedPart * float64(work.SharedTokens))
			choice.cost += fetchCost
		default:
			choice.tokens += work.SharedTokens
			if !homes.has(server) {
				choice.cost += awayFromHome
			}
		}
	}
	choice.Expected = server.expect(now, choice.tokens, terms.slotPart())
	choice.Alone = server.model.expect(now, choice.tokens)
	if !server.hasMemory(p.memory, work.OwnTokens+work.OutputTokens) {
		choice.Expected += work.Target
	}
	choice.cost += choice.Expected + server.failurePenalty(now, failing, work)
	return choice
}

func (s *Server) linkCost() time.Duration {
	switch s.distance {
	case ports.DistanceSameDomain:
		return 0
	case ports.DistanceSameRegion:
		return otherDomain
	default:
		return otherRegion
	}
}

// failurePenalty makes a server that fails more often than the best one less
// attractive.
func (s *Server) failurePenalty(now time.Time, least float64, work *Work) time.Duration {
	excess := s.health.failureShare(now) - least
	return time.Duration(failureCost * max(excess, 0) * float64(work.Target))
}

// leastFailing is the share of failed runs of the best server.
func (p *Pool) leastFailing(now time.Time) float64 {
	least := 1.0
	for _, server := range p.servers {
		least = min(least, server.health.failureShare(now))
	}
	return least
}

// Take books a call on the chosen server and returns what it adds to the load.
func (p *Pool) Take(now time.Time, choice Choice, work *Work) *Booking {
	server := choice.Server
	tokens := choice.tokens
	booking := &Booking{
		server: server, sent: now, tokens: tokens,
		behind: server.own.Waiting + server.others.Waiting + tokens,
		load:   Load{Calls: 1, Waiting: tokens, Memory: work.OwnTokens + work.OutputTokens},
	}
	server.own = server.own.Add(booking.load)
	server.pending = append(server.pending, now)
	p.kept.ran(now, partKey(work.SharedKey), work.SharedTokens, server)
	return booking
}

// Booking is the load of one call on one server.
type Booking struct {
	server *Server
	sent   time.Time
	// tokens are the call's own prompt tokens to read, behind those with all
	// that waited before it.
	tokens, behind int
	load           Load
	begun          bool
}

// Begun tells that the first byte of the answer came.
func (b *Booking) Begun(now time.Time) {
	if b.begun {
		return
	}
	b.begun = true
	b.settle()
	b.server.model.measured(now, b.behind, now.Sub(b.sent))
}

// settle takes the prompt out of what waits.
func (b *Booking) settle() {
	b.server.own.Waiting -= b.load.Waiting
	b.load.Waiting = 0
	b.server.forget(b.sent)
}

// Ended tells that the call ended, and what it showed of the server. It returns
// what that changed.
func (b *Booking) Ended(now time.Time, fault ports.ServerFault) HealthChange {
	before := b.server.health.trial
	if b.begun && fault == ports.ServerFaultNone {
		b.server.model.ran(now.Sub(b.sent))
	}
	if !b.begun {
		b.settle()
		fault = b.gaveUp(now, fault)
	}
	b.server.own.Calls -= b.load.Calls
	b.server.own.Memory -= b.load.Memory
	b.load = Load{}
	if b.begun || fault != ports.ServerFaultNone {
		b.server.health.ended(now, fault)
	}
	return healthChange(before, b.server.health.trial)
}

// gaveUp learns from a call that ended without a byte because nobody waited for
// it any longer: its time is the least that the first byte would have taken.
func (b *Booking) gaveUp(now time.Time, fault ports.ServerFault) ports.ServerFault {
	waited := now.Sub(b.sent)
	if fault != ports.ServerFaultNone || waited <= b.server.model.expect(now, b.behind) {
		return fault
	}
	b.server.model.measured(now, b.behind, waited)
	if waited >= silentAfter {
		return ports.ServerFaultSilent
	}
	return fault
}
