package audit

import (
	"math"
	"sort"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
)

// gapSampleInterval is the time between the samples at which the service of two
// workspaces is compared.
const gapSampleInterval = 100 * time.Millisecond

// minCommonBacklog is the shortest common backlog that is measured. A shorter one
// may be a call on its way to an idle server.
const minCommonBacklog = 50 * time.Millisecond

// Gap is the fairness gap of a service: the difference of the service per share
// target that two workspaces got, in cost units, over all pairs of workspaces and
// all intervals in which both had calls waiting throughout.
type Gap struct {
	Max    float64
	Median float64
	// IntervalCount is the number of intervals that were compared.
	IntervalCount int
	// MaxPair is the pair of workspaces with the largest gap, the one with more
	// service first. MaxFrom and MaxTo are the interval of that gap.
	MaxPair [2]ports.WorkspaceID
	MaxFrom time.Time
	MaxTo   time.Time
}

// FairnessGap computes the gap of a service between from and to.
func FairnessGap(evidence Evidence, service ports.ServiceName, from, to time.Time) Gap {
	backlog := make(map[ports.WorkspaceID][]interval)
	var workspaces []ports.WorkspaceID
	for workspace, waits := range waitIntervals(evidence, service) {
		backlog[workspace] = intersectIntervals(mergeIntervals(waits), []interval{{from, to}})
		workspaces = append(workspaces, workspace)
	}
	sort.Slice(workspaces, func(i, j int) bool { return workspaces[i] < workspaces[j] })
	curves := newServiceCurves(evidence, service, from, to)
	gap := Gap{}
	differences := newCostHistogram()
	for i, first := range workspaces {
		for _, second := range workspaces[i+1:] {
			for _, common := range intersectIntervals(backlog[first], backlog[second]) {
				if common.length() >= minCommonBacklog {
					gap.addCommonBacklog(differences, curves, first, second, common)
				}
			}
		}
	}
	gap.Median = differences.median()
	return gap
}

// addCommonBacklog compares two workspaces over every pair of sample times in one
// interval of common backlog.
func (g *Gap) addCommonBacklog(differences *costHistogram, curves curves, first, second ports.WorkspaceID, common interval) {
	times := sampleTimes(common)
	lead := make([]float64, len(times))
	for i, at := range times {
		lead[i] = curves.valueAt(first, at) - curves.valueAt(second, at)
	}
	for i := range times {
		for j := i + 1; j < len(times); j++ {
			difference := math.Abs(lead[j] - lead[i])
			differences.record(difference)
			g.IntervalCount++
			if difference > g.Max {
				g.Max = difference
				g.MaxPair = [2]ports.WorkspaceID{first, second}
				if lead[j] < lead[i] {
					g.MaxPair = [2]ports.WorkspaceID{second, first}
				}
				g.MaxFrom, g.MaxTo = times[i], times[j]
			}
		}
	}
}

// sampleTimes returns the start of an interval, a time every gapSampleInterval, and
// its end.
func sampleTimes(common interval) []time.Time {
	var times []time.Time
	for at := common.from; at.Before(common.to); at = at.Add(gapSampleInterval) {
		times = append(times, at)
	}
	return append(times, common.to)
}

// curves holds, for each workspace, the cumulative service per share target at
// points in time, curvePointInterval apart.
type curves struct {
	from       time.Time
	cumulative map[ports.WorkspaceID][]float64
	pointCount int
}

// curvePointInterval is the time between two points of a curve.
const curvePointInterval = 20 * time.Millisecond

// newServiceCurves returns the curves of the workspaces that the service ran calls of.
func newServiceCurves(evidence Evidence, service ports.ServiceName, from, to time.Time) curves {
	c := curves{
		from:       from,
		cumulative: make(map[ports.WorkspaceID][]float64),
		pointCount: int(to.Sub(from)/curvePointInterval) + 2,
	}
	for i := range evidence.Runs {
		run := &evidence.Runs[i]
		if run.Service != string(service) || run.StartedAt.IsZero() {
			continue
		}
		workspace := ports.WorkspaceID(run.Workspace)
		if c.cumulative[workspace] == nil {
			c.cumulative[workspace] = make([]float64, c.pointCount)
		}
		c.addRun(c.cumulative[workspace], run, ShareTarget(evidence.Document, workspace))
	}
	for _, cumulative := range c.cumulative {
		for i := 1; i < len(cumulative); i++ {
			cumulative[i] += cumulative[i-1]
		}
	}
	return c
}

// addRun adds the run's cost per share target between two points to the increment of
// the later point.
func (c *curves) addRun(increments []float64, run *standin.Run, shareTarget float64) {
	first := max(0, int(run.StartedAt.Sub(c.from)/curvePointInterval))
	previous := run.CostAt(c.pointTime(first))
	for i := first + 1; i < c.pointCount; i++ {
		cost := run.CostAt(c.pointTime(i))
		increments[i] += (cost - previous) / shareTarget
		previous = cost
		if !run.EndedAt.IsZero() && c.pointTime(i).After(run.EndedAt) {
			break
		}
	}
}

func (c *curves) pointTime(point int) time.Time {
	return c.from.Add(time.Duration(point) * curvePointInterval)
}

// valueAt returns the cumulative service per share target of a workspace, linearly
// interpolated between the points.
func (c *curves) valueAt(workspace ports.WorkspaceID, at time.Time) float64 {
	cumulative := c.cumulative[workspace]
	if cumulative == nil {
		return 0
	}
	position := float64(at.Sub(c.from)) / float64(curvePointInterval)
	point := min(max(0, int(position)), c.pointCount-2)
	return cumulative[point] + (position-float64(point))*(cumulative[point+1]-cumulative[point])
}
