package slots

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// initialExclusion is the first exclusion of an unreachable server. An excluded
	// server gets no grant.
	initialExclusion = time.Second
	// maxExclusion limits the exclusion, which doubles with each fault.
	maxExclusion = 30 * time.Second
	// faultsToExclude is the number of consecutive broken or silent runs that
	// exclude a server that still accepts connections.
	faultsToExclude = 2
	// probeFailuresToExclude is the number of consecutive failed requests for the
	// load report that exclude a server.
	probeFailuresToExclude = 2
	// probeInterval is the time between two requests for the load report, and
	// slowStartProbeInterval that for a server in use whose window is in slow
	// start.
	probeInterval          = time.Second
	slowStartProbeInterval = 250 * time.Millisecond
	// leavingReportTTL is how long a server's own report that it is leaving
	// counts while the VM list does not show it as leaving.
	leavingReportTTL = 30 * time.Second
)

// server is the owner's state of one backend server.
type server struct {
	vm ports.VM
	// shard is empty while the server is known only from held slots.
	shard  ports.ShardID
	owned  bool
	window Window
	inUse  int
	// inUseByEntry is inUse by the entry that holds the slots.
	inUseByEntry map[ports.DaemonID]int
	// roundTrip is the measured round trip to the server, and roundingOffset is
	// added to the overcommitted slots before they are rounded down.
	roundTrip      time.Duration
	roundingOffset float64
	// grantableAt is the end of the wait for reports of slots that a former owner
	// granted.
	grantableAt   time.Time
	leavingUntil  time.Time
	excludedUntil time.Time
	// unreachable is true while the server is excluded because it accepted no
	// connection or answered no probe. An answer to a probe then ends the exclusion.
	unreachable              bool
	consecutiveFaults        int
	consecutiveProbeFailures int
	nextProbeAt              time.Time
}

func (s *server) isLeaving(now time.Time) bool {
	return s.vm.Leaving || now.Before(s.leavingUntil)
}

func (s *server) isExcluded(now time.Time) bool {
	return now.Before(s.excludedUntil)
}

// isUsable reports whether the server is owned and neither leaving nor excluded.
func (s *server) isUsable(now time.Time) bool {
	return s.owned && !s.isLeaving(now) && !s.isExcluded(now)
}

// isGrantable reports whether the server may get a grant if it has room.
func (s *server) isGrantable(now time.Time) bool {
	return s.isUsable(now) && !now.Before(s.grantableAt)
}

// utilization returns the slots in use as a fraction of the window.
func (s *server) utilization() float64 {
	return float64(s.inUse) / float64(s.window.Size())
}

// observeRun applies the report of a finished run to the server's state.
// congestionThreshold is the longest time to the first byte of a server that is not
// congested, zero for no limit.
func (s *server) observeRun(now time.Time, report ports.RunReport, congestionThreshold time.Duration) {
	switch report.Fault {
	case ports.ServerFaultUnreachable:
		s.exclude(now)
		s.unreachable = true
	case ports.ServerFaultBroken, ports.ServerFaultSilent:
		s.observeFault(now)
	case ports.ServerFaultOverloaded:
		s.window.Shrink(now)
	case ports.ServerFaultLeaving:
		s.leavingUntil = now.Add(leavingReportTTL)
	case ports.ServerFaultNone:
		s.observeAnswer(now, report.FirstByteAfter, congestionThreshold)
	}
}

func (s *server) observeAnswer(now time.Time, firstByteAfter, congestionThreshold time.Duration) {
	if firstByteAfter == 0 {
		return
	}
	s.consecutiveFaults = 0
	s.unreachable = false
	if congestionThreshold > 0 && firstByteAfter > congestionThreshold {
		s.window.Shrink(now)
		return
	}
	s.window.Grow(s.inUse >= s.window.Size())
}

func (s *server) observeFault(now time.Time) {
	if s.consecutiveFaults+1 < faultsToExclude {
		s.consecutiveFaults++
		s.window.Shrink(now)
		return
	}
	s.exclude(now)
}

func (s *server) exclude(now time.Time) {
	if s.isExcluded(now) {
		return
	}
	exclusion := min(initialExclusion<<min(s.consecutiveFaults, 5), maxExclusion)
	s.consecutiveFaults++
	s.excludedUntil = now.Add(exclusion)
	s.window.Reset()
}

// observeLoad applies the server's load report, which lags behind the real load.
func (s *server) observeLoad(now time.Time, report ports.LoadReport) {
	if report.Leaving {
		s.leavingUntil = now.Add(leavingReportTTL)
	}
	s.window.ObserveLoad(now, report.Running, report.Waiting)
}

// observeProbe records whether the server answered a request for its load report.
func (s *server) observeProbe(now time.Time, answered bool) {
	if !answered {
		s.consecutiveProbeFailures++
		if s.consecutiveProbeFailures >= probeFailuresToExclude {
			s.exclude(now)
			s.unreachable = true
		}
		return
	}
	s.consecutiveProbeFailures = 0
	if s.unreachable {
		s.unreachable = false
		s.excludedUntil = time.Time{}
	}
}

// startProbeIfDue reports whether the load report is to be requested now. If so,
// it schedules the next request.
func (s *server) startProbeIfDue(now time.Time) bool {
	if !s.owned || now.Before(s.nextProbeAt) {
		return false
	}
	interval := probeInterval
	if s.window.InSlowStart() && s.inUse > 0 {
		interval = slowStartProbeInterval
	}
	s.nextProbeAt = now.Add(interval)
	return true
}
