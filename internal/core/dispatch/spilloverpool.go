package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

const (
	// answerBytesPerToken is the size of a generated token in an answer, callHeaderBytes
	// that of the headers of a request and its answer.
	answerBytesPerToken = 8
	callHeaderBytes     = 1000
	// demandLifetime is how long the demand that another domain reported counts. A domain
	// that falls silent gets no flow from then on until forgetDomainAfter.
	demandLifetime    = 3 * time.Second
	forgetDomainAfter = 10 * time.Second
)

// poolSpillover is the spillover of one service as one daemon sees it.
type poolSpillover struct {
	terms  configuration.Spillover
	flows  *Spillover
	demand demandMeter
	// reports are the demands that other daemons of this domain, and other domains,
	// reported.
	reports map[Source]reportedDemand
	// mean is the mean of the calls of this daemon.
	mean MeanCall
	// home and others are the loads of the last update; others are in order of name.
	home   DomainLoad
	others []DomainLoad
}

type reportedDemand struct {
	demand     float64
	receivedAt time.Time
}

// demandMeter holds an exponentially decaying sum of what calls ask for.
type demandMeter struct {
	sum       float64
	updatedAt time.Time
}

func (d *demandMeter) decay(now time.Time) {
	d.sum *= math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds() / rateDecayTime.Seconds())
	d.updatedAt = now
}

// SetSpillover applies the terms of the configuration; nil places each call by itself.
func (p *Pool) SetSpillover(terms *configuration.Spillover) {
	switch {
	case terms == nil:
		p.spillover = nil
	case p.spillover == nil || p.spillover.terms != *terms:
		p.spillover = &poolSpillover{terms: *terms, flows: NewSpillover(*terms), reports: make(map[Source]reportedDemand)}
	}
}

// observeDemand counts a call that has arrived.
func (s *poolSpillover) observeDemand(now time.Time, work *Work) {
	s.demand.decay(now)
	s.demand.sum += work.Demand()
	if s.mean.FirstTokenWithin == 0 {
		s.mean = MeanCall{FirstTokenWithin: work.FirstTokenWithin, Bytes: work.bytes()}
	}
	s.mean.FirstTokenWithin += time.Duration(callSampleWeight * float64(work.FirstTokenWithin-s.mean.FirstTokenWithin))
	s.mean.Bytes += callSampleWeight * (work.bytes() - s.mean.Bytes)
}

// Demand returns what the call asks for: tokens of an engine, or one call.
func (w *Work) Demand() float64 {
	if w.ForEngine {
		return w.CostTokens()
	}
	return 1
}

// bytes returns the size of the request and its probable answer.
func (w *Work) bytes() float64 {
	return float64(w.BodyBytes + callHeaderBytes + answerBytesPerToken*w.OutputTokens)
}

// OwnDemand returns what this daemon's callers ask for, per second; zero without spillover.
func (p *Pool) OwnDemand(now time.Time) float64 {
	if p.spillover == nil {
		return 0
	}
	p.spillover.demand.decay(now)
	return p.spillover.demand.sum / rateDecayTime.Seconds()
}

// DomainDemand returns the same for all daemons of this failure domain.
func (p *Pool) DomainDemand(now time.Time) float64 {
	if p.spillover == nil {
		return 0
	}
	sum := p.OwnDemand(now)
	for source, report := range p.spillover.reports {
		if source.Domain == "" && now.Sub(report.receivedAt) <= demandLifetime {
			sum += report.demand
		}
	}
	return sum
}

// SetReportedDemand replaces the demand that a source reported.
func (p *Pool) SetReportedDemand(now time.Time, source Source, demand float64) {
	if p.spillover != nil {
		p.spillover.reports[source] = reportedDemand{demand: demand, receivedAt: now}
	}
}

// UpdateSpillover adjusts the flows between the failure domains, given the capacity of one
// engine in tokens per second, zero for unknown. It returns the changes: none before the
// daemon's first call.
func (p *Pool) UpdateSpillover(now time.Time, perEngine float64) []FlowChange {
	s := p.spillover
	if s == nil || s.mean.FirstTokenWithin == 0 || p.isEngine && perEngine <= 0 {
		return nil
	}
	loads := map[ports.FailureDomain]*DomainLoad{
		p.self.Domain: {Domain: p.self.Domain, Region: p.self.Region, Demand: p.DomainDemand(now)},
	}
	for _, server := range p.servers {
		load, known := loads[server.vm.Domain]
		if !known {
			load = &DomainLoad{Domain: server.vm.Domain, Region: server.vm.Region}
			loads[server.vm.Domain] = load
		}
		load.Capacity += p.capacityOf(now, server, perEngine)
	}
	for source, report := range s.reports {
		age := now.Sub(report.receivedAt)
		if age > forgetDomainAfter {
			delete(s.reports, source)
		}
		load, known := loads[source.Domain]
		if source.Domain == "" || !known || age > forgetDomainAfter {
			continue
		}
		load.Demand = report.demand
		if age > demandLifetime {
			load.Demand, load.Capacity = 0, 0
		}
	}
	all := make([]DomainLoad, 0, len(loads))
	s.others = s.others[:0]
	for _, load := range loads {
		all = append(all, *load)
		if load.Domain != p.self.Domain {
			s.others = append(s.others, *load)
		}
	}
	s.home = *loads[p.self.Domain]
	slices.SortFunc(s.others, func(a, b DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) })
	return s.flows.Update(now, all, s.mean)
}

// capacityOf returns what a server can do per second: of one whose requests are bounded,
// such as a limited or cold one, its bound, and nothing of one that takes no calls.
func (p *Pool) capacityOf(now time.Time, server *Server, perEngine float64) float64 {
	if !server.takesNewCalls() || server.health.onProbation || server.pausedUntil.After(now) {
		return 0
	}
	capacity, perCall := perEngine, p.meanTokens
	if !p.isEngine {
		capacity, perCall = float64(max(server.vm.Slots, 1))/max(server.latency.runSeconds, 1e-3), 1
	}
	if server.allowance != nil {
		return min(capacity, server.allowance.bound.Rate*perCall)
	}
	return capacity
}

// setDestination sets the failure domain in which the call should run; empty without
// spillover.
func (p *Pool) setDestination(now time.Time, work *Work) {
	work.destination = ""
	s := p.spillover
	if s == nil || len(s.flows.Parts()) == 0 {
		return
	}
	call := CallToPlace{ID: work.CallID, FirstTokenWithin: work.FirstTokenWithin, Allows: func(domain ports.FailureDomain) bool {
		return slices.ContainsFunc(p.servers, func(server *Server) bool {
			return server.vm.Domain == domain && server.mayRun(work)
		})
	}}
	if prefix := hashPrefixID(work.PrefixID); prefix != 0 {
		call.CachedIn = func(domain ports.FailureDomain) bool { return p.prefixes.isCachedIn(now, prefix, domain) }
	}
	work.destination = s.flows.Destination(s.home, s.others, call)
}

// isCachedIn reports whether a server of the failure domain has the prefix cached.
func (t *prefixTable) isCachedIn(now time.Time, prefix PrefixHash, domain ports.FailureDomain) bool {
	return slices.ContainsFunc(t.locations[prefix], func(location prefixLocation) bool {
		return location.server.vm.Domain == domain && now.Sub(location.usedAt) < cacheLifetime
	})
}

// linkCost returns the cost of the way to the server. With spillover, a call pays the whole
// cost of the way unless it is one of those that leave for the server's domain; so a call
// still leaves where its own domain would make it late.
func (p *Pool) linkCost(server *Server, work *Work) time.Duration {
	s := p.spillover
	if s == nil {
		return server.linkCost()
	}
	link := s.flows.terms.CrossRegion
	switch {
	case server.distance == ports.DistanceSameDomain:
		return 0
	case server.distance == ports.DistanceSameRegion:
		link = s.flows.terms.SameRegion
	}
	delay := 2 * link.Delay.Value()
	if work.destination == server.vm.Domain {
		return delay
	}
	price := link.PricePerMegabyte*work.bytes()/1e6 + startMargin
	return delay + time.Duration(price*float64(work.FirstTokenWithin))
}

// Flows returns the flows from this failure domain, as parts of its calls, by target; nil
// without spillover.
func (p *Pool) Flows() map[ports.FailureDomain]float64 {
	if p.spillover == nil {
		return nil
	}
	flows := make(map[ports.FailureDomain]float64)
	for flow, part := range p.spillover.flows.Parts() {
		if flow.From == p.self.Domain {
			flows[flow.To] = part
		}
	}
	return flows
}

// LeavesFor reports whether the call is one of those that leave for the failure domain.
func (w *Work) LeavesFor(domain ports.FailureDomain) bool {
	return w.destination == domain
}

// CapacityPerEngine returns the part of the configured capacity of all engines that one has,
// in tokens per second; zero for unknown.
func CapacityPerEngine(configured float64, pools []*Pool) float64 {
	engines := 0
	for _, pool := range pools {
		if pool.isEngine {
			engines += len(pool.servers)
		}
	}
	return configured / float64(max(engines, 1))
}
