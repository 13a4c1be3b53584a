package sharing

import (
	"context"
	"errors"
	"time"

	"hawthornstream/internal/core/admission"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// waiter is one goroutine that waits for a slot. Exactly one of slot and
// refusal is set, by the holder of the manager's mutex, before done is closed.
type waiter struct {
	item *admission.Item
	// ahead and contenders are as ports.SlotOrigin has them.
	ahead      int
	contenders int
	done       chan struct{}
	slot       *heldSlot
	refusal    *outcome.Refusal
}

func (w *waiter) settled() bool {
	return w.slot != nil || w.refusal != nil
}

func (w *waiter) refuse(refusal *outcome.Refusal) {
	if w.settled() {
		return
	}
	w.refusal = refusal
	close(w.done)
}

func (w *waiter) give(slot *heldSlot) {
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
		m.giveUp(w, goneRefusal(ctx))
	case <-deadline.C:
		m.giveUp(w, deadlineRefusal())
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
	m.lastItem++
	item := &admission.Item{
		ID:           m.lastItem,
		Service:      call.Service,
		Workspace:    call.Workspace,
		Class:        call.Class,
		FirstTokenBy: call.FirstTokenBy,
		Deadline:     call.Deadline,
		Arrived:      now,
		Bytes:        int64(len(call.Body)) + callOverhead,
	}
	ahead, contenders := rivals(m.queue.Backlogs(call.Service), call.Workspace)
	shed, refusal := m.queue.Push(now, item)
	for _, other := range shed {
		m.settle(other.ID).refuse(m.queue.FullRefusal(now, other.Workspace))
	}
	if refusal != nil {
		return nil, refusal
	}
	w := &waiter{item: item, ahead: ahead, contenders: contenders, done: make(chan struct{})}
	m.waiters[item.ID] = w
	m.askOwners(now, m.entryService(call.Service))
	return w, nil
}

// rivals counts the waiting calls of a workspace, and the other workspaces that
// wait.
func rivals(summary []admission.Backlog, workspace ports.WorkspaceID) (ahead, contenders int) {
	for _, waiting := range summary {
		if waiting.Workspace == workspace {
			ahead = waiting.Count
			continue
		}
		contenders++
	}
	return ahead, contenders
}

// settle forgets a waiter that is about to be answered.
func (m *Manager) settle(id admission.ItemID) *waiter {
	w := m.waiters[id]
	delete(m.waiters, id)
	return w
}

// giveUp ends a wait from the caller's side. A slot that came meanwhile goes
// back unused.
func (m *Manager) giveUp(w *waiter, refusal *outcome.Refusal) {
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
	m.settle(w.item.ID)
	w.refuse(refusal)
	m.askOwners(now, m.entryService(w.item.Service))
}

func goneRefusal(ctx context.Context) *outcome.Refusal {
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

func noServerRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.ReasonNoServer,
		End:        outcome.NotRun,
		Detail:     "no backend server of the service is known",
		RetryAfter: noServerPatience,
	}
}
