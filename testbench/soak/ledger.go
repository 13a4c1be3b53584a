package soak

import (
	"fmt"
	"sync"
	"time"
)

// kind is a kind of call.
type kind struct {
	path       string
	service    string
	repeatable bool
	stream     bool
}

// kinds are the routes of the stand-in configuration.
var kinds = []kind{
	{path: "/stream/x", service: "llm", repeatable: true, stream: true},
	{path: "/once-stream/x", service: "llm", stream: true},
	{path: "/read/x", service: "app", repeatable: true},
	{path: "/write/x", service: "app"},
}

// ledger holds what callers sent and backend servers ran, and the promises that
// were broken. It is safe for concurrent use.
type ledger struct {
	mu     sync.Mutex
	calls  map[string]*record
	broken []string
	// leaving are the servers that were told to leave, with the time from which
	// they must get nothing.
	leaving  map[string]time.Time
	answered int
}

// record is one call.
type record struct {
	kind      kind
	workspace string
	runs      int
	// notRun says that the caller was promised that the call never runs.
	notRun bool
}

func newLedger() *ledger {
	return &ledger{calls: make(map[string]*record), leaving: make(map[string]time.Time)}
}

func (l *ledger) breach(format string, values ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, values...))
}

// sent notes a call before it is sent.
func (l *ledger) sent(id string, k kind, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = &record{kind: k, workspace: workspace}
}

// ran notes that a backend server begins to work on a request.
func (l *ledger) ran(server, service, id, workspace string, resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call, known := l.calls[id]
	if !known {
		l.breach("unasked: %s ran %q, which nobody sent", server, id)
		return
	}
	call.runs++
	switch {
	case call.runs > 1 && !call.kind.repeatable:
		l.breach("twice: %s ran %d times, last on %s", id, call.runs, server)
	case call.notRun:
		l.breach("refused: %s ran on %s after it was said not to have run", id, server)
	case service != call.kind.service:
		l.breach("route: %s ran at %s of %s", id, server, service)
	case workspace != call.workspace:
		l.breach("unasked: %s ran for workspace %q, not %q", id, workspace, call.workspace)
	case resumed && !call.kind.repeatable:
		l.breach("order: %s was resumed", id)
	}
	if from, leaves := l.leaving[server]; leaves && time.Now().After(from) {
		l.breach("drain: %s reached %s %v after it had to be left", id, server, time.Since(from))
	}
}

// ended notes how a call ended for its caller.
func (l *ledger) ended(id string, status int, whole bool, body, want string, sealed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.calls[id]
	switch {
	case status == 200 && whole && (body != want || !sealed):
		l.breach("mixed: %s got a success with %q, sealed %v", id, body, sealed)
	case status == 200 && whole:
		l.answered++
	case status == 503:
		call.notRun = true
		if call.runs > 0 && !call.kind.repeatable {
			l.breach("refused: %s was said not to have run and had", id)
		}
	}
}

// served returns how many calls were answered whole so far.
func (l *ledger) served() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

func (l *ledger) breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// leave says when a server must get no more requests; the zero time takes that
// back.
func (l *ledger) leave(server string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.IsZero() {
		delete(l.leaving, server)
		return
	}
	l.leaving[server] = from
}

// add notes a breach that was seen elsewhere.
func (l *ledger) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(format, values...)
}
