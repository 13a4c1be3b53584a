package dispatch

import (
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// fetchedPart is what fetching a shared part from another server costs, as a
	// part of reading it.
	fetchedPart = 0.1
	// plainDoubt is how many usual answer times a call of a plain service waits
	// before its server is doubted.
	plainDoubt = 6
	// memoryUse is the part of an engine's memory that is filled: output may be
	// longer than announced.
	memoryUse = 0.9
)

// Server is what this daemon knows of one backend server.
type Server struct {
	vm       ports.VM
	engine   bool
	distance ports.Distance
	// nameHash is the hash of the VM's name.
	nameHash uint64
	own      Load
	others   Load
	model    model
	health   health
	// pending are the times at which the calls without a first byte were sent,
	// oldest first.
	pending []time.Time
	// gone says that the server left the list.
	gone bool
}

// VM returns the server's VM.
func (s *Server) VM() ports.VM {
	return s.vm
}

// Own returns the load from this daemon.
func (s *Server) Own() Load {
	return s.own
}

// expect predicts the time to the first byte of a call that reads a number of
// prompt tokens and may use a part of the slots. A call that has waited longer
// than the model says shows that the model is wrong.
func (s *Server) expect(now time.Time, tokens int, part float64) time.Duration {
	load := s.own.Add(s.others)
	expected := s.model.expect(now, load.Waiting+tokens)
	slots := part * float64(s.vm.Slots)
	if over := float64(load.Calls+1) - slots; slots > 0 && over > 0 {
		expected += seconds(s.model.run * over / slots)
	}
	if waits := s.oldestPending(now); waits > s.doubtAfter() {
		expected = max(expected, waits)
	}
	return expected
}

// oldestPending is how long the oldest call without a first byte has waited.
func (s *Server) oldestPending(now time.Time) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	return now.Sub(s.pending[0])
}

// doubtAfter is the wait of one call that says something about the next: engines
// answer in order of arrival, while a plain service's calls take their own time.
func (s *Server) doubtAfter() time.Duration {
	if s.engine {
		return 0
	}
	return seconds(plainDoubt * s.model.base)
}

// hasMemory says whether the work fits into the server's memory.
func (s *Server) hasMemory(capacity int, tokens int) bool {
	if capacity == 0 {
		return true
	}
	return float64(s.own.Memory+s.others.Memory+tokens) <= memoryUse*float64(capacity)
}

func (s *Server) takes(now time.Time, work *Work) bool {
	return !s.vm.Leaving && s.health.takes(now, s.own.Calls) && !slices.Contains(work.Avoid, s.vm.Name)
}

// rank orders servers for a shared part: the highest is its home.
func (s *Server) rank(key PartKey) uint64 {
	return mix(uint64(key) ^ s.nameHash)
}

// mix spreads the bits of a number, as the last step of splitmix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *Server) forget(sent time.Time) {
	if at := slices.Index(s.pending, sent); at >= 0 {
		s.pending = slices.Delete(s.pending, at, at+1)
	}
}
