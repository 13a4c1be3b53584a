// Package admission holds the queues of calls that wait for a slot at one daemon:
// one queue for each service and workspace, earliest first-token deadline first,
// with limits on their memory. It also decides to which shard owners demand is
// sent. It has no I/O and no clock and is imported by internal/app/sharing.
package admission

import (
	"container/heap"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// ItemID identifies one waiting call at this daemon. A later call has a greater ID.
type ItemID uint64

// Item is one waiting call.
type Item struct {
	ID        ItemID
	Service   ports.ServiceName
	Workspace ports.WorkspaceID
	Class     ports.ClassName
	// FirstTokenBy is when the first token of the answer is due. The calls of a
	// workspace are served in this order.
	FirstTokenBy time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Arrived  time.Time
	// Bytes is the memory that the call takes while it waits.
	Bytes int64
	// heapIndex is the index in the itemHeap.
	heapIndex int
}

// Limits bound the memory of waiting calls, of the daemon and of each workspace.
type Limits struct {
	TotalBytes     int64
	WorkspaceBytes int64
}

// Queue holds the waiting calls of all services. It is not safe for concurrent use.
type Queue struct {
	limits           Limits
	items            map[ItemID]*Item
	heaps            map[queueKey]*itemHeap
	bytesByWorkspace map[ports.WorkspaceID]int64
	totalBytes       int64
	drainRates       map[ports.WorkspaceID]*drainRate
}

// queueKey identifies the queue of one workspace for one service.
type queueKey struct {
	service   ports.ServiceName
	workspace ports.WorkspaceID
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{
		limits:           limits,
		items:            make(map[ItemID]*Item),
		heaps:            make(map[queueKey]*itemHeap),
		bytesByWorkspace: make(map[ports.WorkspaceID]int64),
		drainRates:       make(map[ports.WorkspaceID]*drainRate),
	}
}

// Push adds a call. To stay within the limit of the daemon, it removes the newest
// calls of the workspace that takes most memory and returns them; the caller must
// refuse these. It returns a refusal and does not add the call if that would exceed
// the limit of its workspace, or if its own workspace would take most memory; the
// removed calls are returned in this case, too.
func (q *Queue) Push(now time.Time, item *Item) ([]*Item, *outcome.Refusal) {
	if q.bytesByWorkspace[item.Workspace]+item.Bytes > q.limits.WorkspaceBytes {
		return nil, q.FullRefusal(now, item.Workspace)
	}
	var shed []*Item
	for q.totalBytes+item.Bytes > q.limits.TotalBytes {
		largest := q.largestWorkspace()
		if largest == "" || q.bytesByWorkspace[largest] <= q.bytesByWorkspace[item.Workspace]+item.Bytes {
			return shed, q.FullRefusal(now, item.Workspace)
		}
		newest := q.newestItem(largest)
		q.remove(newest)
		shed = append(shed, newest)
	}
	q.add(item)
	return shed, nil
}

// Pop removes and returns the workspace's call with the earliest FirstTokenBy, or
// nil if there is none. It skips calls whose Deadline has passed; these stay in the
// queue until Remove.
func (q *Queue) Pop(now time.Time, service ports.ServiceName, workspace ports.WorkspaceID) *Item {
	calls, ok := q.heaps[queueKey{service: service, workspace: workspace}]
	if !ok {
		return nil
	}
	for _, item := range calls.items {
		if now.Before(item.Deadline) {
			return q.popUnexpired(now, calls)
		}
	}
	return nil
}

// Remove removes a call and reports whether it was still waiting.
func (q *Queue) Remove(id ItemID) bool {
	item, ok := q.items[id]
	if ok {
		q.remove(item)
	}
	return ok
}

// Get returns a waiting call.
func (q *Queue) Get(id ItemID) (*Item, bool) {
	item, ok := q.items[id]
	return item, ok
}

// Items returns all waiting calls of a service, in no particular order.
func (q *Queue) Items(service ports.ServiceName) []*Item {
	var items []*Item
	for key, calls := range q.heaps {
		if key.service == service {
			items = append(items, calls.items...)
		}
	}
	return items
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return len(q.items)
}

// Backlog summarizes the waiting calls of one workspace for one service.
type Backlog struct {
	Workspace ports.WorkspaceID
	// Count is the number of calls.
	Count int
	// First is the call with the earliest FirstTokenBy.
	First *Item
}

// Backlogs returns the backlog of each workspace that has calls waiting for a
// service, in no particular order.
func (q *Queue) Backlogs(service ports.ServiceName) []Backlog {
	var backlogs []Backlog
	for key, calls := range q.heaps {
		if key.service != service {
			continue
		}
		backlogs = append(backlogs, Backlog{Workspace: key.workspace, Count: calls.Len(), First: calls.items[0]})
	}
	return backlogs
}

// FullRefusal returns the refusal of a call for which the queue has no room. Its
// RetryAfter is the time in which half of the workspace's waiting bytes drain at the
// recent rate, within bounds.
func (q *Queue) FullRefusal(now time.Time, workspace ports.WorkspaceID) *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.ReasonQueueFull,
		End:        outcome.NotRun,
		Detail:     "the queue holds as much of this workspace as it may",
		RetryAfter: q.retryAfter(now, workspace),
	}
}

// popUnexpired pops calls until it finds one whose Deadline has not passed, and puts
// the expired ones back. The heap must contain an unexpired call.
func (q *Queue) popUnexpired(now time.Time, calls *itemHeap) *Item {
	var expired []*Item
	var found *Item
	for found == nil {
		item := heap.Pop(calls).(*Item)
		if now.Before(item.Deadline) {
			found = item
			continue
		}
		expired = append(expired, item)
	}
	for _, item := range expired {
		heap.Push(calls, item)
	}
	heap.Push(calls, found)
	q.remove(found)
	q.recordDrained(now, found)
	return found
}

func (q *Queue) add(item *Item) {
	key := queueKey{service: item.Service, workspace: item.Workspace}
	calls, ok := q.heaps[key]
	if !ok {
		calls = &itemHeap{}
		q.heaps[key] = calls
	}
	heap.Push(calls, item)
	q.items[item.ID] = item
	q.bytesByWorkspace[item.Workspace] += item.Bytes
	q.totalBytes += item.Bytes
}

func (q *Queue) remove(item *Item) {
	key := queueKey{service: item.Service, workspace: item.Workspace}
	calls := q.heaps[key]
	heap.Remove(calls, item.heapIndex)
	if calls.Len() == 0 {
		delete(q.heaps, key)
	}
	delete(q.items, item.ID)
	q.totalBytes -= item.Bytes
	q.bytesByWorkspace[item.Workspace] -= item.Bytes
	if q.bytesByWorkspace[item.Workspace] == 0 {
		delete(q.bytesByWorkspace, item.Workspace)
	}
}

// largestWorkspace returns the workspace whose waiting calls take most memory, or
// "" if no calls wait. Ties go to the lower workspace ID.
func (q *Queue) largestWorkspace() ports.WorkspaceID {
	var largest ports.WorkspaceID
	for workspace, bytes := range q.bytesByWorkspace {
		if largest == "" || bytes > q.bytesByWorkspace[largest] || bytes == q.bytesByWorkspace[largest] && workspace < largest {
			largest = workspace
		}
	}
	return largest
}

// newestItem returns the workspace's most recent call, of any service.
func (q *Queue) newestItem(workspace ports.WorkspaceID) *Item {
	var newest *Item
	for key, calls := range q.heaps {
		if key.workspace != workspace {
			continue
		}
		for _, item := range calls.items {
			if newest == nil || item.ID > newest.ID {
				newest = item
			}
		}
	}
	return newest
}
