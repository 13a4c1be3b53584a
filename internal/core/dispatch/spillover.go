package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

const (
	// contentionUtilization is the utilization of a domain's servers from which one more
	// call makes others late.
	contentionUtilization = 0.7
	// startMargin is the part of a call that a flow must gain beyond its cost, for each of
	// its calls, to begin. A flow that has begun lasts while it gains.
	startMargin = 0.1
	// flowSteps is the number of steps in which the whole demand is divided.
	flowSteps = 200
	// minFlowChange is the least change of a flow, as a part of the demand of its domain,
	// that is followed.
	minFlowChange = 0.02
	// maxFlowGrowth is the part of a domain's demand by which a flow grows per second:
	// prompt prefixes are processed again where it goes. A flow shrinks at once.
	maxFlowGrowth = 0.5
	// minFlowPause is the time for which a flow doesn't begin again whose target has lost
	// its servers. It doubles up to maxFlowPause each time that this happens again within
	// twice the pause.
	minFlowPause = 2 * time.Second
	maxFlowPause = 30 * time.Second
	// maxWayFraction is the part of a call's target for the first byte that the way to
	// another domain and back may take.
	maxWayFraction = 0.1
	// cachedAwayFactor is the factor by which a call is more likely to leave if its prompt
	// prefix is cached in the other domain alone, and less likely if it is cached at home
	// alone.
	cachedAwayFactor = 2.0
)

// DomainLoad is what the callers of one failure domain ask of a service and what its
// servers there can do, both in tokens per second for engines, in calls per second for
// plain services.
type DomainLoad struct {
	Domain ports.FailureDomain
	Region ports.Region
	Demand float64
	// Capacity counts the servers that calls of all routes and workspaces may use now, and
	// of those that are limited or cold what they take. It is zero for a domain that is
	// evacuated or cut off.
	Capacity float64
}

// MeanCall is the mean of a service's calls.
type MeanCall struct {
	// FirstTokenWithin is the target for the first byte.
	FirstTokenWithin time.Duration
	// Bytes is the size of the request and its answer.
	Bytes float64
}

// Flow is the traffic that the callers of one domain send to the servers of another.
type Flow struct {
	From, To ports.FailureDomain
}

// FlowReason is why a flow changed.
type FlowReason string

// The reasons for which flows change.
const (
	// FlowPays means that callers gain more than the way costs.
	FlowPays FlowReason = "pays"
	// FlowNoLongerPays means that they no longer do.
	FlowNoLongerPays FlowReason = "no-longer-pays"
	// FlowTargetLost means that the other domain has no servers that may be used.
	FlowTargetLost FlowReason = "target-lost"
	// FlowReversed means that the other domain needs the room itself.
	FlowReversed FlowReason = "reversed"
)

// FlowChange is a change of the part of a domain's calls that runs in another domain.
type FlowChange struct {
	Flow
	Before, After float64
	Reason        FlowReason
}

// Spillover decides, for the calls of one service, which part of each failure domain's
// calls runs in which other domain.
//
// Load pattern: waves of demand reach one domain after the other. Its queues grow while
// servers elsewhere are idle, and choices of single calls answer that late and all at once,
// since each daemon sees little of the queues of other domains. When two domains are full,
// choices of single calls swap their calls, to the loss of both.
//
// All daemons compute the flows of all domains from the same reports. A flow leads from the
// domain where one more call costs the callers most to that where it costs them least, as
// long as the difference exceeds the way's cost; so no two domains send to each other.
type Spillover struct {
	terms     configuration.Spillover
	parts     map[Flow]float64
	pauses    map[Flow]flowPause
	updatedAt time.Time
}

// flowPause keeps a flow to a domain that lost its servers from beginning again.
type flowPause struct {
	until  time.Time
	length time.Duration
}

// NewSpillover returns a Spillover without flows.
func NewSpillover(terms configuration.Spillover) *Spillover {
	return &Spillover{terms: terms.WithDefaults(), parts: make(map[Flow]float64), pauses: make(map[Flow]flowPause)}
}

// marginalLoss returns what one more call on servers of the given utilization costs their
// callers: the part of a call that misses its target. On servers that are full, each call more is one
// that is refused or late.
func marginalLoss(load, capacity float64) float64 {
	if capacity <= 0 {
		return 1
	}
	excess := (load/capacity - contentionUtilization) / (1 - contentionUtilization)
	return min(max(excess, 0)*max(excess, 0), 1)
}

// link returns the terms of the link between two domains.
func (s *Spillover) link(from, to DomainLoad) configuration.Link {
	if from.Region == to.Region {
		return s.terms.SameRegion
	}
	return s.terms.CrossRegion
}

// cost returns what the way costs a call, as a part of a call that misses its target.
func (s *Spillover) cost(from, to DomainLoad, mean MeanCall) float64 {
	link := s.link(from, to)
	way := 2 * link.Delay.Value().Seconds() / max(mean.FirstTokenWithin.Seconds(), 1e-3)
	return way + link.PricePerMegabyte*mean.Bytes/1e6
}

// Update adjusts the flows to the loads and returns the changes, ordered by domain.
func (s *Spillover) Update(now time.Time, loads []DomainLoad, mean MeanCall) []FlowChange {
	elapsed := max(now.Sub(s.updatedAt), 0)
	if s.updatedAt.IsZero() {
		elapsed = 0
	}
	s.updatedAt = now
	s.startPauses(now, loads)
	wanted := s.divide(now, loads, mean)
	demands := make(map[ports.FailureDomain]DomainLoad, len(loads))
	for _, load := range loads {
		demands[load.Domain] = load
	}
	var changes []FlowChange
	for _, flow := range unionOfFlows(s.parts, wanted) {
		before, want := s.parts[flow], 0.0
		if demand := demands[flow.From].Demand; demand > 0 {
			want = wanted[flow] / demand
		}
		after := followFlow(before, want, elapsed)
		if after == before {
			continue
		}
		changes = append(changes, FlowChange{Flow: flow, Before: before, After: after, Reason: flowReason(flow, before, after, demands, wanted)})
		if after == 0 {
			delete(s.parts, flow)
			continue
		}
		s.parts[flow] = after
	}
	return changes
}

// followFlow returns the part after the given time: it falls at once, grows at a bounded
// rate, and doesn't follow small changes.
func followFlow(before, want float64, elapsed time.Duration) float64 {
	switch {
	case want == 0, want < before-minFlowChange:
		return want
	case want > before+minFlowChange:
		return min(want, before+maxFlowGrowth*elapsed.Seconds())
	default:
		return before
	}
}

func flowReason(
	flow Flow, before, after float64, loads map[ports.FailureDomain]DomainLoad, wanted map[Flow]float64,
) FlowReason {
	switch {
	case after > before:
		return FlowPays
	case loads[flow.To].Capacity <= 0:
		return FlowTargetLost
	case wanted[Flow{From: flow.To, To: flow.From}] > 0:
		return FlowReversed
	default:
		return FlowNoLongerPays
	}
}

// startPauses starts a pause of each flow whose target has lost its servers.
func (s *Spillover) startPauses(now time.Time, loads []DomainLoad) {
	for flow := range s.parts {
		at := slices.IndexFunc(loads, func(load DomainLoad) bool { return load.Domain == flow.To })
		if at >= 0 && loads[at].Capacity > 0 {
			continue
		}
		last, length := s.pauses[flow], minFlowPause
		if last.length > 0 && now.Sub(last.until) < 2*last.length {
			length = min(2*last.length, maxFlowPause)
		}
		s.pauses[flow] = flowPause{until: now.Add(length), length: length}
	}
}

// division is the state of dividing the demand of all domains. Its slices are by domain, in
// order of name, and its matrices by source and target.
type division struct {
	loads []DomainLoad
	// home is the demand that stays in its domain, load what the domain's servers get.
	home, load []float64
	// beginCost is what a call must gain for a flow to begin, cost for it to go on; infinite
	// where there may be none.
	beginCost, cost [][]float64
	flows           [][]float64
}

// divide returns the flows, in units of demand, after which no call gains more by leaving
// its domain than the way costs.
func (s *Spillover) divide(now time.Time, loads []DomainLoad, mean MeanCall) map[Flow]float64 {
	d := s.newDivision(now, loads, mean)
	total := 0.0
	for _, load := range d.loads {
		total += load.Demand
	}
	for range flowSteps {
		from, to := d.bestFlow()
		if from == to {
			break
		}
		step := min(total/flowSteps, d.home[from])
		d.home[from] -= step
		d.load[from] -= step
		d.load[to] += step
		d.flows[from][to] += step
	}
	flows := make(map[Flow]float64)
	for i := range d.loads {
		for j := range d.loads {
			if d.flows[i][j] > 0 {
				flows[Flow{From: d.loads[i].Domain, To: d.loads[j].Domain}] = d.flows[i][j]
			}
		}
	}
	return flows
}

func (s *Spillover) newDivision(now time.Time, loads []DomainLoad, mean MeanCall) *division {
	d := &division{
		loads: slices.SortedFunc(slices.Values(loads), func(a, b DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) }),
	}
	for i, source := range d.loads {
		d.home, d.load = append(d.home, source.Demand), append(d.load, source.Demand)
		d.flows = append(d.flows, make([]float64, len(loads)))
		d.beginCost, d.cost = append(d.beginCost, make([]float64, len(loads))), append(d.cost, make([]float64, len(loads)))
		for j, target := range d.loads {
			flow := Flow{From: source.Domain, To: target.Domain}
			d.cost[i][j] = s.cost(source, target, mean)
			if target.Capacity <= 0 || now.Before(s.pauses[flow].until) {
				d.cost[i][j] = math.Inf(1)
			}
			d.beginCost[i][j] = d.cost[i][j]
			if s.parts[flow] == 0 {
				d.beginCost[i][j] += startMargin
			}
		}
	}
	return d
}

// bestFlow returns the domains between which one more call gains most; the same one twice
// if none gains.
func (d *division) bestFlow() (from, to int) {
	losses := make([]float64, len(d.loads))
	for i := range d.loads {
		losses[i] = marginalLoss(d.load[i], d.loads[i].Capacity)
	}
	best := 0.0
	for i := range d.loads {
		if d.home[i] <= 0 {
			continue
		}
		for j := range d.loads {
			cost := d.beginCost[i][j]
			if d.flows[i][j] > 0 {
				cost = d.cost[i][j]
			}
			if gain := losses[i] - losses[j] - cost; i != j && gain > best && d.flows[j][i] == 0 {
				best, from, to = gain, i, j
			}
		}
	}
	return from, to
}

// unionOfFlows returns the flows of both maps, ordered by domain.
func unionOfFlows(a, b map[Flow]float64) []Flow {
	flows := make([]Flow, 0, len(a)+len(b))
	for flow := range a {
		flows = append(flows, flow)
	}
	for flow := range b {
		if _, known := a[flow]; !known {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return flows
}

// Parts returns the flows in force, as parts of the calls of their domains. The result must
// not be modified.
func (s *Spillover) Parts() map[Flow]float64 {
	return s.parts
}

// CallToPlace is what decides whether a call is one of those that leave.
type CallToPlace struct {
	// ID is the same for all tries of the call.
	ID               ports.RequestID
	FirstTokenWithin time.Duration
	// CachedIn reports whether a server of the domain has the prompt prefix cached; nil
	// without one.
	CachedIn func(ports.FailureDomain) bool
	// Allows reports whether the call may run in the domain.
	Allows func(ports.FailureDomain) bool
}

// Destination returns the domain in which a call from home should run; home if it should
// stay. All daemons of a domain send the same part of their calls. Calls whose prefix is
// cached in the other domain go first, those to which the way is a large part of their
// target stay.
func (s *Spillover) Destination(home DomainLoad, others []DomainLoad, call CallToPlace) ports.FailureDomain {
	draw := float64(mixBits(xxhash.Sum64String(string(call.ID)))) / math.MaxUint64
	for _, other := range others {
		part := s.parts[Flow{From: home.Domain, To: other.Domain}]
		if part <= 0 {
			continue
		}
		weighted := part
		if call.CachedIn != nil {
			weighted *= cacheFactor(call.CachedIn(home.Domain), call.CachedIn(other.Domain))
		}
		if draw < weighted {
			if s.bearsWay(home, other, call) && call.Allows(other.Domain) {
				return other.Domain
			}
			return home.Domain
		}
		draw -= weighted
	}
	return home.Domain
}

func (s *Spillover) bearsWay(home, other DomainLoad, call CallToPlace) bool {
	return float64(2*s.link(home, other).Delay.Value()) <= maxWayFraction*float64(call.FirstTokenWithin)
}

func cacheFactor(atHome, away bool) float64 {
	switch {
	case away && !atHome:
		return cachedAwayFactor
	case atHome && !away:
		return 1 / cachedAwayFactor
	default:
		return 1
	}
}
