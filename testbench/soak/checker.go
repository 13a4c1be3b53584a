package soak

import (
	"fmt"
	"sync"
	"time"
)

// callKind describes the calls of one route.
type callKind struct {
	path       string
	service    string
	repeatable bool
	stream     bool
}

// callKinds are the routes of platformtest.Configuration.
var callKinds = []callKind{
	{path: "/stream/x", service: "llm", repeatable: true, stream: true},
	{path: "/once-stream/x", service: "llm", stream: true},
	{path: "/read/x", service: "app", repeatable: true},
	{path: "/write/x", service: "app"},
}

// checker records the calls that callers sent and the runs of backend servers, and
// detects violated guarantees. It is safe for concurrent use.
type checker struct {
	mu         sync.Mutex
	calls      map[string]*callRecord
	violations []string
	// drainDeadlines holds, by the name of a leaving backend server, the time from
	// which it must receive no requests.
	drainDeadlines map[string]time.Time
	completed      int
	// streamVersions holds the software version of each stream's first event, by the
	// ID of the attempt that brought it.
	streamVersions map[string]string
	resumed        int
}

type callRecord struct {
	kind      callKind
	workspace string
	runCount  int
	// neverRuns is set after a refusal, which guarantees that the call did not run
	// and will not run.
	neverRuns bool
}

func newChecker() *checker {
	return &checker{
		calls: make(map[string]*callRecord), drainDeadlines: make(map[string]time.Time),
		streamVersions: make(map[string]string),
	}
}

// addViolationLocked adds a violation. c.mu must be held.
func (c *checker) addViolationLocked(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// recordCall records a call. It must be called before the call is sent.
func (c *checker) recordCall(id string, kind callKind, workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = &callRecord{kind: kind, workspace: workspace}
}

// recordRun records that a backend server starts to run a request. resumed tells that
// the request continues a stream that broke.
func (c *checker) recordRun(server, service, id, workspace string, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, known := c.calls[id]
	if !known {
		c.addViolationLocked("unasked: %s ran %q, which no caller sent", server, id)
		return
	}
	call.runCount++
	switch {
	case call.runCount > 1 && !call.kind.repeatable:
		c.addViolationLocked("twice: %s ran %d times, last on %s", id, call.runCount, server)
	case call.neverRuns:
		c.addViolationLocked("refused: %s ran on %s after its refusal as not run", id, server)
	case service != call.kind.service:
		c.addViolationLocked("route: %s ran on %s of service %s", id, server, service)
	case workspace != call.workspace:
		c.addViolationLocked("unasked: %s ran for workspace %q, not %q", id, workspace, call.workspace)
	case resumed && !call.kind.repeatable:
		c.addViolationLocked("order: %s is not repeatable and was resumed", id)
	}
	if deadline, leaving := c.drainDeadlines[server]; leaving && time.Now().After(deadline) {
		c.addViolationLocked("drain: %s reached %s %v after its drain deadline", id, server, time.Since(deadline))
	}
}

// recordAnswer records the answer that a caller received. complete tells that the body
// ended without an error.
func (c *checker) recordAnswer(id string, status int, complete bool, body, expected string, hasSeal bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	switch {
	case status == 200 && complete && (body != expected || !hasSeal):
		c.addViolationLocked("mixed: %s was answered with status 200 and body %q, seal %v", id, body, hasSeal)
	case status == 200 && complete:
		c.completed++
	case status == 503:
		call.neverRuns = true
		if call.runCount > 0 && !call.kind.repeatable {
			c.addViolationLocked("refused: %s was refused as not run, but it ran", id)
		}
	}
}

// recordStreamVersions records the software versions of the events that a caller
// received of a stream in one answer. resumed tells that it is not the first one.
func (c *checker) recordStreamVersions(streamID string, versions []string, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resumed && len(versions) > 0 {
		c.resumed++
	}
	for _, version := range versions {
		first, known := c.streamVersions[streamID]
		if !known {
			c.streamVersions[streamID] = version
		} else if version != first {
			c.addViolationLocked("order: stream %s has events of software versions %s and %s", streamID, first, version)
			return
		}
	}
}

// resumedStreams returns the number of answers with events of streams that callers
// resumed.
func (c *checker) resumedStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumed
}

// completedCalls returns the number of calls so far with a complete and correct answer.
func (c *checker) completedCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed
}

// allViolations returns a copy of the violations so far.
func (c *checker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// setDrainDeadline sets the time from which a backend server must receive no requests.
// The zero time removes it.
func (c *checker) setDrainDeadline(server string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline.IsZero() {
		delete(c.drainDeadlines, server)
		return
	}
	c.drainDeadlines[server] = deadline
}

// extendDrainDeadlines moves the deadlines that have not passed yet to a later time.
func (c *checker) extendDrainDeadlines(now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, deadline := range c.drainDeadlines {
		if deadline.After(now) {
			c.drainDeadlines[server] = until
		}
	}
}

// addViolation adds a violation that was detected outside the checker.
func (c *checker) addViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, values...)
}
