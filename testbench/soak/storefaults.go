package soak

import (
	"net/http"
	"time"

	"hawthornstream/platform/platformtest"
	"hawthornstream/testbench/faultproxy"
)

func (r *soakRun) failStore() func() {
	r.store.FailWith([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[r.random.IntN(2)])
	return func() { r.store.FailWith(0) }
}

func (r *soakRun) dropStoreHistory() func() {
	r.store.DropHistory()
	return nil
}

// storeCopy is a copy of the store.
type storeCopy struct {
	content platformtest.Copy
	at      time.Time
}

const (
	// storeCopyInterval is the time between two copies of the store, and
	// maxStoreCopyAge the age up to which one may be restored.
	storeCopyInterval = time.Second
	maxStoreCopyAge   = 6 * time.Second
	// rewriteDelay and expiryDelay are how long after a restore the operators and
	// backend servers write what was lost, and the objects of servers that are out of
	// use expire.
	rewriteDelay = time.Second
	expiryDelay  = 3600 * time.Millisecond
)

// copyStore copies the store from time to time, and forgets copies that are too old.
func (r *soakRun) copyStore(now time.Time) {
	if last := len(r.storeCopies) - 1; last < 0 || now.Sub(r.storeCopies[last].at) >= storeCopyInterval {
		r.storeCopies = append(r.storeCopies, storeCopy{content: r.store.Snapshot(), at: now})
	}
	for now.Sub(r.storeCopies[0].at) > maxStoreCopyAge {
		r.storeCopies = r.storeCopies[1:]
	}
}

// restoreStore restores the store from a random copy while it is away for a moment.
// endRestore writes again what was lost. Until then, a daemon that starts can't know
// that a server has left or that the key is revoked, so that the bounds for both begin
// anew.
func (r *soakRun) restoreStore() func() {
	if len(r.storeCopies) == 0 {
		return nil
	}
	earlier := r.storeCopies[r.random.IntN(len(r.storeCopies))]
	r.store.FailWith(http.StatusServiceUnavailable)
	r.store.Restore(earlier.content)
	r.storeCopies = nil
	now := time.Now()
	r.rewriteAt, r.expireAt = now.Add(rewriteDelay), now.Add(expiryDelay)
	r.checker.extendDrainDeadlines(now, r.expireAt.Add(drainTimeout))
	r.extendRevocationDeadline(now)
	return func() { r.store.FailWith(0) }
}

func (r *soakRun) extendRevocationDeadline(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revocationDeadline.After(now) {
		r.revocationDeadline = r.rewriteAt.Add(revocationTimeout)
	}
}

// endRestore writes again what a restore lost once that is due.
func (r *soakRun) endRestore(now time.Time) {
	if !r.rewriteAt.IsZero() && !now.Before(r.rewriteAt) {
		r.rewriteAt = time.Time{}
		r.writeConfiguration()
		for _, server := range r.servers {
			r.writeServer(server)
		}
		for _, server := range r.replacedServers {
			if server.state == stateDraining {
				r.writeServer(server)
			}
		}
	}
	if !r.expireAt.IsZero() && !now.Before(r.expireAt) {
		r.expireAt = time.Time{}
		for _, server := range r.replacedServers {
			if server.state == stateRemoved {
				r.store.Remove("servers", server.Name)
			}
		}
	}
}

func (r *soakRun) randomStoreLink() *faultproxy.Link {
	return r.network.Link(r.randomDaemon().Name, "store")
}

func (r *soakRun) cutStoreLink() func() {
	link := r.randomStoreLink()
	link.BlockBoth()
	return link.Unblock
}

func (r *soakRun) silenceStoreConnections() func() {
	r.randomStoreLink().StallOpenConnections()
	return nil
}
