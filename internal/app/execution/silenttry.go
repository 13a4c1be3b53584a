package execution

import (
	"sync"
	"time"

	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// silentTry decides whether a try whose connection is silent is abandoned, and holds the
// slot of the try that takes its place. It is safe for concurrent use: the connection's
// silence is noticed on another goroutine than that of the run.
type silentTry struct {
	executor *Executor
	// call is the call as it would be sent next: its FailedServers include the server
	// of this try.
	call ports.Call
	// try is the state of the call with this try, except for its end.
	try retry.FailedTry

	mu sync.Mutex
	// ended is true once the run has returned.
	ended bool
	// next is the slot of the try that takes the place of this one; nil for none.
	next ports.Slot
}

// newSilentTry returns the silentTry of the try that is about to be sent to the server.
func (r *retryLoop) newSilentTry(server ports.VM) *silentTry {
	s := &silentTry{executor: r.executor, call: *r.call}
	if r.call.Stream {
		// The caller may have got an event of this run by the time of the decision.
		s.call.SoftwareVersion = server.SoftwareVersion
	}
	s.call.FailedServers = append(append([]ports.VMName(nil), r.call.FailedServers...), server.Name)
	s.try = r.failedTry(ports.RunResult{}, r.sink.Begun() || r.call.Stream)
	s.try.SentTries++
	return s
}

// mayAbandon implements ports.Call.MayAbandonSilent. If it returns true, the retry is
// charged to the budget and has its slot.
func (s *silentTry) mayAbandon(silence time.Duration) bool {
	broker, ok := s.executor.broker.(ports.ImmediateSlotBroker)
	if !ok {
		return false
	}
	now := time.Now()
	try := s.try
	try.TimeLeft = s.call.Deadline.Sub(now)
	if !retry.MayAbandonSilent(try) {
		s.executor.reporter.silentTryKept(&s.call, silence, keptNotAllowed)
		return false
	}
	if s.hasNext() {
		return true
	}
	if !s.executor.budgets.allowRetry(s.call.Service, now) {
		s.executor.reporter.silentTryKept(&s.call, silence, keptBudget)
		return false
	}
	slot, ok := broker.TryAcquire(&s.call)
	if !ok {
		s.executor.budgets.cancelRetry(s.call.Service, now)
		s.executor.reporter.silentTryKept(&s.call, silence, keptNoSlot)
		return false
	}
	return s.setNext(slot)
}

func (s *silentTry) hasNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next != nil
}

// releaseUnused gives back the slot and the budget of a retry that is not made.
func (e *Executor) releaseUnused(service ports.ServiceName, slot ports.Slot) {
	slot.Release(ports.RunReport{})
	e.budgets.cancelRetry(service, time.Now())
}

// setNext stores the slot of the next try. If the run has ended meanwhile, it releases
// the slot and returns false.
func (s *silentTry) setNext(slot ports.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.executor.releaseUnused(s.call.Service, slot)
		return false
	}
	s.next = slot
	return true
}

// end records that the run has returned, and returns the slot of the next try or nil.
func (s *silentTry) end() ports.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.next
}
