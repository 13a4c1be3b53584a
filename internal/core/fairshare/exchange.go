package fairshare

import (
	"cmp"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// remoteOwnerTimeout is how long an owner's last list of backlogged workspaces
	// stays valid without a newer one.
	remoteOwnerTimeout = 5 * time.Second
	// maxIncarnationsPerOwner is the number of incarnations that are tracked for
	// each owner. Charges of older ones stay counted, but their late snapshots are
	// ignored.
	maxIncarnationsPerOwner = 3
	// levelAdoptionExchanges is the number of exchanges during which a new ledger
	// adopts the levels of owners that are older.
	levelAdoptionExchanges = 10
)

// WorkspaceCharge is the state of one workspace that has a backlog at an owner.
type WorkspaceCharge struct {
	Workspace ports.WorkspaceID
	// BacklogNumber numbers the backlogs within the owner's incarnation.
	BacklogNumber uint64
	// Charged is the cost charged by the owner since the start of the backlog.
	Charged float64
	// Level is the workspace's level at the owner.
	Level float64
	// Waiting is true if the workspace currently waits for the owner's slots.
	Waiting bool
}

// Snapshot is one owner's state of the workspaces that have a backlog there.
type Snapshot struct {
	Daemon      ports.DaemonID
	Incarnation ports.Incarnation
	// Sequence numbers the snapshots of one incarnation. There is one for each
	// exchange period, so Sequence is also the owner's age in exchange periods.
	Sequence uint64
	// Floor is the highest level known to the owner at which a workspace was
	// served.
	Floor   float64
	Charges []WorkspaceCharge
}

// remoteOwner is what is known of another owner.
type remoteOwner struct {
	incarnations []*remoteIncarnation
	// lastSnapshotAt is when the newest snapshot arrived.
	lastSnapshotAt time.Time
	// backlog holds the workspaces of the newest snapshot.
	backlog map[ports.WorkspaceID]remoteBacklog
}

// remoteBacklog is the backlog of a workspace at another owner.
type remoteBacklog struct {
	waiting bool
	// ownCostAtExchange is account.ownCost when the snapshot arrived.
	ownCostAtExchange float64
}

// remoteIncarnation is what one incarnation of another owner has charged.
type remoteIncarnation struct {
	number         ports.Incarnation
	newestSequence uint64
	charges        map[chargeKey]*remoteCharge
	// latestBacklogNumber is the number of each workspace's newest backlog.
	latestBacklogNumber map[ports.WorkspaceID]uint64
}

type chargeKey struct {
	workspace     ports.WorkspaceID
	backlogNumber uint64
}

type remoteCharge struct {
	sequence uint64
	charged  float64
}

// Export returns a new snapshot of this daemon's backlogs for the other owners.
func (l *Ledger) Export(daemon ports.DaemonID, incarnation ports.Incarnation) Snapshot {
	l.sequence++
	snapshot := Snapshot{Daemon: daemon, Incarnation: incarnation, Sequence: l.sequence, Floor: l.floor}
	for workspace, a := range l.accounts {
		if a.backlogNumber == 0 {
			continue
		}
		snapshot.Charges = append(snapshot.Charges, WorkspaceCharge{
			Workspace:     workspace,
			BacklogNumber: a.backlogNumber,
			Charged:       a.ownCost - a.costAtBacklogStart,
			Level:         l.level(a),
			Waiting:       a.waitsLocally,
		})
	}
	slices.SortFunc(snapshot.Charges, func(x, y WorkspaceCharge) int { return cmp.Compare(x.Workspace, y.Workspace) })
	return snapshot
}

// Merge applies a snapshot of another owner. Snapshots may be repeated, reordered
// or lost: each charge is cumulative within its backlog, and the newest one counts.
func (l *Ledger) Merge(now time.Time, snapshot Snapshot) {
	owner, ok := l.remoteOwners[snapshot.Daemon]
	if !ok {
		owner = &remoteOwner{backlog: make(map[ports.WorkspaceID]remoteBacklog)}
		l.remoteOwners[snapshot.Daemon] = owner
	}
	incarnation := owner.incarnation(snapshot.Incarnation)
	if incarnation == nil {
		return
	}
	l.floor = max(l.floor, snapshot.Floor)
	for _, charge := range snapshot.Charges {
		l.mergeCharge(owner, incarnation, snapshot.Sequence, charge)
	}
	if incarnation != owner.incarnations[len(owner.incarnations)-1] || snapshot.Sequence <= incarnation.newestSequence {
		return
	}
	incarnation.newestSequence = snapshot.Sequence
	owner.lastSnapshotAt = now
	l.setRemoteBacklogs(owner, snapshot.Charges)
}

// ExpireRemoteBacklogs drops the backlogs of owners whose last snapshot is older
// than remoteOwnerTimeout. Their charges stay counted.
func (l *Ledger) ExpireRemoteBacklogs(now time.Time) {
	for _, owner := range l.remoteOwners {
		if now.Sub(owner.lastSnapshotAt) > remoteOwnerTimeout {
			l.setRemoteBacklogs(owner, nil)
		}
	}
}

// DropRemoteBacklogs drops the backlogs of an owner that is gone. Its charges stay
// counted.
func (l *Ledger) DropRemoteBacklogs(daemon ports.DaemonID) {
	if owner, ok := l.remoteOwners[daemon]; ok {
		l.setRemoteBacklogs(owner, nil)
	}
}

func (l *Ledger) mergeCharge(owner *remoteOwner, incarnation *remoteIncarnation, sequence uint64, charge WorkspaceCharge) {
	a := l.account(charge.Workspace)
	key := chargeKey{workspace: charge.Workspace, backlogNumber: charge.BacklogNumber}
	if incarnation.isOutdated(key) {
		return
	}
	known, ok := incarnation.charges[key]
	if !ok {
		known = &remoteCharge{}
		incarnation.charges[key] = known
		l.adoptLevel(a, known, sequence, charge)
	}
	if sequence <= known.sequence {
		return
	}
	increase := charge.Charged - known.charged
	known.sequence = sequence
	known.charged = charge.Charged
	a.remoteCost += increase
	a.reduceRecentLift(increase - extrapolatedCost(a, owner, charge.Workspace))
}

// extrapolatedCost returns the cost that an owner was assumed to have charged
// since its last snapshot: as much as this daemon, if it has a backlog of the
// workspace.
func extrapolatedCost(a *account, owner *remoteOwner, workspace ports.WorkspaceID) float64 {
	backlog, ok := owner.backlog[workspace]
	if !ok {
		return 0
	}
	return max(0, a.ownCost-backlog.ownCostAtExchange)
}

// reduceRecentLift takes back the part of a recent lift that was too high because
// cost charged by another owner was not known yet.
func (a *account) reduceRecentLift(cost float64) {
	if reduction := min(a.recentLift, cost/a.share); reduction > 0 {
		a.lift -= reduction
		a.recentLift -= reduction
	}
}

// adoptLevel handles the first charge of an owner for a workspace and backlog. If
// this ledger is new and the owner is older, it raises the workspace to the
// owner's level, which includes what the owner has charged so far.
func (l *Ledger) adoptLevel(a *account, known *remoteCharge, sequence uint64, charge WorkspaceCharge) {
	if l.sequence >= levelAdoptionExchanges || sequence <= l.sequence {
		return
	}
	known.charged = charge.Charged
	a.lift += max(0, charge.Level-l.level(a))
}

// setRemoteBacklogs replaces the list of workspaces that have a backlog at an
// owner.
func (l *Ledger) setRemoteBacklogs(owner *remoteOwner, charges []WorkspaceCharge) {
	before := owner.backlog
	owner.backlog = make(map[ports.WorkspaceID]remoteBacklog, len(charges))
	for _, charge := range charges {
		a := l.account(charge.Workspace)
		previous, existed := before[charge.Workspace]
		if charge.Waiting && !previous.waiting && !a.isWaiting() {
			l.liftToWaiting(a)
		}
		a.removeRemoteBacklog(previous, existed)
		a.addRemoteBacklog(remoteBacklog{waiting: charge.Waiting, ownCostAtExchange: a.ownCost})
		owner.backlog[charge.Workspace] = remoteBacklog{waiting: charge.Waiting, ownCostAtExchange: a.ownCost}
	}
	for workspace, previous := range before {
		if _, remains := owner.backlog[workspace]; !remains {
			l.account(workspace).removeRemoteBacklog(previous, true)
		}
	}
}

func (a *account) addRemoteBacklog(backlog remoteBacklog) {
	a.remoteBacklogCount++
	a.ownCostAtExchanges += backlog.ownCostAtExchange
	if backlog.waiting {
		a.remoteWaitCount++
	}
}

func (a *account) removeRemoteBacklog(backlog remoteBacklog, existed bool) {
	if !existed {
		return
	}
	a.remoteBacklogCount--
	a.ownCostAtExchanges -= backlog.ownCostAtExchange
	if a.remoteBacklogCount == 0 {
		a.ownCostAtExchanges = 0
	}
	if backlog.waiting {
		a.remoteWaitCount--
	}
}

// isOutdated reports whether the charge of a backlog must be ignored, because only
// a workspace's last two backlogs are kept and an older one may have been counted
// already. Otherwise it records a newer backlog and forgets all but the last two.
func (i *remoteIncarnation) isOutdated(key chargeKey) bool {
	latestBacklogNumber := i.latestBacklogNumber[key.workspace]
	if key.backlogNumber <= latestBacklogNumber {
		_, kept := i.charges[key]
		return !kept
	}
	i.latestBacklogNumber[key.workspace] = key.backlogNumber
	for other := range i.charges {
		if other.workspace == key.workspace && other.backlogNumber != latestBacklogNumber {
			delete(i.charges, other)
		}
	}
	return false
}

// incarnation returns the state of one incarnation, or nil when it is too old.
func (o *remoteOwner) incarnation(number ports.Incarnation) *remoteIncarnation {
	for _, incarnation := range o.incarnations {
		if incarnation.number == number {
			return incarnation
		}
	}
	if len(o.incarnations) == maxIncarnationsPerOwner && number < o.incarnations[0].number {
		return nil
	}
	incarnation := &remoteIncarnation{number: number, charges: make(map[chargeKey]*remoteCharge), latestBacklogNumber: make(map[ports.WorkspaceID]uint64)}
	o.incarnations = append(o.incarnations, incarnation)
	slices.SortFunc(o.incarnations, func(x, y *remoteIncarnation) int { return cmp.Compare(x.number, y.number) })
	if len(o.incarnations) > maxIncarnationsPerOwner {
		o.incarnations = o.incarnations[1:]
	}
	return incarnation
}
