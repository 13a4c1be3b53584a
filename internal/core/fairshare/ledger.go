// Package fairshare accounts for the service that each workspace gets of one
// service, for weighted fair scheduling: the workspace with the lowest level goes
// next. A level, the service counter of a workspace, is the cost charged by all
// owners of the service's slots divided by the workspace's share target, plus a
// lift. The lift raises a workspace that starts to wait to the level of the others,
// so that idle time gives no credit. The package has no I/O and no clock.
// internal/core/slots and internal/app/sharing import it.
package fairshare

import (
	"math"
	"time"

	"hawthornstream/internal/ports"
)

// backlogLinger is how long a backlog lasts after the workspace last waited, so
// that a queue that is empty for a moment does not end it.
const backlogLinger = 2 * time.Second

// Options switch off mechanisms of the ledger and of the shard owner, for
// measurements. The zero value leaves all of them on.
type Options struct {
	// NoLift leaves a workspace that starts to wait at its old level.
	NoLift bool
	// NoEstimate charges nothing when a slot is granted.
	NoEstimate bool
	// NoExtrapolation assumes that other owners charge nothing between two
	// exchanges.
	NoExtrapolation bool
}

// Ledger holds the levels of one service's workspaces as known to one daemon. It
// is not safe for concurrent use.
type Ledger struct {
	options      Options
	shares       map[ports.WorkspaceID]float64
	accounts     map[ports.WorkspaceID]*account
	remoteOwners map[ports.DaemonID]*remoteOwner
	// floor is the highest level at which a workspace was served at any owner,
	// before the charge. A workspace that starts to wait alone is lifted to it.
	floor             float64
	sequence          uint64
	lastBacklogNumber uint64
}

// NewLedger returns a ledger without charges.
func NewLedger(options Options) *Ledger {
	return &Ledger{
		options:      options,
		shares:       make(map[ports.WorkspaceID]float64),
		accounts:     make(map[ports.WorkspaceID]*account),
		remoteOwners: make(map[ports.DaemonID]*remoteOwner),
	}
}

// SetShares replaces the share targets. Workspaces without one have share 1.
// Levels do not change: only later charges use the new shares.
func (l *Ledger) SetShares(shares map[ports.WorkspaceID]float64) {
	l.shares = shares
	for workspace, a := range l.accounts {
		l.setShare(a, l.shareTarget(workspace))
	}
}

// SetWaiting replaces the set of workspaces that wait for slots of this daemon.
// A workspace that waited nowhere before is lifted to the lowest level of those
// that wait.
func (l *Ledger) SetWaiting(waiting map[ports.WorkspaceID]bool) {
	for workspace := range waiting {
		if a := l.account(workspace); !a.isWaiting() {
			l.liftToWaiting(a)
		}
	}
	for workspace, a := range l.accounts {
		a.waitsLocally = waiting[workspace]
	}
}

// UpdateBacklogs begins the backlog of each workspace that waits here, and ends it
// when the workspace has not waited for backlogLinger. It is called after all free
// slots were granted. Only charges within a backlog are exported to other owners.
func (l *Ledger) UpdateBacklogs(now time.Time) {
	for _, a := range l.accounts {
		switch {
		case a.waitsLocally:
			l.beginBacklog(a)
			a.lastWaitedAt = now
		case a.backlogNumber != 0 && now.Sub(a.lastWaitedAt) > backlogLinger:
			a.endBacklog()
		}
		if now.Sub(a.lastWaitedAt) > backlogLinger {
			a.recentLift = 0
		}
	}
}

// Charge adds cost, in cost units, to the workspace. A negative cost corrects an
// estimate that was too high.
func (l *Ledger) Charge(workspace ports.WorkspaceID, cost float64) {
	l.account(workspace).ownCost += cost
}

// RecordServed records that the workspace was chosen for a slot. It is called
// before the charge for that slot.
func (l *Ledger) RecordServed(workspace ports.WorkspaceID) {
	l.floor = max(l.floor, l.Level(workspace))
}

// Level returns the workspace's level: its lift plus cost divided by share. The
// cost includes what the other owners are assumed to have charged since their last
// snapshots.
func (l *Ledger) Level(workspace ports.WorkspaceID) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	return l.level(a)
}

// Levels returns the levels of all workspaces that wait at any owner.
func (l *Ledger) Levels() map[ports.WorkspaceID]float64 {
	levels := make(map[ports.WorkspaceID]float64)
	for workspace, a := range l.accounts {
		if a.isWaiting() {
			levels[workspace] = l.level(a)
		}
	}
	return levels
}

// Lag returns how far the workspace's level is below the highest level of those
// that wait.
func (l *Ledger) Lag(workspace ports.WorkspaceID) float64 {
	_, highest := l.waitingRange(nil)
	return max(0, highest-l.Level(workspace))
}

// liftToWaiting raises the account to the lowest level of the other workspaces
// that wait, or to the floor when none does.
func (l *Ledger) liftToWaiting(a *account) {
	if l.options.NoLift {
		return
	}
	target, _ := l.waitingRange(a)
	if math.IsInf(target, 1) {
		target = l.floor
	}
	if lift := target - l.level(a); lift > 0 {
		a.lift += lift
		a.recentLift += lift
	}
}

// waitingRange returns the lowest and highest level of the workspaces that wait,
// other than except. They are +Inf and -Inf when none waits.
func (l *Ledger) waitingRange(except *account) (lowest, highest float64) {
	lowest, highest = math.Inf(1), math.Inf(-1)
	for _, a := range l.accounts {
		if a == except || !a.isWaiting() {
			continue
		}
		level := l.level(a)
		lowest = min(lowest, level)
		highest = max(highest, level)
	}
	return lowest, highest
}

func (l *Ledger) level(a *account) float64 {
	cost := a.ownCost + a.remoteCost
	if !l.options.NoExtrapolation {
		cost += max(0, float64(a.remoteBacklogCount)*a.ownCost-a.ownCostAtExchanges)
	}
	return a.lift + cost/a.share
}

func (l *Ledger) account(workspace ports.WorkspaceID) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{share: l.shareTarget(workspace)}
		l.accounts[workspace] = a
	}
	return a
}

func (l *Ledger) shareTarget(workspace ports.WorkspaceID) float64 {
	if share := l.shares[workspace]; share > 0 {
		return share
	}
	return 1
}

// setShare changes the share and keeps the level.
func (l *Ledger) setShare(a *account, share float64) {
	if share == a.share {
		return
	}
	before := l.level(a)
	a.share = share
	a.lift += before - l.level(a)
}
