// Package slots decides, for the backend servers of one service whose slots one
// daemon owns, which waiting workspace gets the next slot and on which server.
// It has no I/O and no clock. internal/app/sharing imports it.
package slots

import (
	"cmp"
	"slices"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

const (
	// grantTimeout is how long a grant may stay unconfirmed before its slot is
	// granted anew.
	grantTimeout = time.Second
	// expiredKept is how long an expired grant is remembered, so that a late
	// confirmation counts its slot again.
	expiredKept = time.Minute
	// urgentWithin is how near its deadline a request may overtake.
	urgentWithin = 500 * time.Millisecond
)

// Key identifies a slot at its owner, also after the owner changed.
type Key struct {
	Entry   ports.DaemonID
	Granter ports.DaemonID
	Run     ports.ShortIncarnation
	ID      ports.SlotID
}

// Grant is one slot for one waiting request of a workspace at an entry.
type Grant struct {
	ID        ports.SlotID
	Entry     ports.DaemonID
	Workspace ports.WorkspaceID
	Class     ports.ClassName
	Server    ports.VM
	Shard     ports.ShardID
	// Estimate is the cost that was charged in advance.
	Estimate float64
}

// Held is a slot that an entry holds, as it reports to a new owner.
type Held struct {
	Key       Key
	Workspace ports.WorkspaceID
	Class     ports.ClassName
	Server    ports.VMName
	// Charged is the cost that a former owner has charged.
	Charged float64
}

// slot is one slot that was granted or reported as held.
type slot struct {
	key       Key
	workspace ports.WorkspaceID
	class     ports.ClassName
	server    *server
	// estimate is the cost charged at the grant, and charged all that was
	// charged so far.
	estimate float64
	charged  float64
	// batch numbers the message that carried the grant.
	batch     uint64
	grantedAt time.Time
	// deadline is that of the request behind the grant.
	deadline  time.Time
	confirmed bool
	expired   bool
}

// Owner owns the slots of some backend servers of one service. It is not safe
// for concurrent use.
type Owner struct {
	self      ports.DaemonID
	run       ports.ShortIncarnation
	ledger    *fairshare.Ledger
	estimator *fairshare.Estimator
	options   fairshare.Options
	servers   map[ports.VMName]*server
	slots     map[Key]*slot
	entries   map[ports.DaemonID]*entry
	// wants is the demand by workspace, and waiting the workspaces that the
	// ledger was told of.
	wants   map[ports.WorkspaceID]*line
	waiting map[ports.WorkspaceID]bool
	lastID  ports.SlotID
	// owns says that the daemon owns a server at all. Demand may come a little
	// before that; it does not count as waiting until then.
	owns    bool
	largest float64
	// hold is the mean time that slots are held.
	hold time.Duration
}

// NewOwner returns an owner without servers.
func NewOwner(self ports.DaemonID, run ports.ShortIncarnation, ledger *fairshare.Ledger, options fairshare.Options) *Owner {
	return &Owner{
		self:      self,
		run:       run,
		ledger:    ledger,
		estimator: fairshare.NewEstimator(),
		options:   options,
		servers:   make(map[ports.VMName]*server),
		slots:     make(map[Key]*slot),
		entries:   make(map[ports.DaemonID]*entry),
		wants:     make(map[ports.WorkspaceID]*line),
	}
}

// Server is one backend server that is owned.
type Server struct {
	VM    ports.VM
	Shard ports.ShardID
}

// SetServers replaces the owned servers. limit bounds every window; a server
// that is new here gets no grant before grantableAt. Slots of servers that are
// owned no more are forgotten: their new owner hears of them from the entries.
// The last server takes all demand with it.
func (o *Owner) SetServers(servers []Server, limit int, grantableAt time.Time) {
	owned := o.owns
	o.owns = len(servers) > 0
	for _, s := range o.servers {
		s.present = false
	}
	for _, server := range servers {
		s := o.server(server.VM.Name, limit)
		if s.shard == "" {
			s.grantableAt = grantableAt
		}
		s.vm = server.VM
		s.shard = server.Shard
		s.present = true
		s.window.SetLimit(limit)
	}
	o.dropAbsent()
	if owned && !o.owns {
		clear(o.wants)
	}
	o.updateWaiting()
}

// Ready ends the wait for reports of held slots.
func (o *Owner) Ready() {
	for _, s := range o.servers {
		s.grantableAt = time.Time{}
	}
}

// dropAbsent forgets servers that were owned before and are no more.
func (o *Owner) dropAbsent() {
	for _, held := range o.slots {
		if !held.server.present && held.server.shard != "" {
			o.remove(held)
		}
	}
	for name, s := range o.servers {
		if !s.present && s.shard != "" {
			delete(o.servers, name)
		}
	}
}

func (o *Owner) server(name ports.VMName, limit int) *server {
	s, ok := o.servers[name]
	if !ok {
		s = &server{vm: ports.VM{Name: name}, window: NewWindow(limit), byEntry: make(map[ports.DaemonID]int)}
		o.servers[name] = s
	}
	return s
}

// Load takes in a server's lagging load report.
func (o *Owner) Load(now time.Time, name ports.VMName, report ports.LoadReport) {
	if s, ok := o.servers[name]; ok {
		s.load(now, report)
	}
}

// Probed takes in whether a server answered the request for its load report,
// if only that it gives none, and the time that the answer took.
func (o *Owner) Probed(now time.Time, name ports.VMName, answered bool, trip time.Duration) {
	s, ok := o.servers[name]
	if !ok {
		return
	}
	s.probed(now, answered)
	if answered {
		s.trip = shorter(s.trip, trip)
	}
}

// DueProbes returns the servers whose load reports shall be asked for now.
func (o *Owner) DueProbes(now time.Time) []ports.VM {
	var due []ports.VM
	for _, s := range o.servers {
		if s.probeDue(now) {
			due = append(due, s.vm)
		}
	}
	return due
}

// Status returns the owned servers by shard and name.
func (o *Owner) Status(now time.Time) []ports.ShardStatus {
	shards := make(map[ports.ShardID][]ports.ServerStatus)
	for _, s := range o.servers {
		if !s.present {
			continue
		}
		shards[s.shard] = append(shards[s.shard], ports.ServerStatus{
			VM:       s.vm.Name,
			InUse:    s.inUse,
			Window:   s.window.Size(),
			Leaving:  s.leaving(now),
			Excluded: s.excluded(now),
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

// freest returns the usable server with the emptiest window that has room for
// one more, or nil.
func (o *Owner) freest(now time.Time) *server {
	var best *server
	for _, s := range o.servers {
		if !s.grantable(now) || s.inUse >= s.window.Size()+o.ahead(s) {
			continue
		}
		if best == nil || s.emptierThan(best) {
			best = s
		}
	}
	return best
}

func (s *server) emptierThan(other *server) bool {
	if s.fill() != other.fill() {
		return s.fill() < other.fill()
	}
	return s.vm.Name < other.vm.Name
}
