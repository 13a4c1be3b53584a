package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// noServerRetryAfter is when a caller should come back that found no backend
// server which takes calls.
const noServerRetryAfter = 500 * time.Millisecond

// waiter is one goroutine that waits for room. Exactly one of slot and refusal
// is set, by the holder of the manager's mutex, before done is closed.
type waiter struct {
	call    *ports.Call
	work    core.Work
	since   time.Time
	done    chan struct{}
	slot    *slot
	refusal *outcome.Refusal
}

func (w *waiter) refuse(refusal *outcome.Refusal) {
	w.refusal = refusal
	close(w.done)
}

// Acquire implements ports.SlotBroker. A call that finds no room where its
// target can be met waits a small part of the target, and is then refused: by
// waiting longer it would be late in any case.
func (m *Manager) Acquire(ctx context.Context, call *ports.Call) (ports.Slot, error) {
	now := time.Now()
	if !now.Before(call.Deadline) {
		return nil, deadlineRefusal()
	}
	m.mu.Lock()
	w := &waiter{call: call, work: core.WorkOf(call), since: now, done: make(chan struct{})}
	if w.work.Engine && len(call.FailedServers) == 0 {
		m.shares.Asked(now, call.Workspace, w.work.Tokens()*max(call.DemandWeight, 1))
	}
	if m.tryNow(now, w) {
		m.mu.Unlock()
		return w.result()
	}
	if core.FarAbove(m.overuse(now, w)) {
		// Those within or little above their share come first to whatever room there
		// will be.
		refusal := m.noRoom(now, w)
		m.mu.Unlock()
		return nil, refusal
	}
	m.waiters = append(m.waiters, w)
	m.mu.Unlock()
	timer := time.NewTimer(min(core.Patience(&w.work), call.Deadline.Sub(now)))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		m.giveUp(w, goneRefusal(ctx))
	case <-timer.C:
		m.giveUp(w, nil)
	}
	return w.result()
}

func (w *waiter) result() (ports.Slot, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.slot, nil
}

// tryNow settles a waiter if that is possible now. The caller holds the mutex.
func (m *Manager) tryNow(now time.Time, w *waiter) bool {
	if m.stopping {
		w.refuse(stoppingRefusal())
		return true
	}
	pool, ok := m.pools[w.call.Service]
	if !ok || len(pool.Servers()) == 0 {
		w.refuse(noServerRefusal("no backend server of the service is known"))
		return true
	}
	choice, ok := pool.Choose(now, &w.work, m.terms(now, w))
	if !ok {
		return false
	}
	w.slot = m.take(now, pool, choice, w)
	close(w.done)
	return true
}

func (m *Manager) terms(now time.Time, w *waiter) core.Terms {
	overuse := m.overuse(now, w)
	return core.Terms{
		Waited: now.Sub(w.call.Arrived), Overuse: overuse, Always: len(w.call.FailedServers) > 0,
		Capped: overuse > 1 && m.shares.Capped(w.call.Workspace, m.shareTarget),
	}
}

func (m *Manager) overuse(now time.Time, w *waiter) float64 {
	if !w.work.Engine {
		return 0
	}
	return m.shares.Overuse(now, w.call.Workspace, m.document.Limits.TokensPerSecond, m.shareTarget)
}

func (m *Manager) take(now time.Time, pool *core.Pool, choice core.Choice, w *waiter) *slot {
	if w.work.Engine && len(w.call.FailedServers) == 0 {
		m.shares.Granted(now, w.call.Workspace, w.work.Tokens())
	}
	s := &slot{
		manager: m,
		server:  choice.Server.VM(),
		booking: pool.Take(now, choice, &w.work),
		origin: ports.GrantDetails{
			Granter: m.directory.Self().Name, Waited: now.Sub(w.since),
			ExpectedFirstByte: choice.Expected, Overuse: m.overuse(now, w),
		},
	}
	if choice.Holder != nil {
		s.origin.CacheHolder = choice.Holder.VM().Address
	}
	return s
}

// settleEvery is the least time between two looks at the waiting calls: at the
// worst load there is news more often than room.
const settleEvery = 4 * time.Millisecond

// settleWaiters gives the waiting calls what room there is, the most urgent
// first. The caller holds the mutex.
func (m *Manager) settleWaiters(now time.Time) {
	if len(m.waiters) == 0 || now.Sub(m.settled) < settleEvery {
		return
	}
	m.settled = now
	slices.SortStableFunc(m.waiters, func(a, b *waiter) int {
		return a.call.FirstTokenBy.Compare(b.call.FirstTokenBy)
	})
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool { return m.tryNow(now, w) })
}

func (m *Manager) retryWaiters(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settleWaiters(now)
}

// giveUp ends a wait: with the refusal, or, if that is nil, as the lack of room
// has it. A slot that came meanwhile is given back when the caller has gone.
func (m *Manager) giveUp(w *waiter, refusal *outcome.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if w.slot != nil && refusal != nil {
		w.slot.booking.Ended(now, ports.ServerFaultNone)
		w.slot = nil
		w.refusal = refusal
		return
	}
	if w.slot != nil || w.refusal != nil {
		return
	}
	at := slices.Index(m.waiters, w)
	m.waiters = slices.Delete(m.waiters, at, at+1)
	if refusal == nil {
		refusal = m.noRoom(now, w)
	}
	w.refuse(refusal)
}

// noRoom is the refusal of a call whose target can't be met.
func (m *Manager) noRoom(now time.Time, w *waiter) *outcome.Refusal {
	pool := m.pools[w.call.Service]
	if pool == nil {
		return noServerRefusal("the service is gone from the configuration")
	}
	choice, ok := pool.Choose(now, &w.work, core.Terms{Waited: now.Sub(w.call.Arrived)})
	if choice.Server == nil {
		return noServerRefusal("no backend server takes calls now")
	}
	reason, detail := outcome.ReasonQueueFull, "no backend server could answer in time"
	if ok {
		reason, detail = outcome.ReasonFairShareExceeded, "the workspace has more than its fair share"
	}
	return &outcome.Refusal{
		Reason: reason, End: outcome.NotRun, Detail: detail,
		RetryAfter: core.ComeBack(w.call.Deadline.Sub(now), choice.Expected, rand.Float64()),
	}
}

func goneRefusal(ctx context.Context) *outcome.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineRefusal()
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonCallerGone, End: outcome.NotRun, Detail: "the caller hung up while the call waited",
	}
}

func deadlineRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonDeadlineExceeded, End: outcome.NotRun, Detail: "no server had room before the deadline",
	}
}

func stoppingRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonStopping, End: outcome.NotRun, Detail: "the daemon is stopping",
		RetryAfter: noServerRetryAfter,
	}
}

func noServerRefusal(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonNoServer, End: outcome.NotRun, Detail: detail,
		RetryAfter: noServerRetryAfter + time.Duration(rand.Float64()*float64(noServerRetryAfter)),
	}
}
