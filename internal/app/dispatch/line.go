package dispatch

import (
	"math/rand/v2"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// resolveInterval is the least time between two passes over the waiting calls:
// under the highest load, changes are more frequent than free room.
const resolveInterval = 4 * time.Millisecond

// lineOf returns the line of a service. The caller holds the mutex.
func (m *Manager) lineOf(service ports.ServiceName) *core.Line[*waiter] {
	line, ok := m.lines[service]
	if !ok {
		line = core.NewLine[*waiter]()
		m.lines[service] = line
	}
	return line
}

// resolveArrival grants a slot to a call that has just arrived or refuses it, and reports
// whether it did. Otherwise the call joins the line of its service: also if a server has
// room, while other calls wait for that. The caller holds the mutex.
func (m *Manager) resolveArrival(now time.Time, w *waiter) bool {
	m.mergePeerLoads(now)
	line := m.lineOf(w.call.Service)
	if line.Len() == 0 || w.work.Resumes {
		if m.tryResolve(now, w, (*core.Pool).Choose) {
			return true
		}
	} else if m.refuseUnrunnable(now, w) || m.refuseUnservable(now, w, m.pools[w.call.Service]) {
		return true
	}
	pool := m.pools[w.call.Service]
	wait := max(line.ExpectedWait(now, w.call.Workspace), pool.BoundedWait(now, &w.work, line.Len()))
	if !w.work.Resumes && now.Add(wait).After(w.waitEnd(pool)) {
		w.refuse(m.noRoomRefusal(now, w))
		return true
	}
	w.place = &core.Waiting[*waiter]{
		Call: w, Workspace: w.call.Workspace, FirstTokenBy: w.call.FirstTokenBy, Demand: w.work.Demand(), HasBegun: w.work.Resumes,
	}
	line.Join(now, w.place)
	if pool.HasLimit(&w.work) {
		m.signalPause()
	}
	if line.Len() > 1 {
		m.resolveLines(now)
	}
	return w.slot != nil || w.refusal != nil
}

// resolveLines assigns the available room to the waiting calls in their order. Within
// resolveInterval of the last pass it leaves that to a later one. The caller holds the mutex.
func (m *Manager) resolveLines(now time.Time) {
	if since := now.Sub(m.linesResolvedAt); since < resolveInterval {
		m.scheduleResolve(resolveInterval - since)
		return
	}
	// Something has changed for calls that need no room, such as which servers are left.
	isWhole := m.linesResolvedAt.IsZero()
	m.linesResolvedAt = now
	for service, line := range m.lines {
		if line.Len() > 0 {
			m.mergePeerLoads(now)
			m.resolveLine(now, service, line, isWhole)
		}
	}
}

// resolveLine assigns the available room of one service. All calls are looked at if isWhole
// is true, else only until no server has room. The caller holds the mutex.
func (m *Manager) resolveLine(now time.Time, service ports.ServiceName, line *core.Line[*waiter], isWhole bool) {
	pool, hasRoom := m.pools[service], true
	isWhole = isWhole || pool == nil
	if !isWhole && line.NeedsRoom() && !pool.HasRoom(now, &line.First().Call.work, 0) {
		return
	}
	for _, waiting := range line.InOrder(func(workspace ports.WorkspaceID) float64 { return m.overuseOf(now, service, workspace) }) {
		w := waiting.Call
		hasRoom = hasRoom && pool != nil && pool.HasRoom(now, &w.work, m.excess(now, w))
		if !hasRoom && !isWhole && !waiting.HasBegun {
			return
		}
		if m.tryResolve(now, w, (*core.Pool).Choose) {
			line.Leave(now, waiting, w.slot != nil)
		}
	}
}

// scheduleResolve makes a pass over the waiting calls follow after the given time. The caller
// holds the mutex.
func (m *Manager) scheduleResolve(after time.Duration) {
	if m.isResolvePending {
		return
	}
	m.isResolvePending = true
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.isResolvePending = false
		m.resolveLines(time.Now())
	})
}

// endWait ends a wait with the refusal or, if that is nil, with the refusal for
// lack of room. If the caller has gone, a slot that was granted in the meantime
// is released.
func (m *Manager) endWait(w *waiter, refusal *outcome.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if w.slot != nil && refusal != nil {
		w.slot.releaseLocked(now, ports.RunReport{})
		w.slot = nil
		w.refusal = refusal
		return
	}
	if w.slot != nil || w.refusal != nil {
		return
	}
	if refusal == nil {
		refusal = m.noRoomRefusal(now, w)
	}
	m.lineOf(w.call.Service).Leave(now, w.place, false)
	w.refuse(refusal)
}

// noRoomRefusal returns the refusal of a call that finds no room in time. The caller holds
// the mutex.
func (m *Manager) noRoomRefusal(now time.Time, w *waiter) *outcome.Refusal {
	pool := m.pools[w.call.Service]
	if pool == nil {
		return noServerRefusal("the service is gone from the configuration")
	}
	isTaking := pool.TakesCalls(now, &w.work)
	if free, found := pool.EarliestFree(now, w.work.InItsRegions()); !isTaking && found && free.After(now) {
		return noneFreeRefusal(now, w, pool, free)
	}
	if !isTaking {
		sound, _ := pool.EarliestSound(now, w.work.InItsRegions())
		return noneSoundRefusal(max(sound.Sub(now), 0))
	}
	reason, detail := outcome.ReasonQueueFull, "no backend server has room in time"
	if m.overuse(now, w) > 1 {
		reason, detail = outcome.ReasonFairShareExceeded, "the workspace has more than its fair share, and no backend server has room in time"
	}
	idle, _ := pool.FastestIdle(now, &w.work)
	// A call that waited in vain shows that the wait is at least as long.
	expectedWait := max(m.lineOf(w.call.Service).ExpectedWait(now, w.call.Workspace), now.Sub(w.waitingSince))
	return &outcome.Refusal{
		Reason: reason, End: outcome.NotRun, Detail: detail,
		RetryAfter: core.RetryAfter(expectedWait, w.work.FirstByteWithin-idle, idle, rand.Float64()),
	}
}
