package dispatch

import (
	"cmp"
	"math"
	"slices"

	"hawthornstream/internal/ports"
)

// Load pattern: a few prompts are many times as long as the mean. An engine reads a
// prompt in chunks between the tokens of its other streams, each of which pauses for
// longer than its class aims for while such a prompt is read. Some servers of each
// failure domain are therefore assigned to long prompts, and other calls avoid those
// servers as long as there is room elsewhere.
const (
	// longPromptPauseFraction is the time to read a prompt, as a fraction of the
	// longest pause that its class aims for, from which the prompt counts as long.
	longPromptPauseFraction = 0.7
	// longPromptElsewhereCost is the cost of a long prompt on a server that is not
	// assigned to long prompts, and stalledStreamCost that of another call on one that
	// is, as fractions of the call's target.
	longPromptElsewhereCost = 1.0
	stalledStreamCost       = 0.4
	// minLongPromptShare is the share of all prompt tokens from which long prompts get
	// servers of their own. serversPerShare is the fraction of a failure domain's
	// servers that they get, as a multiple of their share: with exactly their share of
	// the servers, long prompts would queue behind each other. maxLongPromptServers
	// is the largest such fraction.
	minLongPromptShare   = 0.04
	serversPerShare      = 2.0
	maxLongPromptServers = 0.5
	// minServersToSeparate is the number of servers of a failure domain below which
	// none is assigned to long prompts.
	minServersToSeparate = 3
	// longPromptSampleWeight is the weight of one more call in the moving averages.
	longPromptSampleWeight = 0.005
	// assignmentInterval is the number of calls between two assignments.
	assignmentInterval = 50
)

// longPromptStats holds exponential moving averages over the calls of a pool.
type longPromptStats struct {
	// meanTokens is the mean number of prompt tokens of a call that no other call
	// shares, and meanLongTokens the same with the calls without a long prompt counted
	// as zero.
	meanTokens, meanLongTokens float64
	meanOutputTokens           float64
	callsSinceAssignment       int
}

// observe adds a call to the moving averages.
func (s *longPromptStats) observe(work *Work, isLong bool) {
	long := 0.0
	if isLong {
		long = float64(work.UniqueTokens)
	}
	if s.meanTokens == 0 {
		s.meanTokens, s.meanOutputTokens = float64(work.UniqueTokens), float64(work.OutputTokens)
	}
	s.meanTokens += longPromptSampleWeight * (float64(work.UniqueTokens) - s.meanTokens)
	s.meanLongTokens += longPromptSampleWeight * (long - s.meanLongTokens)
	s.meanOutputTokens += longPromptSampleWeight * (float64(work.OutputTokens) - s.meanOutputTokens)
	s.callsSinceAssignment++
}

// share returns the part of the prompt tokens that belongs to long prompts.
func (s *longPromptStats) share() float64 {
	if s.meanTokens <= 0 {
		return 0
	}
	return s.meanLongTokens / s.meanTokens
}

// isLongPrompt reports whether reading the call's prompt would stall the other
// streams of a server.
func (p *Pool) isLongPrompt(work *Work) bool {
	if !work.ForEngine || work.PauseWithin <= 0 {
		return false
	}
	reading := secondsToDuration(p.meanSecondsPerToken * float64(work.UniqueTokens))
	return float64(reading) > longPromptPauseFraction*float64(work.PauseWithin)
}

// observeLongPrompt records a call and, once in a while, assigns servers to long
// prompts anew.
func (p *Pool) observeLongPrompt(work *Work) {
	if !work.ForEngine {
		return
	}
	p.longPrompts.observe(work, p.isLongPrompt(work))
	if p.longPrompts.callsSinceAssignment >= assignmentInterval {
		p.assignLongPromptServers()
	}
}

// assignLongPromptServers assigns servers to long prompts: in each failure domain a
// fraction that follows their share of the prompt tokens. All daemons rank the servers
// in the same order, so that their assignments differ by little.
func (p *Pool) assignLongPromptServers() {
	p.longPrompts.callsSinceAssignment = 0
	p.updateMeanSecondsPerToken()
	domains := make(map[ports.FailureDomain][]*Server)
	for _, server := range p.servers {
		server.takesLongPrompts = false
		if server.takesNewCalls() {
			domains[server.vm.Domain] = append(domains[server.vm.Domain], server)
		}
	}
	share := p.longPrompts.share()
	if share < minLongPromptShare {
		return
	}
	for _, servers := range domains {
		if len(servers) < minServersToSeparate {
			continue
		}
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(mixBits(a.nameHash), mixBits(b.nameHash)) })
		count := int(math.Round(min(serversPerShare*share, maxLongPromptServers) * float64(len(servers))))
		for _, server := range servers[:max(count, 1)] {
			server.takesLongPrompts = true
		}
	}
}

func (p *Pool) updateMeanSecondsPerToken() {
	sum, count := 0.0, 0
	for _, server := range p.servers {
		if !server.isEvacuated {
			sum += server.latency.perTokenSeconds
			count++
		}
	}
	if count > 0 {
		p.meanSecondsPerToken = sum / float64(count)
	}
}

// separationCost returns the cost, in nanoseconds, of mixing long prompts with other
// streams. Short answers seldom meet a stall and cost less.
func (p *Pool) separationCost(server *Server, work *Work, isLong bool) float64 {
	target := float64(work.FirstTokenWithin)
	switch {
	case !work.ForEngine || isLong == server.takesLongPrompts:
		return 0
	case isLong:
		return longPromptElsewhereCost * target
	default:
		return stalledStreamCost * target * min(float64(work.OutputTokens)/max(p.longPrompts.meanOutputTokens, 1), 1)
	}
}
