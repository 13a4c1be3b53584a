package slots

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

const (
	// maxCost truncates the heavy-tailed costs of the tests, in cost units.
	maxCost = 2000
	// timePerCostUnit is the run time of one cost unit.
	timePerCostUnit = 10 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// backlogSimulation runs calls of workspaces that are always backlogged on the
// slots of one owner, and records the cost served to each.
type backlogSimulation struct {
	owner         *Owner
	random        *rand.Rand
	now           time.Time
	pendingRuns   runHeap
	demands       []Demand
	ackedSequence uint64
	servedCost    map[ports.WorkspaceID]float64
	// differenceRange is the highest and lowest difference of served cost of each
	// pair of workspaces.
	differenceRange map[[2]ports.WorkspaceID][2]float64
	costScale       map[ports.WorkspaceID]float64
	endedRuns       int
	idleSlots       int
}

// simulatedRun is a call on a slot. At nextAt it makes progress or ends.
type simulatedRun struct {
	nextAt    time.Time
	key       Key
	workspace ports.WorkspaceID
	cost      float64
	costSoFar float64
}

// runHeap is a heap of runs ordered by nextAt.
type runHeap []*simulatedRun

func (r runHeap) Len() int           { return len(r) }
func (r runHeap) Less(i, j int) bool { return r[i].nextAt.Before(r[j].nextAt) }
func (r runHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runHeap) Push(x any)        { *r = append(*r, x.(*simulatedRun)) }
func (r *runHeap) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// newBacklogSimulation returns a simulation with one server and a fixed number of
// slots. costScale multiplies the costs of each workspace.
func newBacklogSimulation(seed uint64, options fairshare.Options, slots int, costScale map[ports.WorkspaceID]float64) *backlogSimulation {
	ledger := fairshare.NewLedger(options)
	sim := &backlogSimulation{
		owner:           NewOwner("owner", 1, ledger, options),
		random:          rand.New(rand.NewPCG(seed, 9)),
		now:             start,
		servedCost:      make(map[ports.WorkspaceID]float64),
		differenceRange: make(map[[2]ports.WorkspaceID][2]float64),
		costScale:       costScale,
	}
	sim.owner.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, slots, start)
	sim.owner.servers["server"].window.size = float64(slots)
	for workspace := range costScale {
		sim.demands = append(sim.demands, Demand{Workspace: workspace, Class: "class", Count: slots, FirstTokenBy: start.Add(24 * time.Hour)})
	}
	return sim
}

// runCalls runs until a number of calls have ended.
func (sim *backlogSimulation) runCalls(calls int) {
	sim.startGrantedRuns()
	for sim.endedRuns < calls {
		next := heap.Pop(&sim.pendingRuns).(*simulatedRun)
		sim.now = next.nextAt
		sim.advance(next)
		sim.recordDifferences()
	}
}

// advance makes a run progress by at most 32 cost units, or ends it.
func (sim *backlogSimulation) advance(r *simulatedRun) {
	if r.costSoFar < r.cost {
		increment := min(32, r.cost-r.costSoFar)
		r.costSoFar += increment
		sim.servedCost[r.workspace] += increment
		sim.owner.ChargeProgress(r.key, r.costSoFar)
		r.nextAt = sim.now.Add(time.Duration(min(32, r.cost-r.costSoFar)) * timePerCostUnit)
		heap.Push(&sim.pendingRuns, r)
		return
	}
	sim.endedRuns++
	sim.owner.Release(sim.now, r.key, "", ports.RunReport{Cost: ports.Cost(r.cost)}, noCongestionThreshold)
	sim.startGrantedRuns()
}

func (sim *backlogSimulation) startGrantedRuns() {
	sim.owner.SetDemand("entry", sim.ackedSequence, sim.demands, true)
	for _, batch := range sim.owner.Grant(sim.now) {
		sim.ackedSequence = batch.Sequence
		for _, grant := range batch.Grants {
			cost := sim.drawCost(grant.Workspace)
			sim.owner.AckGrants(sim.now, "entry", sim.ackedSequence)
			heap.Push(&sim.pendingRuns, &simulatedRun{
				nextAt:    sim.now.Add(time.Duration(min(32, cost)) * timePerCostUnit),
				key:       Key{Entry: "entry", Granter: "owner", GranterIncarnation: 1, ID: grant.ID},
				workspace: grant.Workspace,
				cost:      cost,
			})
		}
	}
	for _, s := range sim.owner.servers {
		sim.idleSlots += max(0, s.window.Size()-s.inUse)
	}
}

// drawCost returns a random log-normal cost of at most maxCost.
func (sim *backlogSimulation) drawCost(workspace ports.WorkspaceID) float64 {
	cost := 60 * math.Exp(sim.random.NormFloat64()) * sim.costScale[workspace]
	return math.Ceil(min(max(cost, 1), maxCost))
}

func (sim *backlogSimulation) recordDifferences() {
	for a := range sim.costScale {
		for b := range sim.costScale {
			if a >= b {
				continue
			}
			difference := sim.servedCost[a] - sim.servedCost[b]
			pair := [2]ports.WorkspaceID{a, b}
			differences := sim.differenceRange[pair]
			sim.differenceRange[pair] = [2]float64{max(differences[0], difference), min(differences[1], difference)}
		}
	}
}

// serviceGap returns the largest difference of served cost between any two
// workspaces over any interval of the simulation.
func (sim *backlogSimulation) serviceGap() float64 {
	gap := 0.0
	for _, differences := range sim.differenceRange {
		gap = max(gap, differences[0]-differences[1])
	}
	return gap
}

func noCongestionThreshold(ports.ClassName) time.Duration { return 0 }

// mixedCostScale returns the scales of workspaces with small, medium and large
// costs.
func mixedCostScale(workspaces int) map[ports.WorkspaceID]float64 {
	costScale := make(map[ports.WorkspaceID]float64)
	for i := range workspaces {
		costScale[ports.WorkspaceID(rune('a'+i))] = []float64{0.3, 1, 5}[i%3]
	}
	return costScale
}
