package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/ports"
)

// noServerRetryAfter is the time after which a caller should retry that found
// no backend server accepting calls.
const noServerRetryAfter = 500 * time.Millisecond

// waiter is a call that waits for room. Exactly one of slot and refusal is set,
// under the manager's mutex, before done is closed.
type waiter struct {
	call         *ports.Call
	work         core.Work
	waitingSince time.Time
	// causes are what of the call may end servers, the whole call first.
	causes []quarantine.CauseHash
	// replaces says that the call may take the place of a run that has not ended.
	replaces bool
	// place is the call's place in the line; nil before it joined.
	place   *core.Waiting[*waiter]
	done    chan struct{}
	slot    *slot
	refusal *outcome.Refusal
}

func newWaiter(now time.Time, call *ports.Call) *waiter {
	return &waiter{
		call: call, work: core.WorkOf(call), causes: causesOf(call), waitingSince: now, done: make(chan struct{}),
	}
}

// hasBegun reports whether an earlier try of the call brought events, and counted as
// granted.
func (w *waiter) hasBegun() bool {
	return len(w.call.FailedServers) > 0 && w.call.LastEventID > 0
}

func (w *waiter) refuse(refusal *outcome.Refusal) {
	w.refusal = refusal
	close(w.done)
}

// Acquire implements ports.SlotBroker. A call that finds no room waits in the line of its
// service until it could no longer be answered in time, and is refused at once if it is known
// that it can't be.
func (m *Manager) Acquire(ctx context.Context, call *ports.Call) (ports.Slot, error) {
	now := time.Now()
	if !now.Before(call.Deadline) {
		return nil, deadlineRefusal()
	}
	w := newWaiter(now, call)
	if refusal := m.quarantineRefusal(now, w); refusal != nil {
		return nil, refusal
	}
	if call.IsResumption() && len(call.FailedServers) == 0 {
		decision, refusal := m.resolveResumption(ctx, call)
		if refusal != nil {
			return nil, refusal
		}
		w.work.SoftwareVersion, w.work.Resumes = decision.SoftwareVersion, decision.IsKnownStream()
		now = time.Now()
		w.waitingSince = now
	}
	m.mu.Lock()
	m.recordArrival(now, w)
	if m.resolveArrival(now, w) {
		m.mu.Unlock()
		return w.result()
	}
	waitEnd := w.waitEnd(m.pools[call.Service])
	m.mu.Unlock()
	timer := time.NewTimer(waitEnd.Sub(now))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		m.endWait(w, contextRefusal(ctx))
	case <-timer.C:
		m.endWait(w, nil)
	}
	return w.result()
}

// recordArrival counts a call in the demand of its workspace and in the averages of its pool.
// The caller holds the mutex.
func (m *Manager) recordArrival(now time.Time, w *waiter) {
	pool, ok := m.pools[w.call.Service]
	if !ok {
		return
	}
	pool.ObserveArrival(now, &w.work)
	if !w.work.ForEngine || len(w.call.FailedServers) > 0 {
		return
	}
	pool.Shares().RecordDemand(now, w.call.Workspace, w.work.CostTokens())
	if shed := w.call.DemandWeight - 1; shed > 0 {
		pool.Shares().RecordShedDemand(now, w.call.Workspace, w.work.CostTokens()*shed)
	}
}

// TryAcquire implements ports.ImmediateSlotBroker.
func (m *Manager) TryAcquire(call *ports.Call) (ports.Slot, bool) {
	now := time.Now()
	w := newWaiter(now, call)
	w.replaces = true
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergePeerLoads(now)
	if !m.tryResolve(now, w, (*core.Pool).ChooseReplacement) || w.slot == nil {
		return nil, false
	}
	return w.slot, true
}

func (w *waiter) result() (ports.Slot, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.slot, nil
}

// chooser is a method of core.Pool that chooses a server.
type chooser func(*core.Pool, time.Time, *core.Work, core.AdmissionTerms) (core.Choice, bool)

// tryResolve grants the call a slot or refuses it, if either is possible now,
// and reports whether it did. The caller holds the mutex.
func (m *Manager) tryResolve(now time.Time, w *waiter, choose chooser) bool {
	if m.refuseUnrunnable(now, w) {
		return true
	}
	pool := m.pools[w.call.Service]
	choice, ok := choose(pool, now, &w.work, m.admissionTerms(now, w))
	if !ok {
		return m.refuseUnservable(now, w, pool)
	}
	w.slot = m.bookSlot(now, pool, choice, w)
	close(w.done)
	return true
}

// refuseUnrunnable refuses a call that no server may run now, and reports whether it did.
// The caller holds the mutex.
func (m *Manager) refuseUnrunnable(now time.Time, w *waiter) bool {
	if m.stopping {
		w.refuse(stoppingRefusal())
		return true
	}
	if refusal := m.quarantineRefusalLocked(now, w); refusal != nil {
		w.refuse(refusal)
		return true
	}
	m.updateRegions(w)
	pool, ok := m.pools[w.call.Service]
	if refusal := m.noAllowedRegionRefusal(w); refusal != nil {
		w.refuse(refusal)
		return true
	}
	if !ok || len(pool.Servers()) == 0 {
		w.refuse(noServerRefusal("no backend server of the service is known"))
		return true
	}
	if pool.IsEvacuatedFor(&w.work) {
		w.refuse(evacuatedRefusal())
		return true
	}
	if w.work.SoftwareVersion != "" && !pool.HasServerFor(&w.work) {
		w.refuse(versionGoneRefusal("no other backend server has the software version of the stream"))
		return true
	}
	if refusal := m.unsoundRegionsRefusal(now, w, pool); refusal != nil {
		w.refuse(refusal)
		return true
	}
	return false
}

// refuseUnservable refuses a call that no server of the pool can get before its wait
// ends, and reports whether it did.
func (m *Manager) refuseUnservable(now time.Time, w *waiter, pool *core.Pool) bool {
	waitEnd := w.waitEnd(pool)
	free, found := pool.EarliestFree(now, &w.work)
	sound, isAnySound := pool.EarliestSound(now, &w.work)
	if found && !free.After(waitEnd) {
		if w.work.Resumes || !isAnySound || !sound.After(waitEnd) {
			return false
		}
		w.refuse(noneSoundRefusal(sound.Sub(now)))
		return true
	}
	free, found = pool.EarliestFree(now, w.work.InItsRegions())
	switch {
	case !found && w.work.Regions().IsBound():
		w.refuse(regionsUnavailableRefusal(now, w, pool))
	case !found:
		w.refuse(allLeavingRefusal())
	case free.After(now):
		w.refuse(noneFreeRefusal(now, w, pool, free))
	default:
		w.refuse(noServerRefusal("no other backend server can serve the call"))
	}
	return true
}

// waitEnd returns when the call is refused if it has found no room until then: when an idle
// server could no longer answer it before its caller leaves.
func (w *waiter) waitEnd(pool *core.Pool) time.Time {
	idle, _ := pool.FastestIdle(w.waitingSince, &w.work)
	return w.call.LeavesAt().Add(-idle)
}

func (m *Manager) admissionTerms(now time.Time, w *waiter) core.AdmissionTerms {
	return core.AdmissionTerms{
		Waited: now.Sub(w.call.Arrived), Excess: m.excess(now, w),
		HasBegun: w.replaces || w.work.Resumes,
	}
}

// excess returns where the call's workspace stands between the contending ones that get least
// and most of their shares, from 0 to 1. The caller holds the mutex.
func (m *Manager) excess(now time.Time, w *waiter) float64 {
	pool, ok := m.pools[w.call.Service]
	if !ok {
		return 0
	}
	return pool.Shares().Excess(m.overuse(now, w))
}

func (m *Manager) overuse(now time.Time, w *waiter) float64 {
	return m.overuseOf(now, w.call.Service, w.call.Workspace)
}

// overuseOf returns the ratio of what a workspace gets of a service to its fair share. The
// caller holds the mutex.
func (m *Manager) overuseOf(now time.Time, service ports.ServiceName, workspace ports.WorkspaceID) float64 {
	pool, ok := m.pools[service]
	if !ok {
		return 0
	}
	return pool.Shares().Overuse(now, workspace, m.capacities[service], m.shareTarget)
}

func (m *Manager) bookSlot(now time.Time, pool *core.Pool, choice core.Choice, w *waiter) *slot {
	var grant core.Grant
	if w.work.ForEngine && !w.hasBegun() {
		grant = pool.Shares().RecordGrant(now, w.call.Workspace, w.work.CostTokens())
	}
	m.recordLeavingCall(&w.work, choice.Server.VM())
	book := pool.Book
	if w.replaces {
		book = pool.BookReplacement
	}
	s := &slot{
		manager: m,
		call:    w.call,
		causes:  w.causes, instance: quarantine.InstanceOf(choice.Server.VM()), grantedAt: now,
		server: choice.Server.VM(), grant: grant, shares: pool.Shares(),
		booking: book(now, choice, &w.work),
		grantDetails: ports.GrantDetails{
			Granter: m.directory.Self().Name, Waited: now.Sub(w.waitingSince),
			ExpectedFirstByte: choice.ExpectedFirstByte, Overuse: m.overuse(now, w),
		},
	}
	if choice.CacheHolder != nil {
		s.grantDetails.CacheHolder = choice.CacheHolder.VM().Address
	}
	return s
}

// lockAndUpdate does what depends on the time alone.
func (m *Manager) lockAndUpdate(now time.Time) {
	isFresh := m.lists.isFresh(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeVersions(now, isFresh)
	m.setListFresh(now, isFresh)
	m.updateEvacuations(now)
	m.updateLimits(now)
	m.updateSpillover(now)
	m.resolveLines(now)
	m.logShares(now)
}

func contextRefusal(ctx context.Context) *outcome.Refusal {
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

func allLeavingRefusal() *outcome.Refusal {
	refusal := noServerRefusal("all backend servers of the service are leaving")
	refusal.Reason = outcome.ReasonServerLeaving
	return refusal
}

// noneFreeRefusal returns the refusal of a call of a service whose servers take no calls
// before the time free, because of their limits or since they asked for a pause.
func noneFreeRefusal(now time.Time, w *waiter, pool *core.Pool, free time.Time) *outcome.Refusal {
	if !pool.HasLimit(&w.work) {
		return allPausedRefusal(free.Sub(now))
	}
	return &outcome.Refusal{
		Reason: outcome.ReasonServerLimited, End: outcome.NotRun,
		Detail:     "the backend servers take no more requests per second",
		RetryAfter: pool.RetryAfterLimit(now, &w.work, w.call.Deadline.Sub(now)),
	}
}

// allPausedRefusal returns the refusal of a call of a service all of whose servers pause
// for at least the given time.
func allPausedRefusal(untilFree time.Duration) *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonServerOverloaded, End: outcome.NotRun, Detail: "all backend servers asked for a pause",
		RetryAfter: core.RetryAfterPause(untilFree, rand.Float64()),
	}
}

// noneSoundRefusal returns the refusal of a call of a service whose servers all failed and
// are not tried again for the given time.
func noneSoundRefusal(untilSound time.Duration) *outcome.Refusal {
	refusal := noServerRefusal("no backend server takes calls now")
	refusal.RetryAfter = core.RetryAfterPause(untilSound, rand.Float64())
	return refusal
}

func evacuatedRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonServersEvacuated, End: outcome.NotRun,
		Detail:     "the failure domains of all backend servers that could run the call are evacuated",
		RetryAfter: core.RetryAfterEvacuation(rand.Float64()),
	}
}

func noServerRefusal(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Reason: outcome.ReasonNoServer, End: outcome.NotRun, Detail: detail,
		RetryAfter: noServerRetryAfter + time.Duration(rand.Float64()*float64(noServerRetryAfter)),
	}
}
