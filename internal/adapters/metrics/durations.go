package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// durationBuckets span the times from a local answer to the longest stream.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 15)

// Durations gives the histograms of one name by the value of their tag. It is
// safe for concurrent use.
type Durations struct {
	scope tally.Scope
	name  string
	tag   string

	histograms sync.Map
}

// NewDurations returns the histograms of a name with the given tag.
func NewDurations(scope tally.Scope, name, tag string) *Durations {
	return &Durations{scope: scope, name: name, tag: tag}
}

// Record counts a duration in the histogram with the value of the tag.
func (d *Durations) Record(took time.Duration, value string) {
	if found, ok := d.histograms.Load(value); ok {
		found.(tally.Histogram).RecordDuration(took)
		return
	}
	histogram := d.scope.Tagged(map[string]string{d.tag: value}).Histogram(d.name, durationBuckets)
	d.histograms.Store(value, histogram)
	histogram.RecordDuration(took)
}
