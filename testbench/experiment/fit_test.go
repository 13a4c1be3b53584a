package experiment

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	fit := FitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 || fit.MaxResidual > 1e-9 {
		t.Errorf("%+v", fit)
	}
	fit = FitLine([]float64{0, 1, 2, 3}, []float64{0, 2, 0, 2})
	if math.Abs(fit.Slope-0.4) > 1e-9 || math.Abs(fit.MaxResidual-1.2) > 1e-9 {
		t.Errorf("%+v", fit)
	}
}
