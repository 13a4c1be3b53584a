package streamorigin

import (
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
)

// All daemons are killed at once and start again without memory, while servers of two
// versions serve: whoever guesses joins two versions.
func TestStreamOfUnknownOriginIsResumedOnlyAtTheSingleVersion(t *testing.T) {
	v1 := Origin{Service: "llm", SoftwareVersion: "v1"}
	cases := map[string]struct {
		evidence Evidence
		want     Decision
	}{
		"own": {Evidence{Service: "llm", Origin: v1, Source: SourceOwn}, Decision{SoftwareVersion: "v1", Source: SourceOwn}},
		"home against the list": {
			Evidence{Service: "llm", Origin: v1, Source: SourceHome, SingleVersion: "v2", SingleVersionFor: time.Hour},
			Decision{SoftwareVersion: "v1", Source: SourceHome},
		},
		"the route leads to another service now": {
			Evidence{Service: "other", Origin: v1, Source: SourceHome},
			Decision{Source: SourceHome, Reason: outcome.ReasonSoftwareVersionGone},
		},
		"unknown, one version for long": {
			Evidence{Service: "llm", Source: SourceUnknown, SingleVersion: "v1", SingleVersionFor: MinSingleVersionPeriod},
			Decision{SoftwareVersion: "v1", Source: SourceSingleVersion},
		},
		"unknown, one version for a short time": {
			Evidence{Service: "llm", Source: SourceUnknown, SingleVersion: "v1", SingleVersionFor: MinSingleVersionPeriod - 1},
			Decision{Source: SourceUnknown, Reason: outcome.ReasonStreamOriginUnknown},
		},
		"unknown, several versions": {
			Evidence{Service: "llm", Source: SourceUnknown},
			Decision{Source: SourceUnknown, Reason: outcome.ReasonStreamOriginUnknown},
		},
	}
	for name, c := range cases {
		if got := Decide(c.evidence); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// A server of another version that came and went, a list that was not watched, and a
// pause of the daemon each may hide streams of another version.
func TestSingleVersionCountsFromItsLastDoubt(t *testing.T) {
	type observation struct {
		after    time.Duration
		versions []string
		fresh    bool
	}
	v1, both := []string{"v1"}, []string{"v1", "v2"}
	steady := func(seconds int) (all []observation) {
		for range seconds {
			all = append(all, observation{time.Second, v1, true})
		}
		return all
	}
	join := func(parts ...[]observation) (all []observation) {
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	cases := map[string]struct {
		observations []observation
		version      string
		period       time.Duration
	}{
		"steady":           {steady(21), "v1", 20 * time.Second},
		"another version":  {join(steady(9), []observation{{time.Second, both, true}}, steady(4)), "v1", 3 * time.Second},
		"several versions": {join(steady(9), []observation{{time.Second, both, true}}), "", 0},
		"replaced":         {join(steady(9), []observation{{time.Second, []string{"v2"}, true}}), "v2", 0},
		"no server": {
			join(steady(9), []observation{{time.Second, nil, true}}, steady(2)), "v1", 11 * time.Second},
		"stale":            {join(steady(9), []observation{{time.Second, v1, false}}), "", 0},
		"stale for a time": {join(steady(9), []observation{{time.Second, v1, false}}, steady(4)), "v1", 3 * time.Second},
		"paused": {
			join(steady(9), []observation{{maxObservationGap + 1, v1, true}}, steady(2)), "v1", 2 * time.Second},
		"never listed": {nil, "", 0},
	}
	for name, c := range cases {
		history, now := VersionHistory{}, time.Unix(1, 0)
		for _, o := range c.observations {
			now = now.Add(o.after)
			history.Observe(now, o.versions, o.fresh)
		}
		if version, period := history.SingleVersion(now); version != c.version || period != c.period {
			t.Errorf("%s: got %q for %v, want %q for %v", name, version, period, c.version, c.period)
		}
		if _, period := history.SingleVersion(now.Add(maxObservationGap + 1)); period != 0 {
			t.Errorf("%s: %v without observations", name, period)
		}
	}
}
