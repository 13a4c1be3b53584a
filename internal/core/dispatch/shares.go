package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// peerRatesLifetime is how long rates reported by another daemon count.
	peerRatesLifetime = 3 * time.Second
	// rateDecayTime is the time constant of the rates that shares follow. What a workspace
	// got before others contended is no debt: it is forgotten as soon as the reports of
	// other daemons allow, which are up to that old.
	rateDecayTime = reportLifetime
	// rateUncertainty is the part by which a rate may be wrong: the mean age of the reports
	// of other daemons, as a part of the time over which rates are averaged.
	rateUncertainty = float64(reportLifetime/2) / float64(rateDecayTime)
	// fairRateInterval is the least time between two computations of the fair
	// rate.
	fairRateInterval = 100 * time.Millisecond
)

// Rates are a workspace's demand and what it is granted, in tokens per second.
type Rates struct {
	Demand  float64
	Granted float64
	// Shed is the part of Demand that is estimated for calls which daemons shed before
	// their workspace was known.
	Shed float64
}

func (r Rates) add(other Rates) Rates {
	return Rates{Demand: r.Demand + other.Demand, Granted: r.Granted + other.Granted, Shed: r.Shed + other.Shed}
}

// ShareTracker determines which workspaces get more than their fair share of
// a service, from the rates of this daemon and of the others.
type ShareTracker struct {
	ownUsage map[ports.WorkspaceID]*usage
	// origin is the time that decaying sums count from: that of the first record.
	origin time.Time
	// peers holds the rates of the other daemons of the failure domain and of
	// the other domains.
	peers map[Source]peerRates
	// fairRate is the fair rate of a workspace with share target 1, in tokens per
	// second; infinite when the whole demand can be granted.
	fairRate float64
	// lowestContending and highestContending are the least and the greatest overuse of the
	// workspaces that demand more than their fair share; infinite and zero when there is none.
	lowestContending, highestContending float64
	computedAt                          time.Time
	totals                              map[ports.WorkspaceID]Rates
	// regionShares are those of the workspaces that may run in some regions only, and
	// regionalRates their fair rates there.
	regionShares  map[ports.WorkspaceID]RegionShare
	regionalRates map[ports.WorkspaceID]float64
}

// usage holds exponentially decaying sums of tokens.
type usage struct {
	demand, shed float64
	granted      decayingSum
	updatedAt    time.Time
}

type peerRates struct {
	rates      map[ports.WorkspaceID]Rates
	receivedAt time.Time
}

// NewShareTracker returns a tracker without recorded usage.
func NewShareTracker() *ShareTracker {
	return &ShareTracker{
		ownUsage: make(map[ports.WorkspaceID]*usage),
		peers:    make(map[Source]peerRates),
		fairRate: math.Inf(1), regionalRates: make(map[ports.WorkspaceID]float64),
	}
}

// RecordDemand counts the tokens of a call that arrived.
func (s *ShareTracker) RecordDemand(now time.Time, workspace ports.WorkspaceID, tokens float64) {
	s.usageOf(now, workspace).demand += tokens
}

// RecordShedDemand counts the estimated tokens of calls that were shed before their
// workspace was known.
func (s *ShareTracker) RecordShedDemand(now time.Time, workspace ports.WorkspaceID, tokens float64) {
	u := s.usageOf(now, workspace)
	u.demand += tokens
	u.shed += tokens
}

// Grant is what RecordGrant counted for a call. The zero value is no grant.
type Grant struct {
	workspace ports.WorkspaceID
	tokens    float64
	amount    decayingAmount
}

// RecordGrant counts the tokens of a call that was sent to a server.
func (s *ShareTracker) RecordGrant(now time.Time, workspace ports.WorkspaceID, tokens float64) Grant {
	u := s.usageOf(now, workspace)
	return Grant{workspace: workspace, tokens: tokens, amount: u.granted.add(now.Sub(s.origin), tokens)}
}

// CancelGrant takes back the grant of a call that brought no first byte: the workspace got
// nothing by it.
func (s *ShareTracker) CancelGrant(now time.Time, grant Grant) {
	if grant.tokens == 0 {
		return
	}
	u := s.usageOf(now, grant.workspace)
	u.granted.takeBack(now.Sub(s.origin), grant.amount)
}

func (s *ShareTracker) usageOf(now time.Time, workspace ports.WorkspaceID) *usage {
	if s.origin.IsZero() {
		s.origin = now
	}
	u, ok := s.ownUsage[workspace]
	if !ok {
		u = &usage{updatedAt: now}
		s.ownUsage[workspace] = u
	}
	u.decay(now)
	return u
}

func (u *usage) decay(now time.Time) {
	elapsed := now.Sub(u.updatedAt).Seconds()
	remaining := math.Exp(-elapsed / rateDecayTime.Seconds())
	u.demand *= remaining
	u.shed *= remaining
	u.updatedAt = now
}

// ratesOf returns the rates of a usage as of its last update.
func (s *ShareTracker) ratesOf(u *usage) Rates {
	seconds := rateDecayTime.Seconds()
	granted := u.granted.at(u.updatedAt.Sub(s.origin))
	return Rates{Demand: u.demand / seconds, Granted: granted / seconds, Shed: u.shed / seconds}
}

// minReportedRate is the rate in tokens per second below which a workspace is
// not reported.
const minReportedRate = 50

// OwnRates returns the rates that this daemon reports to the others.
func (s *ShareTracker) OwnRates(now time.Time) map[ports.WorkspaceID]Rates {
	rates := make(map[ports.WorkspaceID]Rates, len(s.ownUsage))
	for workspace := range s.ownUsage {
		rate := s.ratesOf(s.usageOf(now, workspace))
		if rate.Demand < minReportedRate && rate.Granted < minReportedRate {
			delete(s.ownUsage, workspace)
			continue
		}
		rates[workspace] = rate
	}
	return rates
}

// Source is the origin of reported loads and rates: a daemon of this failure
// domain, or another domain as a whole.
type Source struct {
	Daemon ports.DaemonID
	Domain ports.FailureDomain
}

// DomainRates returns the sums of the rates of this daemon and of the others in
// its failure domain.
func (s *ShareTracker) DomainRates(now time.Time) map[ports.WorkspaceID]Rates {
	sums := s.OwnRates(now)
	for source, peer := range s.peers {
		if source.Domain == "" && now.Sub(peer.receivedAt) <= peerRatesLifetime {
			addRates(sums, peer.rates)
		}
	}
	return sums
}

func addRates(totals, rates map[ports.WorkspaceID]Rates) {
	for workspace, rate := range rates {
		totals[workspace] = totals[workspace].add(rate)
	}
}

// SetPeerRates replaces the rates reported by a source. The first report of a
// source takes effect at once: without it the fair rate is unknown, and a daemon
// that has just started would serve a flood as if it were within its share.
func (s *ShareTracker) SetPeerRates(now time.Time, source Source, rates map[ports.WorkspaceID]Rates) {
	if _, known := s.peers[source]; !known {
		s.totals = nil
	}
	s.peers[source] = peerRates{rates: rates, receivedAt: now}
}

// Overuse returns the ratio of what a workspace gets to its fair share; above 1
// it gets more. The ratio is zero while the capacity, in tokens per second, is
// unknown (zero) or suffices for all. target returns a workspace's share
// target.
func (s *ShareTracker) Overuse(
	now time.Time, workspace ports.WorkspaceID, capacity float64, target func(ports.WorkspaceID) float64,
) float64 {
	if capacity <= 0 {
		return 0
	}
	if s.totals == nil || now.Sub(s.computedAt) >= fairRateInterval {
		s.recompute(now, capacity, target)
	}
	fairRate := s.fairRateOf(workspace)
	if math.IsInf(fairRate, 1) {
		return 0
	}
	return s.totals[workspace].Granted / target(workspace) / fairRate
}

func (s *ShareTracker) recompute(now time.Time, capacity float64, target func(ports.WorkspaceID) float64) {
	s.computedAt = now
	s.totals = s.OwnRates(now)
	for source, peer := range s.peers {
		if now.Sub(peer.receivedAt) > peerRatesLifetime {
			delete(s.peers, source)
			continue
		}
		addRates(s.totals, peer.rates)
	}
	limited := s.limitToRegions(s.totals, capacity, target)
	s.fairRate = maxMinFairRate(limited, capacity, target)
	s.lowestContending, s.highestContending = math.Inf(1), 0
	for workspace, rate := range limited {
		if fairShare := s.fairRateOf(workspace) * target(workspace); rate.Demand >= fairShare {
			s.lowestContending = min(s.lowestContending, rate.Granted/fairShare)
			s.highestContending = max(s.highestContending, rate.Granted/fairShare)
		}
	}
}

// Excess returns where a workspace with the given overuse stands between the contending one
// that gets least of its share, or has its share, at 0, and that which gets most, at 1, by
// ratios. Ratios that the age of the reports can explain count little. Overuse must be called
// first.
func (s *ShareTracker) Excess(overuse float64) float64 {
	lowest := max(s.lowestContending, 1)
	if overuse <= lowest {
		return 0
	}
	highest := max(s.highestContending/lowest, 1+rateUncertainty)
	return min(math.Log(overuse/lowest)/math.Log(highest), 1)
}

// maxMinFairRate divides the capacity by max-min fairness: a workspace that
// demands less than the returned rate times its share target gets all of its
// demand, the others the rate times their targets.
func maxMinFairRate(
	totals map[ports.WorkspaceID]Rates, capacity float64, target func(ports.WorkspaceID) float64,
) float64 {
	type claim struct{ demand, target float64 }
	claims := make([]claim, 0, len(totals))
	weights := 0.0
	for workspace, rate := range totals {
		c := claim{demand: rate.Demand, target: target(workspace)}
		claims = append(claims, c)
		weights += c.target
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.target, b.demand/b.target) })
	remaining := capacity
	for _, c := range claims {
		if fairRate := remaining / weights; c.demand > fairRate*c.target {
			return fairRate
		}
		remaining -= c.demand
		weights -= c.target
	}
	return math.Inf(1)
}
