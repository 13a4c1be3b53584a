package soak

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// usualKillAfter is the time from SIGTERM to SIGKILL in platformtest.Settings.
	usualKillAfter = 8 * time.Second
	// cutKillAfter and cutAnnounce are the stop settings of a run with Options.CutStops.
	cutKillAfter = 5 * time.Second
	cutAnnounce  = 1800 * time.Millisecond
	// longCall is the length of the calls that outlast a stop, and longCallTimeout that of all
	// callers of the run who don't hang up early.
	longCall        = 6 * time.Second
	longCallTimeout = 15 * time.Second
	// leftToCalls is the least time from SIGTERM that calls are left.
	leftToCalls = cutKillAfter * 5 / 6
	// signalSlack is the time that a signal needs to take effect, relaySlack that of the news of
	// it at the daemon that serves a relayed connection, and endSlack the time that an answer
	// needs from the server to the caller.
	signalSlack = 250 * time.Millisecond
	relaySlack  = 400 * time.Millisecond
	endSlack    = 300 * time.Millisecond
	// cutMargin is the time before the cut at which a daemon may answer for it, and exitSlack
	// the time after the exit in which its callers notice.
	cutMargin = 250 * time.Millisecond
	exitSlack = time.Second
	// A daemon knows the lengths of the last knownCalls of a kind which ended in
	// knownCallsLifetime. It estimates from minKnownCalls on.
	knownCalls         = 40
	knownCallsLifetime = 25 * time.Second
	minKnownCalls      = 8
	// minAnnouncedCalls is the number of short calls in announcements from which on their
	// refusals are judged.
	minAnnouncedCalls = 20
)

// longParts are the parts of the calls of a kind that outlast a stop. A run gives each kind
// another one of them.
var longParts = [...]float64{0, 0, 0.3, 1}

// stop is a stop of a daemon at the address.
type stop struct {
	address  string
	signalAt time.Time
	// endedAt is zero while the process runs.
	endedAt time.Time
}

// cutAt returns the earliest time at which the daemon may cut calls off.
func (s *stop) cutAt() time.Time {
	return s.signalAt.Add(leftToCalls)
}

// couldCut reports whether the stop may be what ended a call at the time.
func (s *stop) couldCut(at time.Time) bool {
	return at.After(s.cutAt().Add(-cutMargin)) && (s.endedAt.IsZero() || at.Before(s.endedAt.Add(exitSlack)))
}

// measuredRun is a server's run of a call. A busy server takes longer than it wants to.
type measuredRun struct {
	beganAt time.Time
	// endedAt is when the answer was whole or broken off; zero while the run goes on.
	endedAt time.Time
}

// end returns when the run ended, or now while it goes on.
func (r measuredRun) end(now time.Time) time.Time {
	if r.endedAt.IsZero() {
		return now
	}
	return r.endedAt
}

// completion is a whole answer to a call that took a server the length.
type completion struct {
	at     time.Time
	length time.Duration
}

// completions identifies the calls of a kind to a daemon.
type completions struct{ address, path string }

// StopCounts are numbers of calls and processes that stops ended.
type StopCounts struct {
	// Cut is the number of calls that outlasted a stop and got no whole answer, CutAnswers
	// that of the answers that say so, and Refused that of calls refused for a stop.
	Cut, CutAnswers, Refused int
	// Killed is the number of daemons that still ran when the platform killed them.
	Killed int
	// Announced is the number of short calls in announcements of daemons that know such
	// calls, and AnnouncedRefused that of the refused ones among them.
	Announced, AnnouncedRefused int
}

// stopCuts judges calls that stops have ended. It is safe for concurrent use.
type stopCuts struct {
	// longParts holds the parts of longParts by the path of a kind.
	longParts map[string]float64
	// late are the daemons that hand connections over, at any of the others.
	late map[string]bool
	// isCrowded says that calls wait for servers.
	isCrowded bool

	mu        sync.Mutex
	stops     []*stop
	runs      map[string]measuredRun
	long      map[string]bool
	completed map[completions][]completion
	counts    StopCounts
}

func newStopCuts() *stopCuts {
	return &stopCuts{
		longParts: make(map[string]float64), late: make(map[string]bool), runs: make(map[string]measuredRun),
		long: make(map[string]bool), completed: make(map[completions][]completion),
	}
}

// setLong records that servers shall take longCall for the call.
func (c *stopCuts) setLong(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.long[id] = true
}

// isLong reports whether a server shall take longCall for the call.
func (c *stopCuts) isLong(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.long[id]
}

// recordRun records that a server begins a run, until the returned function is called.
func (c *stopCuts) recordRun(id string) (end func()) {
	began := measuredRun{beganAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = began
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// Another run of the call may have begun.
		if c.runs[id] == began {
			c.runs[id] = measuredRun{beganAt: began.beganAt, endedAt: time.Now()}
		}
	}
}

// begin records a stop that begins now.
func (c *stopCuts) begin(address string) *stop {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := &stop{address: address, signalAt: time.Now()}
	c.stops = append(c.stops, begun)
	return begun
}

// end records that the process has exited, and whether it had to be killed.
func (c *stopCuts) end(ended *stop, killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended.endedAt = time.Now()
	if killed {
		c.counts.Killed++
	}
}

// recordBreak records that a call ended without a whole answer, and reports whether a stop may
// have cut it off.
func (c *stopCuts) recordBreak(sent sentCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayBeCutLocked(sent, time.Now()) {
		return false
	}
	c.counts.Cut++
	return true
}

// recordAnswer records a whole answer. It returns false if the answer says that a stop cut the
// call off that it had to refuse or to finish.
func (c *stopCuts) recordAnswer(sent sentCall, status int, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	isRefused := status == http.StatusServiceUnavailable && strings.HasPrefix(body, "stopping:")
	c.countAnnouncedLocked(sent, isRefused)
	switch {
	case status == http.StatusOK:
		key := completions{sent.address, sent.kind.path}
		// The fakes answer some calls at once, without a recorded run.
		length := time.Duration(0)
		if run, hasRun := c.runs[sent.id]; hasRun {
			length = run.end(now).Sub(run.beganAt)
		}
		c.completed[key] = append(c.completed[key], completion{at: now, length: length})
	case isRefused:
		c.counts.Refused++
	case status == http.StatusBadGateway && strings.HasPrefix(body, "cut-by-stop:"):
		c.counts.CutAnswers++
		return c.mayBeCutLocked(sent, now)
	}
	return true
}

// sentCall is a call that was sent to the daemon at the address.
type sentCall struct {
	call
	address string
	sentAt  time.Time
}

// mayBeCutLocked reports whether a stop may have cut the call off: its run outlasts the stop,
// and it was sent before the signal, or the daemon could not know how long it would take.
func (c *stopCuts) mayBeCutLocked(sent sentCall, now time.Time) bool {
	run, hasRun := c.runs[sent.id]
	slack := signalSlack
	if c.late[sent.address] {
		slack = relaySlack
	}
	return hasRun && len(c.longParts) > 0 && slices.ContainsFunc(c.stops, func(s *stop) bool {
		if s.address != sent.address && !c.late[sent.address] || !s.couldCut(now) || run.end(now).Before(s.cutAt().Add(-endSlack)) {
			return false
		}
		return sent.sentAt.Before(s.signalAt.Add(slack)) || !c.isLengthKnownLocked(sent, run.end(now).Sub(run.beganAt))
	})
}

// isLengthKnownLocked reports whether all daemons that may have taken the call knew that such
// calls last longer than the length after which this one was cut.
func (c *stopCuts) isLengthKnownLocked(sent sentCall, length time.Duration) bool {
	if c.longParts[sent.kind.path] == 1 {
		return true
	}
	if len(c.late) > 0 {
		return false
	}
	return slices.ContainsFunc(c.knownLocked(sent), func(known completion) bool { return known.length >= length+cutMargin })
}

// knownLocked returns the last calls of the kind that the daemon knew when the call was sent.
func (c *stopCuts) knownLocked(sent sentCall) []completion {
	since := sent.sentAt.Add(-knownCallsLifetime)
	for _, s := range c.stops {
		if s.address == sent.address && s.endedAt.After(since) && s.endedAt.Before(sent.sentAt) {
			since = s.endedAt
		}
	}
	var known []completion
	for _, ended := range slices.Backward(c.completed[completions{sent.address, sent.kind.path}]) {
		if len(known) == knownCalls || ended.at.Before(since) {
			break
		}
		if ended.at.Before(sent.sentAt.Add(-signalSlack)) {
			known = append(known, ended)
		}
	}
	return known
}

// countAnnouncedLocked counts an answered call of a kind without long ones that was sent in an
// announcement.
func (c *stopCuts) countAnnouncedLocked(sent sentCall, isRefused bool) {
	if c.isCrowded || c.late[sent.address] || c.longParts[sent.kind.path] > 0 || sent.timeout < longCallTimeout {
		return
	}
	for _, s := range c.stops {
		since := sent.sentAt.Sub(s.signalAt)
		if s.address != sent.address || since < signalSlack || since > cutAnnounce-endSlack || len(c.knownLocked(sent)) < minKnownCalls {
			continue
		}
		c.counts.Announced++
		if isRefused {
			c.counts.AnnouncedRefused++
		}
	}
}

// check adds a violation if most of the short calls in announcements were refused.
func (c *stopCuts) check(checker *checker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.Announced >= minAnnouncedCalls && 2*c.counts.AnnouncedRefused > c.counts.Announced {
		checker.addViolation("announcement: %d of %d short calls were refused", c.counts.AnnouncedRefused, c.counts.Announced)
	}
}

// counted returns the counts so far.
func (c *stopCuts) counted() StopCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// setUpCuts gives each kind of calls its part of long ones.
func (r *soakRun) setUpCuts() {
	r.cuts.isCrowded = r.options.Seed%2 == 0
	for i, part := range r.random.Perm(len(callKinds)) {
		r.cuts.longParts[callKinds[i].path] = longParts[part]
	}
	r.options.Logf("seed %d: parts of long calls %v, crowded %v", r.options.Seed, r.cuts.longParts, r.cuts.isCrowded)
}

// kindsOf returns the kinds of calls of a caller. Every other one sends only short calls in a run
// with long ones, which hold their callers up.
func (r *soakRun) kindsOf(caller int) []callKind {
	if caller%2 == 0 {
		return callKinds
	}
	return slices.DeleteFunc(slices.Clone(callKinds), func(kind callKind) bool { return r.cuts.longParts[kind.path] > 0 })
}

// setLongTimeouts sets in the spec of the configuration object what long calls need, and few
// places at servers in a crowded run.
func (r *soakRun) setLongTimeouts(spec map[string]any) {
	for _, route := range spec["routes"].([]any) {
		route.(map[string]any)["timeoutMs"] = 2 * longCallTimeout.Milliseconds()
	}
	if !r.cuts.isCrowded {
		return
	}
	for _, service := range spec["services"].([]any) {
		service.(map[string]any)["maxConns"] = max(1, r.options.Callers/(4*r.options.ServersPerService))
	}
}

// killAfter returns when the platform kills a daemon after SIGTERM.
func (r *soakRun) killAfter() time.Duration {
	if r.options.CutStops {
		return cutKillAfter
	}
	return usualKillAfter
}

// terminate begins a stop as the platform does: it kills the process if it hasn't exited in
// time.
func (r *soakRun) terminate(d *daemon) {
	exited, stopping := d.Exited(), d.PID()
	begun := r.cuts.begin(d.addresses.Callers)
	_ = d.Terminate()
	r.stops.Go(func() {
		kill := time.NewTimer(r.killAfter())
		defer kill.Stop()
		killed := false
		select {
		case <-exited:
		case <-kill.C:
			if killed = d.PID() == stopping && d.Running(); killed {
				_ = d.Kill()
			}
			<-exited
		}
		r.cuts.end(begun, killed)
	})
}
