package audit

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// recordedUnitsPerCostUnit scales costs to the integers that the histogram
	// records.
	recordedUnitsPerCostUnit = 1000
	// maxRecordedUnits is the largest recorded value. Larger ones are clamped to it.
	maxRecordedUnits = 1_000_000_000_000
	// significantDigits is the histogram's resolution in decimal digits.
	significantDigits = 3
	medianPercentile  = 50
)

// costHistogram is a histogram of values in cost units.
type costHistogram struct {
	counts *hdrhistogram.Histogram
}

func newCostHistogram() *costHistogram {
	return &costHistogram{counts: hdrhistogram.New(1, maxRecordedUnits, significantDigits)}
}

func (h *costHistogram) record(cost float64) {
	units := min(int64(math.Round(cost*recordedUnitsPerCostUnit)), maxRecordedUnits)
	// RecordValue fails only for values out of range.
	_ = h.counts.RecordValue(units)
}

// median returns the median in cost units, or 0 if nothing was recorded.
func (h *costHistogram) median() float64 {
	if h.counts.TotalCount() == 0 {
		return 0
	}
	return float64(h.counts.ValueAtQuantile(medianPercentile)) / recordedUnitsPerCostUnit
}
