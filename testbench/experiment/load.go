package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

// Arrival is one call of the open-loop load.
type Arrival struct {
	// Offset is the time of the call since the start of the load.
	Offset time.Duration
	Call   fleet.Call
	// PreferredDaemon is the index of the daemon that takes the call when it is
	// ready.
	PreferredDaemon int
}

// CostDistribution is a log-normal distribution of costs, clamped to a maximum.
// The costs are in tokens for a model and in milliseconds for a plain service.
type CostDistribution struct {
	Median float64
	Sigma  float64
	Max    float64
}

// Sample returns one random cost of at least 1.
func (c CostDistribution) Sample(random *rand.Rand) float64 {
	cost := c.Median * math.Exp(c.Sigma*random.NormFloat64())
	return math.Max(1, math.Min(cost, c.Max))
}

// Mean estimates the mean of the distribution from samples with a fixed seed.
func (c CostDistribution) Mean() float64 {
	const sampleCount = 20000
	random := rand.New(rand.NewPCG(1, 1))
	var sum float64
	for range sampleCount {
		sum += c.Sample(random)
	}
	return sum / sampleCount
}

// costHintSigma is the sigma of the log-normal error of the callers' cost hints.
const costHintSigma = 0.7

// LoadSource describes the calls of one workspace in one class.
type LoadSource struct {
	Workspace ports.WorkspaceID
	Service   ports.ServiceName
	Kind      configuration.ServiceKind
	Class     ports.ClassName
	// CallsPerSecond is the rate of the Poisson arrivals.
	CallsPerSecond float64
	Costs          CostDistribution
	// UseIdempotencyKeys gives each call an idempotency key.
	UseIdempotencyKeys bool
	// DaemonIndexes are the preferred daemons, chosen at random for each call;
	// all daemons when empty.
	DaemonIndexes []int
	// From and Until bound the arrivals, as offsets from the start of the load.
	// A zero Until is the end of the load.
	From  time.Duration
	Until time.Duration
}

// GenerateArrivals returns the calls of all sources in order of time. Each source
// has a random stream of its own, so that its calls don't depend on the other
// sources.
func GenerateArrivals(seed uint64, daemonCount int, duration time.Duration, sources []LoadSource) []Arrival {
	var all []Arrival
	for i, source := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, source.arrivals(random, i, daemonCount, duration)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Offset < all[j].Offset })
	return all
}

func (s LoadSource) arrivals(random *rand.Rand, sourceIndex, daemonCount int, duration time.Duration) []Arrival {
	until := s.Until
	if until == 0 || until > duration {
		until = duration
	}
	if s.CallsPerSecond <= 0 {
		return nil
	}
	var all []Arrival
	offset := s.From
	for {
		offset += time.Duration(random.ExpFloat64() / s.CallsPerSecond * float64(time.Second))
		if offset >= until {
			return all
		}
		all = append(all, Arrival{
			Offset:          offset,
			Call:            s.newCall(random, sourceIndex, len(all)),
			PreferredDaemon: s.drawDaemon(random, daemonCount),
		})
	}
}

func (s LoadSource) drawDaemon(random *rand.Rand, daemonCount int) int {
	if len(s.DaemonIndexes) == 0 {
		return random.IntN(daemonCount)
	}
	return s.DaemonIndexes[random.IntN(len(s.DaemonIndexes))] % daemonCount
}

func (s LoadSource) newCall(random *rand.Rand, sourceIndex, callIndex int) fleet.Call {
	cost := s.Costs.Sample(random)
	costHint := cost * math.Exp(costHintSigma*random.NormFloat64())
	call := fleet.Call{
		Workspace: s.Workspace,
		Service:   s.Service,
		Kind:      s.Kind,
		Class:     s.Class,
		Operation: fmt.Sprintf("%s-%d-%d", s.Workspace, sourceIndex, callIndex),
	}
	if s.UseIdempotencyKeys {
		call.IdempotencyKey = call.Operation
	}
	if s.Kind == configuration.ServiceKindPlain {
		call.RunMilliseconds = math.Round(cost)
		return call
	}
	call.Stream = true
	call.Tokens = int(math.Round(cost))
	call.MaxTokens = max(1, int(costHint))
	return call
}
