package experiment

import "math"

// Fit is a straight line fitted to measured points by least squares.
type Fit struct {
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	// MaxResidual is the largest distance of a value from the line.
	MaxResidual float64 `json:"spread"`
}

// FitLine fits values as a linear function of sizes. Both have the same length.
func FitLine(sizes, values []float64) Fit {
	count := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += values[i]
		sumXX += x * x
		sumXY += x * values[i]
	}
	fit := Fit{Values: values}
	if denominator := count*sumXX - sumX*sumX; denominator > 0 {
		fit.Slope = (count*sumXY - sumX*sumY) / denominator
	}
	fit.Intercept = (sumY - fit.Slope*sumX) / count
	for i, x := range sizes {
		fit.MaxResidual = max(fit.MaxResidual, math.Abs(values[i]-fit.Intercept-fit.Slope*x))
	}
	return fit
}
