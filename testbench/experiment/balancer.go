package experiment

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hawthornstream/testbench/fleet"
)

// readinessCheckInterval is the time between two readiness checks of a daemon.
const readinessCheckInterval = 100 * time.Millisecond

const readinessCheckTimeout = time.Second

// balancer selects ready daemons for calls, as the platform's load balancer
// does.
type balancer struct {
	daemons []*fleet.Daemon
	client  *http.Client

	mu sync.Mutex
	// ready holds the result of each daemon's last readiness check, by index.
	ready []bool
}

func newBalancer(daemons []*fleet.Daemon) *balancer {
	b := &balancer{
		daemons: daemons,
		client:  &http.Client{Timeout: readinessCheckTimeout},
		ready:   make([]bool, len(daemons)),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// pollAllReadiness checks the readiness of all daemons periodically until ctx
// ends.
func (b *balancer) pollAllReadiness(ctx context.Context) {
	var group sync.WaitGroup
	for i := range b.daemons {
		group.Go(func() { b.pollReadiness(ctx, i) })
	}
	group.Wait()
}

func (b *balancer) pollReadiness(ctx context.Context, i int) {
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		ready := b.isReady(ctx, i)
		b.mu.Lock()
		b.ready[i] = ready
		b.mu.Unlock()
	}
}

func (b *balancer) isReady(ctx context.Context, i int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.daemons[i].OperatorsURL()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// selectDaemon returns the preferred daemon, or the next one that is ready. It
// returns the preferred daemon when none is ready.
func (b *balancer) selectDaemon(preferred int) *fleet.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	for offset := range b.daemons {
		index := (preferred + offset) % len(b.daemons)
		if b.ready[index] {
			return b.daemons[index]
		}
	}
	return b.daemons[preferred]
}
