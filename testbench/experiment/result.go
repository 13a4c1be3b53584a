package experiment

import (
	"fmt"

	"hawthornstream/internal/core/configuration"
)

// Result holds the figures of one run and its violations. The command prints it as
// its last line of output. Gaps and costs are in tokens, waits in milliseconds.
type Result struct {
	Scenario string `json:"scenario"`
	Mix      string `json:"mix"`
	Daemons  int    `json:"daemons"`
	Seed     uint64 `json:"seed"`
	// Requests is the number of calls that callers made.
	Requests int `json:"requests"`

	FairnessGapMax               float64 `json:"fairness_gap_max"`
	FairnessGapMedian            float64 `json:"fairness_gap_median"`
	FairnessGapBound             float64 `json:"fairness_gap_bound"`
	FairnessGapMedianCentral     float64 `json:"fairness_gap_median_central"`
	FairnessGapMaxCentral        float64 `json:"fairness_gap_max_central"`
	FairnessGapMedianIndependent float64 `json:"fairness_gap_median_independent"`
	FairnessGapMaxIndependent    float64 `json:"fairness_gap_max_independent"`
	// FairnessIntervals is the number of intervals compared for the gap.
	FairnessIntervals int     `json:"fairness_intervals"`
	LargestCost       float64 `json:"largest_cost"`
	// Utilisation is the used fraction of the model's slots over the WaitedSeconds
	// in which work waited.
	Utilisation            float64 `json:"utilisation"`
	UtilisationCentral     float64 `json:"utilisation_central"`
	UtilisationIndependent float64 `json:"utilisation_independent"`
	WaitedSeconds          float64 `json:"waited_seconds"`

	// The control bytes are all bytes that daemons sent to each other during the
	// load, by their own counters.
	ControlBytesPerRequest         float64 `json:"control_bytes_per_request"`
	ControlBytesPerSecondPerDaemon float64 `json:"control_bytes_per_second_per_daemon"`
	// ControlCPUFraction is an upper bound of the processor time spent on control
	// traffic: all processor time of a daemon's process during the load, the
	// relaying of answers included, as a fraction of one core. It is the mean over
	// the daemons.
	ControlCPUFraction float64 `json:"control_cpu_fraction"`
	// IdleCPUFraction is the same fraction, measured before the load.
	IdleCPUFraction float64 `json:"idle_cpu_fraction"`
	// CrossRegionBytesPerRequest counts requests, answers and control traffic.
	CrossRegionBytesPerRequest float64 `json:"cross_region_bytes_per_request"`

	WaitP50 float64 `json:"wait_p50_ms"`
	WaitP95 float64 `json:"wait_p95_ms"`
	// WaitP50Central is the median at the central queue, which serves the model's
	// calls only.
	WaitP50Central float64 `json:"wait_p50_ms_central"`

	// Refused counts the refusals by reason, GivenUp the calls that their callers
	// cancelled.
	Refused map[string]int `json:"refused"`
	GivenUp int            `json:"given_up"`

	// The number of violations of each guarantee that package audit checks: calls
	// that are not repeatable and ran more than once, answers that claim falsely that
	// the call did not run, answers that belong to another call or lost parts, and
	// calls cut off without a whole answer or a refusal.
	DoubleRuns   int `json:"double_runs"`
	FalseNotRun  int `json:"false_not_run"`
	WrongAnswers int `json:"wrong_answers"`
	CutCalls     int `json:"cut_calls"`

	// Figures holds the figures that are specific to the scenario.
	Figures map[string]float64 `json:"figures,omitempty"`
	// Violations describes the bounds and guarantees that were violated.
	Violations []string `json:"violations"`
}

// The bounds of the design. The bound of the largest fairness gap is one largest
// cost for each slot plus maxGapCapacitySeconds of the service's capacity; the
// gap factors multiply the largest cost or the central queue's gap, and
// maxFloodWaitIncreaseFactor the wait at the central queue. The bound in bytes
// per second is for each daemon.
const (
	maxGapCapacitySeconds      = 2.0
	maxMedianGapCostFactor     = 2.0
	maxMedianGapCentralFactor  = 1.25
	maxGapCentralFactor        = 1.5
	minUtilisation             = 0.97
	maxControlBytesPerRequest  = 150.0
	maxControlBytesPerSecond   = 16 << 10
	maxFloodWaitIncreaseFactor = 2.0
)

// AddViolation adds a formatted violation.
func (r *Result) AddViolation(format string, values ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

// AddFigure sets a figure that is specific to the scenario.
func (r *Result) AddFigure(name string, value float64) {
	if r.Figures == nil {
		r.Figures = make(map[string]float64)
	}
	r.Figures[name] = value
}

// CheckAtMost adds a violation when a value exceeds its bound.
func (r *Result) CheckAtMost(name string, value, bound float64) {
	if value > bound {
		r.AddViolation("%s is %.4g, bound %.4g", name, value, bound)
	}
}

// CheckAtLeast adds a violation when a value is below its bound.
func (r *Result) CheckAtLeast(name string, value, bound float64) {
	if value < bound {
		r.AddViolation("%s is %.4g, bound %.4g", name, value, bound)
	}
}

// checkBounds adds violations of the bounds that hold for all scenarios with the
// generated load, and of those for a steady load if the plan has one.
func (r *Result) checkBounds(plan *Plan) {
	r.CheckAtMost("fairness_gap_max", r.FairnessGapMax, r.FairnessGapBound)
	if plan.SteadyLoad {
		r.checkSteadyLoadBounds(plan)
	}
}

func (r *Result) checkSteadyLoadBounds(plan *Plan) {
	r.CheckAtMost("fairness_gap_median", r.FairnessGapMedian, maxMedianGapCostFactor*r.LargestCost)
	r.CheckAtLeast("utilisation", r.Utilisation, minUtilisation)
	r.CheckAtMost("control_bytes_per_request", r.ControlBytesPerRequest, maxControlBytesPerRequest)
	r.CheckAtMost("control_bytes_per_second_per_daemon", r.ControlBytesPerSecondPerDaemon, maxControlBytesPerSecond)
	if plan.NoBaselines {
		return
	}
	r.CheckAtMost("fairness_gap_median", r.FairnessGapMedian, maxMedianGapCentralFactor*r.FairnessGapMedianCentral)
	r.CheckAtMost("fairness_gap_max", r.FairnessGapMax, maxGapCentralFactor*r.FairnessGapMaxCentral)
}

// smallestShare returns the smallest share target of the workspaces, at most one.
// It scales the bound of the fairness gap, which is stated for a share of one.
func smallestShare(document configuration.Document) float64 {
	smallest := 1.0
	for _, workspace := range document.Workspaces {
		if workspace.ShareTarget > 0 {
			smallest = min(smallest, workspace.ShareTarget)
		}
	}
	return smallest
}
