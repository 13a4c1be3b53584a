package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// durationBuckets are 15 buckets that double from 2 ms, the duration of a local
// answer, to that of the longest stream.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 15)

// DurationHistogramVec holds the duration histograms of one name, one for each
// value of their tag. It is safe for concurrent use.
type DurationHistogramVec struct {
	scope tally.Scope
	name  string
	tag   string

	histograms sync.Map
}

// NewDurationHistogramVec returns the histograms of a name with the given tag.
func NewDurationHistogramVec(scope tally.Scope, name, tag string) *DurationHistogramVec {
	return &DurationHistogramVec{scope: scope, name: name, tag: tag}
}

// Record adds a duration to the histogram with the tag value.
func (v *DurationHistogramVec) Record(duration time.Duration, tagValue string) {
	if found, ok := v.histograms.Load(tagValue); ok {
		found.(tally.Histogram).RecordDuration(duration)
		return
	}
	histogram := v.scope.Tagged(map[string]string{v.tag: tagValue}).Histogram(v.name, durationBuckets)
	v.histograms.Store(tagValue, histogram)
	histogram.RecordDuration(duration)
}
