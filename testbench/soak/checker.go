package soak

import (
	"fmt"
	"net/http"
	"slices"
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
	// lastCompleted is when a call of each workspace was last completed, or else the first was sent.
	lastCompleted map[string]time.Time
	// streamVersions holds the software version of each stream's first event, by the
	// ID of the attempt that brought it.
	streamVersions map[string]string
	resumed        int
}

type callRecord struct {
	kind      callKind
	workspace string
	runCount  int
	// serverStatuses are the error statuses with which backend servers answered.
	serverStatuses []int
	// neverRuns is set after a refusal, which guarantees that the call did not run
	// and will not run.
	neverRuns bool
}

func newChecker() *checker {
	return &checker{
		calls: make(map[string]*callRecord), drainDeadlines: make(map[string]time.Time),
		streamVersions: make(map[string]string), lastCompleted: make(map[string]time.Time),
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
	if _, known := c.lastCompleted[workspace]; !known {
		c.lastCompleted[workspace] = time.Now()
	}
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

// recordBody records the body of a request that a backend server runs.
func (c *checker) recordBody(server, id, body string) {
	if body != requestBody(id, len(body)/(len(id)+1)) {
		c.addViolation("unasked: %s ran %s with another body of %d bytes", server, id, len(body))
	}
}

// hasRun reports whether a backend server has run the call.
func (c *checker) hasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id].runCount > 0
}

// recordServerStatus records the status of the error with which a backend server answers.
func (c *checker) recordServerStatus(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, known := c.calls[id]; known {
		call.serverStatuses = append(call.serverStatuses, status)
	}
}

// answer is what a caller received in answer to a call.
type answer struct {
	status int
	// isWhole tells that the body ended without an error.
	isWhole bool
	body    string
	hasSeal bool
}

// recordAnswer records the answer to a call, unless it is that of a stream.
func (c *checker) recordAnswer(sent call, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[sent.id]
	isRefusal := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	switch {
	case a.status == http.StatusOK && a.isWhole && (a.body != plainBody(sent.id) || !a.hasSeal):
		c.addViolationLocked("mixed: %s was answered with status 200 and body %q, seal %v", sent.id, a.body, a.hasSeal)
	case a.status == http.StatusOK && a.isWhole:
		c.recordCompletedLocked(sent.workspace, time.Now())
	case a.hasSeal && a.status != http.StatusOK && !slices.Contains(call.serverStatuses, a.status):
		c.addViolationLocked("mixed: %s was answered with status %d of no backend server", sent.id, a.status)
	case a.hasSeal && a.isWhole && a.body != errorBody(sent.id, a.status):
		c.addViolationLocked("mixed: %s was answered with status %d and body %q", sent.id, a.status, a.body)
	case isRefusal:
		call.neverRuns = true
		if call.runCount > 0 && !call.kind.repeatable {
			c.addViolationLocked("refused: %s was refused as not run, but it ran", sent.id)
		}
	}
}

// recordStream records the answer with events of a stream, whole or broken, and returns the
// ID of its last event; zero for none.
func (c *checker) recordStream(sent call, a answer) (lastEvent int) {
	read := readStream(sent, a.body)
	c.mu.Lock()
	defer c.mu.Unlock()
	isComplete := read.lastEvent == streamEventCount && read.rest == ""
	switch {
	case read.problem != "":
		c.addViolationLocked("order: stream %s after event %d: %s", sent.id, sent.lastEvent, read.problem)
	case !a.hasSeal:
		c.addViolationLocked("mixed: stream %s has no seal", sent.id)
	case a.isWhole && !isComplete:
		c.addViolationLocked("order: stream %s ended as complete after event %d", sent.id, read.lastEvent)
	case a.isWhole:
		c.recordCompletedLocked(sent.workspace, time.Now())
	}
	c.recordVersionsLocked(sent, read.versions)
	if len(read.versions) == 0 {
		return 0
	}
	return read.lastEvent
}

// recordVersionsLocked records the software versions of the events in one answer. c.mu must
// be held.
func (c *checker) recordVersionsLocked(sent call, versions []string) {
	if sent.resumes != "" && len(versions) > 0 {
		c.resumed++
	}
	for _, version := range versions {
		first, known := c.streamVersions[sent.streamID()]
		if !known {
			c.streamVersions[sent.streamID()] = version
		} else if version != first {
			c.addViolationLocked("order: stream %s has events of software versions %s and %s", sent.streamID(), first, version)
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
