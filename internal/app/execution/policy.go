package execution

import (
	"sync/atomic"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// budgetUse is the part of the allowed retries that is used: the fleet's window
// and a daemon's own do not begin together.
const budgetUse = 0.8

// policyShare gives this daemon its part of the retries that the fleet may make.
type policyShare struct {
	settings  settings.Retries
	directory ports.Directory
	// most is the greatest number of daemons seen: when daemons lose sight of
	// each other, their parts must not add up to more than the whole.
	most atomic.Int64
}

func newPolicyShare(s settings.Retries, directory ports.Directory) *policyShare {
	return &policyShare{settings: s, directory: directory}
}

func (p *policyShare) policy() retry.Policy {
	policy := retry.DefaultPolicy()
	policy.RetryRatio = p.settings.Part
	if p.settings.FleetFloor == 0 {
		return policy
	}
	live := int64(len(p.directory.Daemons()))
	most := p.most.Load()
	for live > most && !p.most.CompareAndSwap(most, live) {
		most = p.most.Load()
	}
	daemons := max(live, most, 1)
	policy.RetryRatio *= budgetUse
	policy.MinRetries = int(budgetUse * float64(p.settings.FleetFloor) / float64(daemons))
	return policy
}
