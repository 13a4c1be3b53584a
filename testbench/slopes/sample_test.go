package slopes

import (
	"testing"
	"time"
)

func TestPointHoldsRatesPerDaemon(t *testing.T) {
	start := time.Unix(100, 0)
	before := []daemonSample{{at: start, sentBytesByKind: map[string]float64{}}, {at: start, sentBytesByKind: map[string]float64{}}}
	after := []daemonSample{
		{at: start.Add(2 * time.Second), sentBytes: 200, processorTime: 20 * time.Millisecond, sentBytesByKind: map[string]float64{"probe": 200}},
		{at: start.Add(2 * time.Second), sentBytes: 600, processorTime: 40 * time.Millisecond, sentBytesByKind: map[string]float64{"probe": 600}},
	}
	point := newPoint(before, after)
	if want := (Summary{Min: 100, Mean: 200, Max: 300}); point.SentBytes != want {
		t.Errorf("sent bytes %+v, want %+v", point.SentBytes, want)
	}
	if point.CoreFraction.Max != 0.02 || point.SentBytesByKind["probe"] != 200 {
		t.Errorf("got %+v", point)
	}
}
