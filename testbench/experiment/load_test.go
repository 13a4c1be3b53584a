package experiment

import (
	"math"
	"testing"
	"time"
)

func TestArrivalsAreDeterministicAndIndependentOfOtherSources(t *testing.T) {
	sources := Agency.overloadSources()
	arrivals := GenerateArrivals(7, 3, 2*time.Second, sources)
	regenerated := GenerateArrivals(7, 3, 2*time.Second, sources)
	if len(arrivals) == 0 || len(arrivals) != len(regenerated) {
		t.Fatalf("%d and %d arrivals for the same seed", len(arrivals), len(regenerated))
	}
	for i := range arrivals {
		if arrivals[i].Offset != regenerated[i].Offset || arrivals[i].Call.Operation != regenerated[i].Call.Operation || arrivals[i].Call.Tokens != regenerated[i].Call.Tokens {
			t.Fatalf("arrival %d differs for the same seed", i)
		}
	}
	firstSourceArrivals := GenerateArrivals(7, 3, 2*time.Second, sources[:1])
	found := 0
	for _, arrival := range arrivals {
		if found < len(firstSourceArrivals) && arrival.Call.Operation == firstSourceArrivals[found].Call.Operation && arrival.Offset == firstSourceArrivals[found].Offset {
			found++
		}
	}
	if found != len(firstSourceArrivals) {
		t.Errorf("%d of %d arrivals of the first source are unchanged by the other sources", found, len(firstSourceArrivals))
	}
}

func TestMixOffersItsConfiguredLoad(t *testing.T) {
	const duration = 60 * time.Second
	for _, mix := range Mixes {
		var tokens float64
		for _, arrival := range GenerateArrivals(1, 1, duration, mix.overloadSources()) {
			tokens += float64(arrival.Call.Tokens)
		}
		offered := tokens / duration.Seconds() / modelTokensPerSecond
		if want := largeLoadFraction + mediumLoadFraction + smallLoadFraction; math.Abs(offered-want) > 0.05 {
			t.Errorf("%s offers %.2f of capacity, want %.2f", mix.Name, offered, want)
		}
	}
}

func TestEveryScenarioHasAPlan(t *testing.T) {
	for _, scenario := range Scenarios() {
		plan := scenario.Plan(Config{Scenario: scenario.Name, Daemons: 3, Seed: 1, LoadDuration: 20 * time.Second, Mix: HoaMai, Logf: t.Logf})
		if plan.Service == "" || plan.RunCustom == nil && len(plan.Arrivals) == 0 {
			t.Errorf("%s: service %q, %d arrivals", scenario.Name, plan.Service, len(plan.Arrivals))
		}
	}
}
