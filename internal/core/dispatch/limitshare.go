package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// A server tolerates limitTolerance times the limit that it names, plus limitExcess
	// requests, in each limitWindow.
	limitTolerance = 1.5
	limitExcess    = 5
	limitWindow    = 4 * time.Second
	// ownDomainFraction is the part of a server's senders in its failure domain, whose
	// calls take the shortest way. The others are spread over the fleet, so that the
	// server is used when no callers are left in its domain.
	ownDomainFraction = 0.5
	// minLimit is the rate in requests per second at which a server that names a lower
	// limit is still asked, to learn that the limit has ended.
	minLimit = 0.25
	// startupPeriod is how long after its start a daemon may not know the others. It takes
	// the fleet to have at least startupDaemons then.
	startupPeriod  = 5 * time.Second
	startupDaemons = 16
	// settlePeriod is how long after its start a daemon may not be known to the others,
	// nor all of them to it.
	settlePeriod = 2 * time.Second
	// absenceMemory is how long a daemon that is no longer heard of keeps its share of the
	// limits, since it may go on sending. If less than heardFraction of the fleet is heard
	// of, it is likely divided, and the absent ones keep theirs for longAbsenceMemory.
	absenceMemory     = time.Minute
	longAbsenceMemory = 10 * time.Minute
	heardFraction     = 0.75
)

// LimitShare is what one daemon may send to a server that takes a bounded number of
// requests per second from all daemons together.
type LimitShare struct {
	// Rate is in requests per second. It is zero if other daemons send to the server.
	Rate float64
	// Burst is the number of requests that may be sent at once.
	Burst float64
}

// LimitSharing divides the bounds on the requests of backend servers between the daemons,
// without messages about who sends: the limits that servers name, and the rates that cold
// servers bear.
//
// Load pattern: servers take between one and some ten requests per second from a fleet of
// up to hundreds of daemons. Neither can each daemon send one request at any time, nor is
// the part of each worth anything. A server therefore has only so many senders that each
// of them may send minBurst requests at once. Each daemon ranks all of them in the same way;
// the other daemons send to other servers.
type LimitSharing struct {
	self      ports.VM
	startedAt time.Time
	daemons   map[ports.VMName]*limitSharer
	// heard is the number of daemons in the latest list, this one included.
	heard int
	// version changes with the set of daemons that count and at the ends of the settle
	// period and the startup period.
	version int
}

type limitSharer struct {
	vm       ports.VM
	nameHash uint64
	// heardAt is when the daemon was last in the list.
	heardAt time.Time
}

// NewLimitSharing returns the LimitSharing of a daemon that starts now and knows no other.
func NewLimitSharing(now time.Time, self ports.VM) *LimitSharing {
	s := &LimitSharing{self: self, startedAt: now, daemons: make(map[ports.VMName]*limitSharer)}
	s.Update(now, nil)
	return s
}

// Update sets the daemons that are considered alive. It must also be called from time to
// time without a change, so that absent daemons are forgotten.
func (s *LimitSharing) Update(now time.Time, alive []ports.VM) {
	previous := s.lastUpdate()
	changed := s.isStarting(previous) != s.isStarting(now) || s.isSettling(previous) != s.isSettling(now)
	s.heard = 0
	hear := func(vm ports.VM) {
		known := s.daemons[vm.Name]
		if known == nil || known.vm.Domain != vm.Domain {
			known = &limitSharer{vm: vm, nameHash: xxhash.Sum64String(string(vm.Name))}
			s.daemons[vm.Name] = known
			changed = true
		}
		known.heardAt = now
		s.heard++
	}
	hear(s.self)
	for _, vm := range alive {
		if vm.Name != s.self.Name {
			hear(vm)
		}
	}
	memory := absenceMemory
	if float64(s.heard) < heardFraction*float64(len(s.daemons)) {
		memory = longAbsenceMemory
	}
	for name, daemon := range s.daemons {
		if now.Sub(daemon.heardAt) >= memory {
			delete(s.daemons, name)
			changed = true
		}
	}
	if changed {
		s.version++
	}
}

// lastUpdate returns when Update was last called; the start before the first call.
func (s *LimitSharing) lastUpdate() time.Time {
	if self, ok := s.daemons[s.self.Name]; ok {
		return self.heardAt
	}
	return s.startedAt
}

func (s *LimitSharing) isStarting(now time.Time) bool {
	return now.Sub(s.startedAt) < startupPeriod
}

// daemonCount returns the number of daemons between which limits are divided.
func (s *LimitSharing) daemonCount() int {
	if s.isStarting(s.lastUpdate()) {
		return max(len(s.daemons), startupDaemons)
	}
	return len(s.daemons)
}

// ShareOf returns this daemon's share of a bound on the requests of a server.
func (s *LimitSharing) ShareOf(server ports.VM, bound RateBound) LimitShare {
	senders := int(min(max(math.Floor(bound.Burst/minBurst), 1), float64(s.daemonCount())))
	share := LimitShare{Rate: bound.Rate / float64(senders), Burst: bound.Burst / float64(senders)}
	if senders < len(s.daemons) && !s.isSender(server, senders) || bound.RequiresPeers && s.isUnsettled() {
		share.Rate = 0
	}
	return share
}

// isUnsettled reports whether this daemon has just started, and the fleet may divide a bound
// without it.
func (s *LimitSharing) isUnsettled() bool {
	now := s.lastUpdate()
	return s.isSettling(now) || len(s.daemons) == 1 && s.isStarting(now)
}

func (s *LimitSharing) isSettling(now time.Time) bool {
	return now.Sub(s.startedAt) < settlePeriod
}

// isSender reports whether this daemon is one of the given number of senders of a server.
func (s *LimitSharing) isSender(server ports.VM, senders int) bool {
	serverHash := xxhash.Sum64String(string(server.Name))
	ranked := make([]*limitSharer, 0, len(s.daemons))
	for _, daemon := range s.daemons {
		ranked = append(ranked, daemon)
	}
	slices.SortFunc(ranked, func(a, b *limitSharer) int {
		return cmp.Or(
			cmp.Compare(mixBits(serverHash^b.nameHash), mixBits(serverHash^a.nameHash)), cmp.Compare(a.vm.Name, b.vm.Name),
		)
	})
	inDomain := int(math.Ceil(ownDomainFraction * float64(senders)))
	isOfDomain := make(map[*limitSharer]bool, inDomain)
	for _, daemon := range ranked {
		if daemon.vm.Domain == server.Domain && len(isOfDomain) < inDomain {
			isOfDomain[daemon] = true
		}
	}
	others := senders - len(isOfDomain)
	for _, daemon := range ranked {
		isSender := isOfDomain[daemon]
		if !isSender && others > 0 {
			isSender = true
			others--
		}
		if daemon.vm.Name == s.self.Name {
			return isSender
		}
	}
	return false
}
