package dispatch

import (
	"slices"
	"time"
)

// AdmissionTerms are the conditions under which a call is admitted to a server.
type AdmissionTerms struct {
	// Waited is the time since the call arrived.
	Waited time.Duration
	// Excess is where the call's workspace stands between the contending one that gets least
	// of its share, at 0, and that which gets most, at 1.
	Excess float64
	// HasBegun admits the call on every server: it continues an answer or replaces a run
	// that has begun, and work that has begun is completed.
	HasBegun bool
}

// admits reports whether a call may be sent to a server: the answer begins while the caller
// waits for it, and the server has room.
func (t *AdmissionTerms) admits(choice Choice, work *Work, limit time.Duration) bool {
	if t.HasBegun {
		return true
	}
	if work.FirstByteWithin > 0 && t.Waited+choice.ExpectedFirstByte > work.FirstByteWithin {
		return false
	}
	return choice.Server.isIdle() || choice.hasMemory && choice.ExpectedFirstByte-choice.ExpectedIdle <= limit
}

// queueLimit returns the longest queueing time with which a server has room. A call of the
// shortest target of the service that is sent there meets it; and a mean call may always wait
// at the server, so that it doesn't idle between two. Workspaces with an excess find room
// behind shorter queues, and the one that gets most at servers on which no call waits: behind
// their calls, those that get less find room, at whatever daemon they arrive.
func (p *Pool) queueLimit(now time.Time, server *Server, work *Work, excess float64) time.Duration {
	target := p.shortestTarget
	if target == 0 {
		target = work.FirstTokenWithin
	}
	call := server.predictIdle(now, int(p.longPrompts.meanTokens))
	return time.Duration((1 - excess) * float64(max(target-call, call)))
}

// TakesCalls reports whether a server accepts the call now, with room or without.
func (p *Pool) TakesCalls(now time.Time, work *Work) bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return s.accepts(now, work) })
}

// HasRoom reports whether a server has room for calls of a workspace with the given excess.
func (p *Pool) HasRoom(now time.Time, work *Work, excess float64) bool {
	for _, server := range p.servers {
		if !server.takesNewCalls() || server.freeAt(now).After(now) || !server.health.accepts(now, server.ownLoad.Calls) {
			continue
		}
		queueTime := server.predictFirstByte(now, 0) - server.predictIdle(now, 0)
		if server.isIdle() || queueTime <= p.queueLimit(now, server, work, excess) {
			return true
		}
	}
	return false
}

// FastestIdle returns the shortest predicted time to the first byte of the call on a server
// without other load; false if no server may run it. A cached prefix is not counted on.
func (p *Pool) FastestIdle(now time.Time, work *Work) (time.Duration, bool) {
	fastest, found := time.Duration(0), false
	for _, server := range p.servers {
		if !server.takesNewCalls() || !server.mayRun(work) {
			continue
		}
		if idle := server.predictIdle(now, work.UniqueTokens); !found || idle < fastest {
			fastest, found = idle, true
		}
	}
	return fastest, found
}

const (
	// callSampleWeight is the weight of one more call in the moving averages.
	callSampleWeight = 0.02
	// maxRetryAfter bounds the time after which a refused caller should retry: a
	// prediction beyond it says nothing.
	maxRetryAfter = time.Minute
	// minPauseSpread and maxPauseSpread bound the time over which retries after a pause are
	// spread, and pauseSpreadFraction is the fraction of the pause that it is.
	minPauseSpread      = 300 * time.Millisecond
	maxPauseSpread      = 4 * time.Second
	pauseSpreadFraction = 0.5
)

// observe adds a call to the moving averages.
func (p *Pool) observe(work *Work) {
	if p.meanTokens == 0 {
		p.meanTokens = work.CostTokens()
	}
	p.meanTokens += callSampleWeight * (work.CostTokens() - p.meanTokens)
}

// RetryAfterPause returns the time after which a caller should retry that was refused
// because all servers pause, given the time until the first pause ends and a random
// number from 0 to 1. The retries are spread after that end, wider after a long pause,
// in which more callers were refused.
func RetryAfterPause(untilFree time.Duration, random float64) time.Duration {
	spread := min(max(time.Duration(pauseSpreadFraction*float64(untilFree)), minPauseSpread), maxPauseSpread)
	return untilFree + time.Duration(random*float64(spread))
}

// RetryAfter returns the time after which a caller should retry that was refused for lack of
// room: when room is expected. The calls that wait are served in expectedWait, a call can
// wait for canWait, and one takes callTime on an idle server. One that returns canWait before
// the line is empty is just in time; random, from 0 to 1, gives each caller a time of its own
// from then on, so that callers refused together don't return together.
func RetryAfter(expectedWait, canWait, callTime time.Duration, random float64) time.Duration {
	lower := max(expectedWait-canWait, callTime)
	upper := max(expectedWait, lower+callTime)
	return min(lower+time.Duration(random*float64(upper-lower)), maxRetryAfter)
}
