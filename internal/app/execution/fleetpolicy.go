package execution

import (
	"sync/atomic"
	"time"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// budgetSafetyFactor is the fraction of the allowed retries that is used. The rest is a
// reserve because the time windows of the daemons' budgets and that of the fleet's
// limit do not start together.
const budgetSafetyFactor = 0.8

const (
	// startupPeriod is how long after its start a daemon may not know the others. It takes
	// the fleet to have at least startupDaemons then.
	startupPeriod  = 5 * time.Second
	startupDaemons = 16
)

// fleetRetryPolicy gives this daemon its share of the retries that the fleet may make.
type fleetRetryPolicy struct {
	settings  settings.Retries
	directory ports.Directory
	// maxDaemons is the greatest number of daemons considered alive so far. During
	// a network partition each daemon considers fewer daemons alive, and the shares
	// must still not add up to more than the fleet's retries.
	maxDaemons atomic.Int64
	startedAt  time.Time
}

func newFleetRetryPolicy(startedAt time.Time, s settings.Retries, directory ports.Directory) *fleetRetryPolicy {
	return &fleetRetryPolicy{settings: s, directory: directory, startedAt: startedAt}
}

// daemonPolicy returns the retry policy of this daemon. Without a minimum of retries
// for the fleet in the settings, it is that of retry.DefaultPolicy with the ratio of
// the settings.
func (p *fleetRetryPolicy) daemonPolicy() retry.Policy {
	policy := retry.DefaultPolicy()
	policy.RetryRatio = p.settings.Ratio
	if p.settings.MinFleetRetries == 0 {
		return policy
	}
	alive := int64(len(p.directory.Daemons()))
	highest := p.maxDaemons.Load()
	for alive > highest && !p.maxDaemons.CompareAndSwap(highest, alive) {
		highest = p.maxDaemons.Load()
	}
	daemons := max(alive, highest, 1)
	if time.Since(p.startedAt) < startupPeriod {
		daemons = max(daemons, startupDaemons)
	}
	policy.RetryRatio *= budgetSafetyFactor
	policy.MinRetries = int(budgetSafetyFactor * p.settings.MinFleetRetries / float64(daemons))
	return policy
}
