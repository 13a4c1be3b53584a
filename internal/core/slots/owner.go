// Package slots schedules the slots of the backend servers of one service that
// belong to one daemon, the owner: it decides which waiting workspace gets the next
// slot and on which server. It has no I/O and no clock. internal/app/sharing
// imports it.
package slots

import (
	"cmp"
	"slices"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

const (
	// grantTimeout is how long a grant may stay unacknowledged before its slot is
	// granted again.
	grantTimeout = time.Second
	// expiredGrantRetention is how long an expired grant is remembered, so that a
	// late acknowledgment counts its slot again.
	expiredGrantRetention = time.Minute
	// urgentWithin is the time to its FirstTokenBy below which a call is urgent
	// and may overtake others.
	urgentWithin = 500 * time.Millisecond
)

// Key identifies a slot at its owner, also after the owner changed.
type Key struct {
	Entry ports.DaemonID
	// Granter and GranterIncarnation are the owner that granted the slot and its
	// incarnation.
	Granter            ports.DaemonID
	GranterIncarnation ports.ShortIncarnation
	ID                 ports.SlotID
}

// Grant is one slot for one waiting call of a workspace at an entry.
type Grant struct {
	ID        ports.SlotID
	Entry     ports.DaemonID
	Workspace ports.WorkspaceID
	Class     ports.ClassName
	Server    ports.VM
	Shard     ports.ShardID
	// Estimate is the cost that was charged in advance, in cost units.
	Estimate float64
}

// HeldSlot is a slot that an entry holds, as reported to its owner.
type HeldSlot struct {
	Key       Key
	Workspace ports.WorkspaceID
	Class     ports.ClassName
	Server    ports.VMName
	// Charged is the cost charged so far, in cost units.
	Charged float64
}

// slot is a slot that was granted here or reported as held by an entry.
type slot struct {
	key       Key
	workspace ports.WorkspaceID
	class     ports.ClassName
	server    *server
	// estimate is the cost charged at the grant, and charged the cost charged so
	// far.
	estimate float64
	charged  float64
	// sequence is the sequence number of the batch that carried the grant.
	sequence  uint64
	grantedAt time.Time
	// firstTokenBy is that of the call behind the grant.
	firstTokenBy time.Time
	acked        bool
	expired      bool
}

// Owner owns the slots of some backend servers of one service. It is not safe
// for concurrent use.
type Owner struct {
	self              ports.DaemonID
	incarnation       ports.ShortIncarnation
	ledger            *fairshare.Ledger
	estimator         *fairshare.Estimator
	options           fairshare.Options
	servers           map[ports.VMName]*server
	slots             map[Key]*slot
	entries           map[ports.DaemonID]*entry
	demandByWorkspace map[ports.WorkspaceID]*workspaceDemand
	// waitingWorkspaces is the set that was last passed to the ledger.
	waitingWorkspaces map[ports.WorkspaceID]bool
	lastSlotID        ports.SlotID
	// ownsServers is true while the daemon owns a server. Demand may arrive shortly
	// before that; it does not count as waiting until then.
	ownsServers bool
	// largestCost is the largest cost of a run so far, in cost units.
	largestCost float64
	// meanHoldTime is the moving mean of the time from grant to release.
	meanHoldTime time.Duration
}

// NewOwner returns an owner without servers.
func NewOwner(self ports.DaemonID, incarnation ports.ShortIncarnation, ledger *fairshare.Ledger, options fairshare.Options) *Owner {
	return &Owner{
		self:              self,
		incarnation:       incarnation,
		ledger:            ledger,
		estimator:         fairshare.NewEstimator(),
		options:           options,
		servers:           make(map[ports.VMName]*server),
		slots:             make(map[Key]*slot),
		entries:           make(map[ports.DaemonID]*entry),
		demandByWorkspace: make(map[ports.WorkspaceID]*workspaceDemand),
	}
}

// Server is one owned backend server.
type Server struct {
	VM    ports.VM
	Shard ports.ShardID
}

// SetServers replaces the owned servers. limit is the maximum of every window, in
// calls; a server that is new here gets no grant before grantableAt. Slots of
// servers that are no longer owned are dropped: the entries report them to the new
// owner. When no server is left, all demand is dropped too.
func (o *Owner) SetServers(servers []Server, limit int, grantableAt time.Time) {
	ownedBefore := o.ownsServers
	o.ownsServers = len(servers) > 0
	for _, s := range o.servers {
		s.owned = false
	}
	for _, server := range servers {
		s := o.server(server.VM.Name, limit)
		if s.shard == "" {
			s.grantableAt = grantableAt
		}
		s.vm = server.VM
		s.shard = server.Shard
		s.owned = true
		s.window.SetLimit(limit)
	}
	o.dropDisownedServers()
	if ownedBefore && !o.ownsServers {
		clear(o.demandByWorkspace)
	}
	o.updateWaiting()
}

// EndGracePeriod ends the wait for reports of held slots, so that new servers get
// grants.
func (o *Owner) EndGracePeriod() {
	for _, s := range o.servers {
		s.grantableAt = time.Time{}
	}
}

// dropDisownedServers removes servers that are no longer owned, and their slots.
func (o *Owner) dropDisownedServers() {
	for _, held := range o.slots {
		if !held.server.owned && held.server.shard != "" {
			o.removeSlot(held)
		}
	}
	for name, s := range o.servers {
		if !s.owned && s.shard != "" {
			delete(o.servers, name)
		}
	}
}

// server returns the state of a server and creates it if there is none.
func (o *Owner) server(name ports.VMName, limit int) *server {
	s, ok := o.servers[name]
	if !ok {
		s = &server{vm: ports.VM{Name: name}, window: NewWindow(limit), inUseByEntry: make(map[ports.DaemonID]int)}
		o.servers[name] = s
	}
	return s
}

// ObserveLoad applies a server's load report, which lags behind the real load.
func (o *Owner) ObserveLoad(now time.Time, name ports.VMName, report ports.LoadReport) {
	if s, ok := o.servers[name]; ok {
		s.observeLoad(now, report)
	}
}

// ObserveProbe records whether a server answered the request for its load report,
// if only that it provides none, and the round trip of the request.
func (o *Owner) ObserveProbe(now time.Time, name ports.VMName, answered bool, roundTrip time.Duration) {
	s, ok := o.servers[name]
	if !ok {
		return
	}
	s.observeProbe(now, answered)
	if answered {
		s.roundTrip = updateRoundTrip(s.roundTrip, roundTrip)
	}
}

// DueProbes returns the servers whose load reports are to be requested now, and
// records the requests.
func (o *Owner) DueProbes(now time.Time) []ports.VM {
	var due []ports.VM
	for _, s := range o.servers {
		if s.startProbeIfDue(now) {
			due = append(due, s.vm)
		}
	}
	return due
}

// Status returns the owned servers, ordered by shard and name.
func (o *Owner) Status(now time.Time) []ports.ShardStatus {
	shards := make(map[ports.ShardID][]ports.ServerStatus)
	for _, s := range o.servers {
		if !s.owned {
			continue
		}
		shards[s.shard] = append(shards[s.shard], ports.ServerStatus{
			VM:       s.vm.Name,
			InUse:    s.inUse,
			Window:   s.window.Size(),
			Leaving:  s.isLeaving(now),
			Excluded: s.isExcluded(now),
		})
	}
	var statuses []ports.ShardStatus
	for shard, servers := range shards {
		slices.SortFunc(servers, func(a, b ports.ServerStatus) int { return cmp.Compare(a.VM, b.VM) })
		statuses = append(statuses, ports.ShardStatus{Shard: shard, Servers: servers})
	}
	slices.SortFunc(statuses, func(a, b ports.ShardStatus) int { return cmp.Compare(a.Shard, b.Shard) })
	return statuses
}

// emptiestServer returns the server with the lowest utilization among those that
// may get a grant and have room for it, or nil.
func (o *Owner) emptiestServer(now time.Time) *server {
	var best *server
	for _, s := range o.servers {
		if !s.isGrantable(now) || s.inUse >= s.window.Size()+o.overcommit(s) {
			continue
		}
		if best == nil || s.isEmptierThan(best) {
			best = s
		}
	}
	return best
}

func (s *server) isEmptierThan(other *server) bool {
	if s.utilization() != other.utilization() {
		return s.utilization() < other.utilization()
	}
	return s.vm.Name < other.vm.Name
}
