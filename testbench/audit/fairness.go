package audit

import (
	"math"
	"sort"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
)

// gridStep is the distance of the times at which service is compared.
const gridStep = 100 * time.Millisecond

// minSpan is the shortest time of common backlog that is judged: a call on its
// way to an idle server is not backlog.
const minSpan = 50 * time.Millisecond

// Gap is the difference of service over share between two workspaces, in cost
// units, over all pairs and all intervals in which both had calls waiting
// throughout.
type Gap struct {
	Max    float64
	Median float64
	// Intervals is the number of compared intervals.
	Intervals int
	// Pair are the workspaces of the greatest gap, the one with more service
	// first; From and To are its interval.
	Pair [2]ports.WorkspaceID
	From time.Time
	To   time.Time
}

// FairnessGap computes the gap of a service within a window.
func FairnessGap(evidence Evidence, service ports.ServiceName, from, to time.Time) Gap {
	backlog := make(map[ports.WorkspaceID][]span)
	var names []ports.WorkspaceID
	for workspace, spans := range waits(evidence, service) {
		backlog[workspace] = intersect(union(spans), []span{{from, to}})
		names = append(names, workspace)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	curves := serviceCurves(evidence, service, from, to)
	gap := Gap{}
	spread := newHistogram()
	for i, one := range names {
		for _, other := range names[i+1:] {
			for _, both := range intersect(backlog[one], backlog[other]) {
				if both.length() >= minSpan {
					gap.take(spread, curves, one, other, both)
				}
			}
		}
	}
	gap.Median = spread.median()
	return gap
}

func (g *Gap) take(spread *histogram, curves curves, one, other ports.WorkspaceID, both span) {
	times := grid(both)
	difference := make([]float64, len(times))
	for i, at := range times {
		difference[i] = curves.at(one, at) - curves.at(other, at)
	}
	for i := range times {
		for j := i + 1; j < len(times); j++ {
			size := math.Abs(difference[j] - difference[i])
			spread.add(size)
			g.Intervals++
			if size > g.Max {
				g.Max = size
				g.Pair = [2]ports.WorkspaceID{one, other}
				if difference[j] < difference[i] {
					g.Pair = [2]ports.WorkspaceID{other, one}
				}
				g.From, g.To = times[i], times[j]
			}
		}
	}
}

func grid(both span) []time.Time {
	var times []time.Time
	for at := both.from; at.Before(both.to); at = at.Add(gridStep) {
		times = append(times, at)
	}
	return append(times, both.to)
}

// curves is the service over share of each workspace over time.
type curves struct {
	from  time.Time
	sums  map[ports.WorkspaceID][]float64
	steps int
}

// curveStep is the distance of the points of a curve.
const curveStep = 20 * time.Millisecond

func serviceCurves(evidence Evidence, service ports.ServiceName, from, to time.Time) curves {
	c := curves{
		from:  from,
		sums:  make(map[ports.WorkspaceID][]float64),
		steps: int(to.Sub(from)/curveStep) + 2,
	}
	for i := range evidence.Runs {
		run := &evidence.Runs[i]
		if run.Service != string(service) || run.StartedAt.IsZero() {
			continue
		}
		workspace := ports.WorkspaceID(run.Workspace)
		if c.sums[workspace] == nil {
			c.sums[workspace] = make([]float64, c.steps)
		}
		c.addRun(c.sums[workspace], run, Share(evidence.Document, workspace))
	}
	for _, sum := range c.sums {
		for i := 1; i < len(sum); i++ {
			sum[i] += sum[i-1]
		}
	}
	return c
}

// addRun adds what the run got in each step to the step's end.
func (c *curves) addRun(steps []float64, run *standin.Run, share float64) {
	first := max(0, int(run.StartedAt.Sub(c.from)/curveStep))
	previous := run.CostAt(c.time(first))
	for i := first + 1; i < c.steps; i++ {
		cost := run.CostAt(c.time(i))
		steps[i] += (cost - previous) / share
		previous = cost
		if !run.EndedAt.IsZero() && c.time(i).After(run.EndedAt) {
			break
		}
	}
}

func (c *curves) time(step int) time.Time {
	return c.from.Add(time.Duration(step) * curveStep)
}

func (c *curves) at(workspace ports.WorkspaceID, at time.Time) float64 {
	sum := c.sums[workspace]
	if sum == nil {
		return 0
	}
	position := float64(at.Sub(c.from)) / float64(curveStep)
	step := min(max(0, int(position)), c.steps-2)
	return sum[step] + (position-float64(step))*(sum[step+1]-sum[step])
}
