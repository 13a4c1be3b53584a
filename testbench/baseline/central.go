package baseline

import (
	"net/http"
	"sync"

	"hawthornstream/testbench/standin"
)

// estimateUpdateWeight is the weight of the newest cost in the moving average that
// estimates the cost of a workspace's calls.
const estimateUpdateWeight = 0.1

// initialCostEstimate is the cost estimate of a workspace's first call, in tokens.
const initialCostEstimate = 50

// CentralRouter is a single router in front of all backends with one queue for each
// workspace. It assigns each free slot to the waiting workspace with the least charged
// service. A call is charged its estimated cost at the start, the excess while it
// streams, and its actual cost at the end.
type CentralRouter struct {
	*standin.Server

	client   *http.Client
	backends []Backend

	// mu guards the fields below.
	mu sync.Mutex
	// freeSlots holds the index of a backend for each of its free slots.
	freeSlots  []int
	workspaces map[string]*workspace
	// backlogged holds the workspaces that have waiting calls.
	backlogged map[string]*workspace
}

// workspace is the state of a workspace. Costs are in tokens.
type workspace struct {
	chargedService float64
	costEstimate   float64
	// waitingCalls holds a channel for each waiting call, which receives the call
	// once it has a slot.
	waitingCalls []chan *runningCall
}

// runningCall is a call that holds a slot. backend is an index into the backends;
// costs are in tokens.
type runningCall struct {
	backend   int
	workspace *workspace
	charged   float64
	cost      float64
}

// StartCentralRouter starts a router on an address of its own.
func StartCentralRouter(backends []Backend) (*CentralRouter, error) {
	router := &CentralRouter{
		client:     newClient(),
		backends:   backends,
		workspaces: make(map[string]*workspace),
		backlogged: make(map[string]*workspace),
	}
	maxBatchSize := 0
	for _, backend := range backends {
		maxBatchSize = max(maxBatchSize, backend.BatchSize)
	}
	for slot := range maxBatchSize {
		for i, backend := range backends {
			if slot < backend.BatchSize {
				router.freeSlots = append(router.freeSlots, i)
			}
		}
	}
	server, err := standin.Start(router)
	if err != nil {
		return nil, err
	}
	router.Server = server
	return router, nil
}

// ServeHTTP implements http.Handler.
func (c *CentralRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incoming, err := readCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	granted := c.enqueue(incoming.Metadata.Workspace)
	var running *runningCall
	select {
	case running = <-granted:
	case <-r.Context().Done():
		c.cancelCall(incoming.Metadata.Workspace, granted)
		return
	}
	defer c.finishCall(running)
	forward(r.Context(), c.client, w, c.backends[running.backend], incoming, func(events int) { c.chargeEvents(running, events) })
}

// enqueue queues a call of a workspace and returns the channel that receives it once it
// has a slot. A workspace that had no waiting calls starts at the least charged service
// of the backlogged ones at least, so that it gains nothing from its idle time.
func (c *CentralRouter) enqueue(workspaceName string) chan *runningCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.workspaces[workspaceName]
	if state == nil {
		state = &workspace{costEstimate: initialCostEstimate}
		c.workspaces[workspaceName] = state
	}
	if len(state.waitingCalls) == 0 {
		state.chargedService = max(state.chargedService, c.minChargedService())
		c.backlogged[workspaceName] = state
	}
	granted := make(chan *runningCall, 1)
	state.waitingCalls = append(state.waitingCalls, granted)
	c.assignSlots()
	return granted
}

// minChargedService returns the least charged service of the backlogged workspaces, 0
// if there is none. The caller holds the lock.
func (c *CentralRouter) minChargedService() float64 {
	first := true
	var lowest float64
	for _, state := range c.backlogged {
		if first || state.chargedService < lowest {
			lowest = state.chargedService
			first = false
		}
	}
	return lowest
}

// assignSlots assigns free slots to waiting calls. The caller holds the lock.
func (c *CentralRouter) assignSlots() {
	for len(c.freeSlots) > 0 && len(c.backlogged) > 0 {
		chosen := ""
		for name, state := range c.backlogged {
			if chosen == "" || state.chargedService < c.backlogged[chosen].chargedService {
				chosen = name
			}
		}
		next := c.backlogged[chosen]
		next.waitingCalls[0] <- &runningCall{backend: c.freeSlots[0], workspace: next, charged: next.costEstimate}
		c.freeSlots = c.freeSlots[1:]
		next.waitingCalls = next.waitingCalls[1:]
		next.chargedService += next.costEstimate
		if len(next.waitingCalls) == 0 {
			delete(c.backlogged, chosen)
		}
	}
}

// chargeEvents adds a token for each event to the cost of a call and charges what
// exceeds the estimate.
func (c *CentralRouter) chargeEvents(running *runningCall, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running.cost += float64(events)
	if excess := running.cost - running.charged; excess > 0 {
		running.charged += excess
		running.workspace.chargedService += excess
	}
}

// finishCall corrects the charge of a call to its actual cost and releases its slot.
func (c *CentralRouter) finishCall(running *runningCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running.workspace.chargedService += running.cost - running.charged
	running.workspace.costEstimate += estimateUpdateWeight * (running.cost - running.workspace.costEstimate)
	c.freeSlots = append(c.freeSlots, running.backend)
	c.assignSlots()
}

// cancelCall removes a call from the queue, or releases its slot and reverts its charge
// if it got a slot in the meantime.
func (c *CentralRouter) cancelCall(workspaceName string, granted chan *runningCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.workspaces[workspaceName]
	for i, waiting := range state.waitingCalls {
		if waiting == granted {
			state.waitingCalls = append(state.waitingCalls[:i], state.waitingCalls[i+1:]...)
			if len(state.waitingCalls) == 0 {
				delete(c.backlogged, workspaceName)
			}
			return
		}
	}
	running := <-granted
	state.chargedService -= running.charged
	c.freeSlots = append(c.freeSlots, running.backend)
	c.assignSlots()
}
