package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"hawthornstream/internal/ports"
)

// queuedUpdate is an update that is still to be piggybacked on messages.
type queuedUpdate struct {
	update    ports.MemberUpdate
	sendCount int
}

// updateQueue holds the latest update about each member until it has been sent
// often enough.
type updateQueue struct {
	pending map[ports.DaemonID]*queuedUpdate
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{pending: make(map[ports.DaemonID]*queuedUpdate)}
}

// add queues an update and replaces an earlier one about the same member.
func (q *updateQueue) add(update ports.MemberUpdate) {
	q.pending[update.Daemon] = &queuedUpdate{update: update}
}

// remove drops the update about a member.
func (q *updateQueue) remove(id ports.DaemonID) {
	delete(q.pending, id)
}

// takeLeastSent returns up to maxUpdates updates, the least often sent first,
// and drops those that have now been sent maxSends times.
func (q *updateQueue) takeLeastSent(maxUpdates, maxSends int) []ports.MemberUpdate {
	if len(q.pending) == 0 || maxUpdates <= 0 {
		return nil
	}
	queued := make([]*queuedUpdate, 0, len(q.pending))
	for _, entry := range q.pending {
		queued = append(queued, entry)
	}
	slices.SortFunc(queued, func(previous, entry *queuedUpdate) int {
		return cmp.Or(cmp.Compare(previous.sendCount, entry.sendCount), cmp.Compare(previous.update.Daemon, entry.update.Daemon))
	})
	updates := make([]ports.MemberUpdate, 0, min(maxUpdates, len(queued)))
	for _, entry := range queued[:min(maxUpdates, len(queued))] {
		updates = append(updates, entry.update)
		entry.sendCount++
		if entry.sendCount >= maxSends {
			delete(q.pending, entry.update.Daemon)
		}
	}
	return updates
}

// maxUpdateSends returns how many times an update is sent.
func maxUpdateSends(multiplier, fleetSize int) int {
	return multiplier * max(1, bits.Len(uint(fleetSize)))
}
