package fairshare

import "time"

// account is the state of one workspace.
type account struct {
	share float64
	// ownCost is the cost charged by this daemon in this incarnation.
	ownCost float64
	// remoteCost is the cost charged by all other owners, as far as it counts
	// here.
	remoteCost float64
	// lift is the part of the level that is not cost divided by share.
	lift float64
	// recentLift is the part of lift that was added within backlogLinger of the
	// workspace last waiting here.
	recentLift float64

	// waitsLocally is true while the workspace waits for slots of this daemon.
	waitsLocally bool
	// remoteWaitCount is the number of other owners at which the workspace waits.
	remoteWaitCount int
	// remoteBacklogCount is the number of other owners at which the workspace has
	// a backlog. ownCostAtExchanges is the sum over these owners of ownCost as of
	// the last snapshot from each.
	remoteBacklogCount int
	ownCostAtExchanges float64

	// backlogNumber is the number of the current backlog at this daemon, zero when
	// there is none.
	backlogNumber uint64
	// costAtBacklogStart is ownCost at the start of the current or last backlog,
	// costAtBacklogEnd at the end of the last one.
	costAtBacklogStart float64
	costAtBacklogEnd   float64
	lastWaitedAt       time.Time
}

// isWaiting reports whether the workspace waits at any owner.
func (a *account) isWaiting() bool {
	return a.waitsLocally || a.remoteWaitCount > 0
}

// beginBacklog starts a new backlog unless one is in progress. Cost charged since
// the end of the last backlog is taken out of the level, because the workspace
// competed with nobody then.
func (l *Ledger) beginBacklog(a *account) {
	if a.backlogNumber != 0 {
		return
	}
	l.lastBacklogNumber++
	a.backlogNumber = l.lastBacklogNumber
	a.lift -= (a.ownCost - a.costAtBacklogEnd) / a.share
	a.costAtBacklogStart = a.ownCost
	if a.remoteWaitCount == 0 {
		l.liftToWaiting(a)
	}
}

func (a *account) endBacklog() {
	a.backlogNumber = 0
	a.costAtBacklogEnd = a.ownCost
}
