package slopes

import (
	"slices"

	"hawthornstream/testbench/experiment"
)

// Summary is the minimum, mean and maximum of a quantity over the daemons of one fleet.
type Summary struct {
	Min  float64 `json:"min"`
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return Summary{
		Min:  slices.Min(values),
		Mean: sum / float64(len(values)),
		Max:  slices.Max(values),
	}
}

// fitLines fits a line to the mean of each quantity over the number of daemons.
func fitLines(points []Point) map[string]experiment.Fit {
	quantities := map[string]func(Point) float64{
		"sent_bytes_per_second":    func(p Point) float64 { return p.SentBytes.Mean },
		"sent_messages_per_second": func(p Point) float64 { return p.SentMessages.Mean },
		"vm_list_bytes_per_second": func(p Point) float64 { return p.VMListBytes.Mean },
		"processor_part":           func(p Point) float64 { return p.CoreFraction.Mean },
		"resident_bytes":           func(p Point) float64 { return p.ResidentBytes.Mean },
		"sessions":                 func(p Point) float64 { return p.Sessions.Mean },
	}
	var daemonCounts []float64
	for _, point := range points {
		daemonCounts = append(daemonCounts, float64(point.Daemons))
	}
	fits := make(map[string]experiment.Fit, len(quantities))
	for name, quantity := range quantities {
		var values []float64
		for _, point := range points {
			values = append(values, quantity(point))
		}
		fits[name] = experiment.FitLine(daemonCounts, values)
	}
	return fits
}
