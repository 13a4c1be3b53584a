package baseline

import (
	"net/http"
	"sync"

	"hawthornstream/testbench/standin"
)

// IndependentRouter is a router that sends each call at once to the backend with the
// fewest open calls of this router. It shares no state with other routers.
type IndependentRouter struct {
	*standin.Server

	client   *http.Client
	backends []Backend

	// mu guards the fields below.
	mu sync.Mutex
	// openCalls is the number of open calls at each backend.
	openCalls []int
	// nextPreferred is the index, modulo the number of backends, of the backend that
	// the next call prefers among equals.
	nextPreferred int
}

// StartIndependentRouter starts a router on an address of its own. firstPreferred is the
// index of the backend that its first call prefers among equals.
func StartIndependentRouter(backends []Backend, firstPreferred int) (*IndependentRouter, error) {
	router := &IndependentRouter{
		client:        newClient(),
		backends:      backends,
		openCalls:     make([]int, len(backends)),
		nextPreferred: firstPreferred,
	}
	server, err := standin.Start(router)
	if err != nil {
		return nil, err
	}
	router.Server = server
	return router, nil
}

// ServeHTTP implements http.Handler.
func (i *IndependentRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incoming, err := readCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	chosen := i.chooseBackend()
	defer i.releaseBackend(chosen)
	forward(r.Context(), i.client, w, i.backends[chosen], incoming, func(int) {})
}

// chooseBackend returns the index of the backend with the fewest open calls and counts
// one more there.
func (i *IndependentRouter) chooseBackend() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	best := -1
	for k := range i.backends {
		candidate := (i.nextPreferred + k) % len(i.backends)
		if best < 0 || i.openCalls[candidate] < i.openCalls[best] {
			best = candidate
		}
	}
	i.nextPreferred++
	i.openCalls[best]++
	return best
}

func (i *IndependentRouter) releaseBackend(backend int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.openCalls[backend]--
}
