package sharing

import (
	"context"
	"errors"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// waiter is one goroutine that waits for a slot. Exactly one of slot and refusal
// is set before done is closed; Manager.mu must be held to set it.
type waiter struct {
	item *admission.Item
	// callsAhead and contendingWorkspaces are those of ports.GrantDetails.
	callsAhead           int
	contendingWorkspaces int
	done                 chan struct{}
	slot                 *heldSlot
	refusal              *outcome.Refusal
}

// isAnswered reports whether the waiter has a slot or a refusal.
func (w *waiter) isAnswered() bool {
	return w.slot != nil || w.refusal != nil
}

func (w *waiter) refuse(refusal *outcome.Refusal) {
	if w.isAnswered() {
		return
	}
	w.refusal = refusal
	close(w.done)
}

func (w *waiter) assign(slot *heldSlot) {
	w.slot = slot
	close(w.done)
}

// Acquire implements ports.SlotBroker.
func (m *Manager) Acquire(ctx context.Context, call *ports.Call) (ports.Slot, error) {
	w, refusal := m.enqueue(time.Now(), call)
	if refusal != nil {
		return nil, refusal
	}
	deadline := time.NewTimer(time.Until(call.Deadline))
	defer deadline.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		m.abandon(w, callerGoneRefusal(ctx))
	case <-deadline.C:
		m.abandon(w, deadlineRefusal())
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.slot, nil
}

func (m *Manager) enqueue(now time.Time, call *ports.Call) (*waiter, *outcome.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil, stoppingRefusal()
	}
	if !now.Before(call.Deadline) {
		return nil, deadlineRefusal()
	}
	if len(m.document.Workspaces[call.Workspace].AllowedRegions) > 0 {
		return nil, regionsNotSupportedRefusal()
	}
	m.lastItemID++
	item := &admission.Item{
		ID:           m.lastItemID,
		Service:      call.Service,
		Workspace:    call.Workspace,
		Class:        call.Class,
		FirstTokenBy: call.FirstTokenBy,
		Deadline:     call.Deadline,
		Arrived:      now,
		Bytes:        int64(len(call.Body)) + callOverheadBytes,
	}
	callsAhead, contendingWorkspaces := contention(m.queue.Backlogs(call.Service), call.Workspace)
	shed, refusal := m.queue.Push(now, item)
	for _, shedItem := range shed {
		m.takeWaiter(shedItem.ID).refuse(m.queue.FullRefusal(now, shedItem.Workspace))
	}
	if refusal != nil {
		return nil, refusal
	}
	w := &waiter{item: item, callsAhead: callsAhead, contendingWorkspaces: contendingWorkspaces, done: make(chan struct{})}
	m.waiters[item.ID] = w
	m.sendDemandChanges(now, m.entryService(call.Service))
	return w, nil
}

// contention returns the number of waiting calls of a workspace, and the number of
// other workspaces that wait.
func contention(backlogs []admission.Backlog, workspace ports.WorkspaceID) (callsAhead, contendingWorkspaces int) {
	for _, backlog := range backlogs {
		if backlog.Workspace == workspace {
			callsAhead = backlog.Count
			continue
		}
		contendingWorkspaces++
	}
	return callsAhead, contendingWorkspaces
}

// takeWaiter removes and returns a waiter that is about to be answered.
func (m *Manager) takeWaiter(id admission.ItemID) *waiter {
	w := m.waiters[id]
	delete(m.waiters, id)
	return w
}

// abandon ends a wait because the caller or its deadline has gone. A slot that was
// assigned in the meantime is returned unused.
func (m *Manager) abandon(w *waiter, refusal *outcome.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if w.slot != nil {
		m.returnUnused(w.slot)
		w.slot = nil
		w.refusal = refusal
		return
	}
	if w.refusal != nil {
		return
	}
	m.queue.Remove(w.item.ID)
	m.takeWaiter(w.item.ID)
	w.refuse(refusal)
	m.sendDemandChanges(now, m.entryService(w.item.Service))
}

func callerGoneRefusal(ctx context.Context) *outcome.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineRefusal()
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonCallerGone,
		End:    outcome.NotRun,
		Detail: "the caller hung up while the call waited",
	}
}

func deadlineRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.ReasonDeadlineExceeded,
		End:        outcome.NotRun,
		Detail:     "no slot came free before the deadline",
		RetryAfter: time.Second,
	}
}

// regionsNotSupportedRefusal refuses a call that may run in some regions only: shard owners
// grant slots in any.
func regionsNotSupportedRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonNoAllowedRegion,
		End:    outcome.NotRun,
		Detail: "the workspace is bound to regions, and shared slots may lie in any",
	}
}

func noServerRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.ReasonNoServer,
		End:        outcome.NotRun,
		Detail:     "no backend server of the service is known",
		RetryAfter: maxWaitWithoutServers,
	}
}
