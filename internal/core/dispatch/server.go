package dispatch

import (
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// prefixFetchFraction is the cost of fetching a cached prompt prefix from
	// another server, as a fraction of the cost of processing it.
	prefixFetchFraction = 0.1
	// plainStallFactor is the time without a first byte, in multiples of the
	// usual answer time, after which a call of a plain service raises the
	// prediction for its server.
	plainStallFactor = 6
	// usableMemoryFraction is the fraction of an engine's memory that is
	// filled: output may be longer than announced.
	usableMemoryFraction = 0.9
)

// Server is this daemon's view of one backend server.
type Server struct {
	vm       ports.VM
	isEngine bool
	distance ports.Distance
	// nameHash is the hash of the VM's name, the server's input to rendezvous
	// hashing.
	nameHash uint64
	ownLoad  Load
	peerLoad Load
	latency  latencyModel
	health   health
	// pendingSince holds the send times of the calls without a first byte,
	// oldest first.
	pendingSince []time.Time
	// takesLongPrompts reports whether the server is assigned to long prompts.
	takesLongPrompts bool
	// saidLeaving reports whether the server said in an answer that it is leaving.
	saidLeaving bool
	// pausedUntil is when the pause ends that the server asked for.
	pausedUntil time.Time
	// allowance is set while the requests of all daemons to the server are bounded, and
	// namesLimit while it names a limit itself.
	allowance  *allowance
	namesLimit bool
	warmth
	// isEvacuated reports whether the server's failure domain is evacuated.
	isEvacuated bool
	// removed reports whether the server has left the list.
	removed bool
}

// VM returns the server's VM.
func (s *Server) VM() ports.VM {
	return s.vm
}

// OwnLoad returns the load that this daemon put on the server.
func (s *Server) OwnLoad() Load {
	return s.ownLoad
}

// predictFirstByte returns the predicted time to the first byte of a call with
// the given number of prompt tokens to process. A pending call that has waited longer than the model
// predicts shows that the model is wrong; the prediction is then at least that
// wait.
func (s *Server) predictFirstByte(now time.Time, promptTokens int) time.Duration {
	load := s.ownLoad.Add(s.peerLoad)
	expected := s.latency.predictFirstByte(now, load.PendingTokens+promptTokens)
	slots := float64(s.vm.Slots)
	if excess := float64(load.Calls+1) - slots; slots > 0 && excess > 0 {
		expected += secondsToDuration(s.latency.runSeconds * excess / slots)
	}
	if waited := s.longestPending(now); waited > s.stallThreshold() {
		expected = max(expected, waited)
	}
	return expected
}

// predictIdle returns the predicted time to the first byte of a call with the given number
// of prompt tokens to process without other load, if the server were warm.
func (s *Server) predictIdle(now time.Time, promptTokens int) time.Duration {
	expected := s.latency.predictFirstByte(now, promptTokens)
	if !s.isCold {
		return expected
	}
	usual := newLatencyModel(s.isEngine, s.latency.typical)
	return min(expected, usual.predictFirstByte(now, promptTokens))
}

// longestPending returns how long the oldest call without a first byte has
// waited.
func (s *Server) longestPending(now time.Time) time.Duration {
	if len(s.pendingSince) == 0 {
		return 0
	}
	return now.Sub(s.pendingSince[0])
}

// stallThreshold returns the wait of one pending call from which it raises the
// prediction for the next. It is zero for engines, which answer in order of
// arrival; the calls of a plain service take times of their own.
func (s *Server) stallThreshold() time.Duration {
	if s.isEngine {
		return 0
	}
	return secondsToDuration(plainStallFactor * s.latency.baseSeconds)
}

// isIdle reports whether no daemon is known to have a call on the server.
func (s *Server) isIdle() bool {
	return s.ownLoad.Calls+s.peerLoad.Calls == 0
}

// hasMemoryFor reports whether the given number of tokens fits into the
// server's memory. A capacity of zero is unknown and admits any number.
func (s *Server) hasMemoryFor(capacityTokens int, tokens int) bool {
	if capacityTokens == 0 {
		return true
	}
	return float64(s.ownLoad.MemoryTokens+s.peerLoad.MemoryTokens+tokens) <= usableMemoryFraction*float64(capacityTokens)
}

func (s *Server) accepts(now time.Time, work *Work) bool {
	return s.mayRun(work) && !s.freeAt(now).After(now) && s.health.accepts(now, s.ownLoad.Calls)
}

// mayRun reports whether the server may run the call once its health and its pause
// permit it.
func (s *Server) mayRun(work *Work) bool {
	return !s.isEvacuated && s.suits(work)
}

// suits reports the same of a server whose failure domain is not evacuated.
func (s *Server) suits(work *Work) bool {
	return !s.isLeaving() && work.regions.Allows(s.vm.Region) && !slices.Contains(work.FailedServers, s.vm.Name) &&
		(work.SoftwareVersion == "" || work.SoftwareVersion == s.vm.SoftwareVersion)
}

// isLeaving reports whether the server is leaving, by the list or by its own answer.
func (s *Server) isLeaving() bool {
	return s.vm.Leaving || s.saidLeaving
}

// rendezvousScore orders the servers for a prompt prefix. The server with the
// highest score in a failure domain is the prefix's preferred server there.
func (s *Server) rendezvousScore(prefix PrefixHash) uint64 {
	return mixBits(uint64(prefix) ^ s.nameHash)
}

// mixBits is the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *Server) removePending(sentAt time.Time) {
	if at := slices.Index(s.pendingSince, sentAt); at >= 0 {
		s.pendingSince = slices.Delete(s.pendingSince, at, at+1)
	}
}
