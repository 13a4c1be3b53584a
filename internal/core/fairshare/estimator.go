package fairshare

import "hawthornstream/internal/ports"

// defaultEstimate is the estimate, in cost units, before any call of the
// service was observed.
const defaultEstimate = 64

// newCostWeight is the least weight of a new cost in a moving mean.
const newCostWeight = 0.05

// Estimator predicts the cost of one service's calls by workspace and class
// from the costs observed. It is not safe for concurrent use.
type Estimator struct {
	means   map[estimateKey]*movingMean
	service movingMean
}

// movingMean is the arithmetic mean of the first 1/newCostWeight values and an
// exponentially weighted moving average after that.
type movingMean struct {
	value float64
	count int
}

type estimateKey struct {
	workspace ports.WorkspaceID
	class     ports.ClassName
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{means: make(map[estimateKey]*movingMean)}
}

// Observe records the whole cost of one call, in cost units.
func (e *Estimator) Observe(workspace ports.WorkspaceID, class ports.ClassName, cost float64) {
	key := estimateKey{workspace: workspace, class: class}
	mean, ok := e.means[key]
	if !ok {
		mean = &movingMean{}
		e.means[key] = mean
	}
	mean.add(cost)
	e.service.add(cost)
}

func (m *movingMean) add(value float64) {
	m.count++
	m.value += (value - m.value) * max(newCostWeight, 1/float64(m.count))
}

// Estimate returns the expected cost of a call, in cost units: the mean of its
// workspace and class, of the service when these were never observed, or
// defaultEstimate. A hint above zero is an upper bound of the call's cost.
func (e *Estimator) Estimate(workspace ports.WorkspaceID, class ports.ClassName, hint float64) float64 {
	expected := float64(defaultEstimate)
	if mean, ok := e.means[estimateKey{workspace: workspace, class: class}]; ok {
		expected = mean.value
	} else if e.service.count > 0 {
		expected = e.service.value
	}
	if hint > 0 {
		expected = min(expected, hint)
	}
	return expected
}
