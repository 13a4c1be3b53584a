package execution

import (
	"sync"
	"time"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// budgets holds the retry budget of each service.
type budgets struct {
	// policy is called for each retry, because this daemon's share of the fleet's
	// retries depends on the number of daemons.
	policy    func() retry.Policy
	mu        sync.Mutex
	byService map[ports.ServiceName]*retry.Budget
}

func newBudgets(policy func() retry.Policy) *budgets {
	if policy == nil {
		policy = retry.DefaultPolicy
	}
	return &budgets{policy: policy, byService: make(map[ports.ServiceName]*retry.Budget)}
}

func (b *budgets) recordFirstTry(service ports.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).RecordFirstTry(now)
}

func (b *budgets) allowRetry(service ports.ServiceName, now time.Time) bool {
	policy := b.policy()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).AllowRetry(now, policy)
}

func (b *budgets) cancelRetry(service ports.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).CancelRetry(now)
}

func (b *budgets) forService(service ports.ServiceName) *retry.Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = new(retry.Budget)
		b.byService[service] = budget
	}
	return budget
}
