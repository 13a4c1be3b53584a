package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/ports"
)

// fakeDaemon answers each request with the next of its handlers, and all further
// requests with the last one.
type fakeDaemon struct {
	*httptest.Server
	mu       sync.Mutex
	handlers []http.HandlerFunc
	// requests holds "METHOD PATH" of each request.
	requests []string
	// applyIDs is the set of the requests' apply IDs.
	applyIDs map[string]bool
}

func newFakeDaemon(t *testing.T, handlers ...http.HandlerFunc) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{handlers: handlers, applyIDs: map[string]bool{}}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.Close)
	return d
}

func (d *fakeDaemon) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.requests = append(d.requests, r.Method+" "+r.URL.RequestURI())
	d.applyIDs[r.Header.Get(ports.HeaderApplyID)] = true
	handler := d.handlers[0]
	if len(d.handlers) > 1 {
		d.handlers = d.handlers[1:]
	}
	d.mu.Unlock()
	handler(w, r)
}

func respondWith(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) }
}

func refuseWith(problem ports.OperatorProblem) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(problem.Status)
		_ = json.NewEncoder(w).Encode(problem)
	}
}

func refuseWithReason(status int, reason ports.OperatorReason) http.HandlerFunc {
	return refuseWith(ports.OperatorProblem{Status: status, Reason: reason})
}

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// unreachableServer returns the URL of a server that refuses connections.
func unreachableServer() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

// runClient runs the client with an operator's key in the environment. It returns
// the exit code, the standard output and the standard error.
func runClient(stdin string, args ...string) (int, string, string) {
	var out, err bytes.Buffer
	streams := Streams{In: strings.NewReader(stdin), Out: &out, Err: &err}
	code := Main(args, streams, func(name string) string {
		return map[string]string{envOperatorKey: "secret"}[name]
	})
	return code, out.String(), err.String()
}

var accepted = configuration.RevisionSummary{Number: 4, Author: "alice"}

func TestApply(t *testing.T) {
	d := newFakeDaemon(t, respondWith(accepted))
	code, out, _ := runClient("{}", "-server", d.URL, "apply", "-base", "3", "-")
	if code != 0 || out != "accepted as revision 4\n" {
		t.Errorf("got %d %q", code, out)
	}
}

func TestApplyRetriesLostAnswerWithSameApplyID(t *testing.T) {
	first := newFakeDaemon(t, dropConnection)
	second := newFakeDaemon(t, respondWith(accepted))
	code, _, stderr := runClient("{}", "-server", first.URL+","+second.URL, "apply", "-base", "3", "-")
	if code != 0 {
		t.Errorf("got %d %q", code, stderr)
	}
	first.mu.Lock()
	defer first.mu.Unlock()
	for id := range second.applyIDs {
		if !first.applyIDs[id] || id == "" {
			t.Error("the attempt was repeated under another apply ID")
		}
	}
}

func TestApplyRetriesWhileOutcomeIsUnknown(t *testing.T) {
	d := newFakeDaemon(t, refuseWithReason(504, ports.OperatorReasonUnknownOutcome), refuseWithReason(503, ports.OperatorReasonUnavailable), respondWith(accepted))
	code, _, stderr := runClient("{}", "-server", d.URL, "apply", "-")
	if code != 0 || len(d.requests) != 3 {
		t.Errorf("got %d %q after %d requests", code, stderr, len(d.requests))
	}
}

func TestExitCodes(t *testing.T) {
	conflict := func(base, oldest configuration.RevisionNumber) http.HandlerFunc {
		return refuseWith(ports.OperatorProblem{
			Status: 412, Reason: ports.OperatorReasonConflict,
			Conflict: &configuration.ConflictError{Base: base, Current: 9, Oldest: oldest, Difference: []configuration.Change{
				{Path: "classes.short.answerWithin", Old: json.RawMessage(`"30s"`), New: json.RawMessage(`"40s"`)},
			}},
		})
	}
	invalid := refuseWith(ports.OperatorProblem{
		Status: 400, Reason: ports.OperatorReasonInvalid,
		Faults: []fieldcheck.Fault{fieldcheck.NewFault("classes", "{}", "at least one")},
	})
	for _, c := range []struct {
		name       string
		handlers   []http.HandlerFunc
		wantCode   int
		wantStderr string
	}{
		{"conflict", []http.HandlerFunc{conflict(3, 1)}, 3, `~ classes.short.answerWithin: "30s" -> "40s"`},
		{"answer lost, then a conflict that shows that it was not accepted", []http.HandlerFunc{dropConnection, conflict(3, 4)}, 3, "changed between"},
		{"answer lost, then a conflict whose chain is too short to tell", []http.HandlerFunc{dropConnection, conflict(3, 5)}, 4, "not known"},
		{"invalid", []http.HandlerFunc{invalid}, 2, "classes: {} is not accepted; allowed: at least one"},
		{"unavailable", []http.HandlerFunc{refuseWithReason(503, ports.OperatorReasonUnavailable)}, 1, "platform-unavailable"},
		{"outcome never known", []http.HandlerFunc{dropConnection}, 4, "not known"},
		{"unknown key", []http.HandlerFunc{refuseWithReason(401, ports.OperatorReasonUnknownKey)}, 1, "unknown-key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newFakeDaemon(t, c.handlers...)
			code, _, stderr := runClient("{}", "-server", d.URL, "-timeout", "1s", "apply", "-base", "3", "-")
			if code != c.wantCode || !strings.Contains(stderr, c.wantStderr) {
				t.Errorf("got %d %q", code, stderr)
			}
		})
	}
}

func TestApplyFailsWhenNoServerIsReachable(t *testing.T) {
	if code, _, stderr := runClient("{}", "-server", unreachableServer(), "apply", "-"); code != 1 {
		t.Errorf("got %d %q", code, stderr)
	}
}

func TestStatusUsesNextServerWhenOneIsDown(t *testing.T) {
	d := newFakeDaemon(t, respondWith(ports.DaemonStatus{Ready: true, Services: []ports.ServiceStatus{{
		Service: "drafter", Queued: map[ports.WorkspaceID]int{"border": 2},
		Levels: map[ports.WorkspaceID]float64{"border": 10, "mine": 14.5},
	}}}))
	code, out, _ := runClient("", "-server", unreachableServer(), "-server", d.URL, "status")
	if code != 0 || !strings.Contains(out, "fairness gap 4.5") || !strings.Contains(out, "queued for border: 2") {
		t.Errorf("got %d %q", code, out)
	}
}

func TestStatusOfAllServers(t *testing.T) {
	status := func(queued int, level float64) http.HandlerFunc {
		return respondWith(ports.DaemonStatus{VM: ports.VM{Name: "vm-1"}, Services: []ports.ServiceStatus{{
			Service: "drafter", Running: 1, Queued: map[ports.WorkspaceID]int{"border": queued},
			Levels: map[ports.WorkspaceID]float64{"border": level, "mine": 1},
		}}})
	}
	one, two := newFakeDaemon(t, status(2, 3)), newFakeDaemon(t, status(5, 8))
	code, out, _ := runClient("", "-server", one.URL, "-server", unreachableServer(), "-server", two.URL, "status", "-all")
	for _, want := range []string{"connection refused", "service drafter: running 2, fairness gap 7.0", "queued for border: 7"} {
		if code != 0 || !strings.Contains(out, want) {
			t.Errorf("got %d, lacks %q: %q", code, want, out)
		}
	}
	if code, _, stderr := runClient("", "-server", unreachableServer(), "status", "-all"); code != 1 {
		t.Errorf("got %d %q", code, stderr)
	}
}

func TestStatusShowsEvacuatedDomains(t *testing.T) {
	since := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	status := func(age time.Duration, running int) http.HandlerFunc {
		return respondWith(ports.DaemonStatus{Evacuations: []ports.EvacuationStatus{
			{Domain: "z1", Since: since.Add(age), Running: running, Elsewhere: 4},
		}})
	}
	one, two := newFakeDaemon(t, status(time.Second, 2)), newFakeDaemon(t, status(0, 3))
	const line = "evacuated: z1 since 2026-12-04T10:00:0%dZ, calls that still run there: %d\n"
	if code, out, _ := runClient("", "-server", one.URL, "status"); code != 0 || !strings.Contains(out, fmt.Sprintf(line, 1, 6)) {
		t.Errorf("got %d %q", code, out)
	}
	code, out, _ := runClient("", "-server", one.URL, "-server", two.URL, "status", "-all")
	if code != 0 || !strings.Contains(out, fmt.Sprintf(line, 0, 5)) {
		t.Errorf("got %d %q", code, out)
	}
}

func TestGetFillsInDefaults(t *testing.T) {
	document := configuration.Document{Workspaces: map[ports.WorkspaceID]configuration.Workspace{"border": {}}}
	d := newFakeDaemon(t, respondWith(configuration.Revision{Number: 1, Document: document}))
	for flag, want := range map[string]bool{"-defaults=false": false, "-defaults": true} {
		_, out, _ := runClient("", "-server", d.URL, "get", flag)
		if strings.Contains(out, `"shareTarget": 1`) != want {
			t.Errorf("%s: %s", flag, out)
		}
	}
}

func TestUsageErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"nonsense"},
		{"get"},
		{"-nonsense"},
		{"-server", "http://x", "apply"},
		{"-server", "http://x", "apply", "/no/such/file"},
		{"-server", "http://x", "apply", "-base", "x", "-"},
		{"-server", "http://x", "-output", "yaml", "get"},
		{"-server", "http://x", "-key-file", file + "-none", "get"},
		{"-server", "http://x", "stop"},
		{"-server", "http://x", "stop", "plan"},
		{"-server", "http://x", "stop", "plan", "-not-before", "soon", "vm-1"},
		{"-server", "http://x", "explain"},
	} {
		if code, _, stderr := runClient("", args...); code != 2 {
			t.Errorf("%v: got %d %q", args, code, stderr)
		}
	}
}

func TestExplainMergesLogsOfSeveralDaemons(t *testing.T) {
	first := filepath.Join(t.TempDir(), "d1.log")
	text := "time=2026-12-04T01:00:00.200Z level=info event=\"call-ended\" request=\"r1\" run=\"ran\"\n" +
		"time=2026-12-04T01:00:00.100Z level=info event=\"call-placed\" request=\"r10\" server=\"s1\"\n"
	if err := os.WriteFile(first, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	stdin := "d2 time=2026-12-04T01:00:00.050Z level=info event=\"call-placed\" request=\"r1\"\n"
	code, out, stderr := runClient(stdin, "explain", "-logs", "r1", first, "-")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || len(lines) != 2 || !strings.Contains(lines[0], "call-placed") ||
		!strings.Contains(lines[1], "150ms") || !strings.Contains(lines[1], "call-ended") {
		t.Errorf("got %d %q %q", code, out, stderr)
	}
	if code, _, _ := runClient("", "explain", "-logs", "r2", first); code != 1 {
		t.Errorf("a request that no line names: exit code %d", code)
	}
	if code, _, stderr := runClient("", "explain", "-logs", "r1", first+"-none"); code != 1 || stderr == "" {
		t.Errorf("a log that can't be read: exit code %d, %q", code, stderr)
	}
}

func TestRequestsOfOtherCommands(t *testing.T) {
	for _, c := range []struct {
		args        []string
		value       any
		wantRequest string
		wantOut     string
	}{
		{[]string{"get", "-revision"}, configuration.Revision{Number: 7}, "GET /v1/configuration", "7\n"},
		{[]string{"stop", "plan", "vm-1"}, accepted, "POST /v1/planned-stops", "accepted as revision 4\n"},
		{[]string{"stop", "cancel", "vm-1"}, accepted, "DELETE /v1/planned-stops/vm-1", "accepted as revision 4\n"},
		{[]string{"stop", "list"}, ports.StopList{}, "GET /v1/planned-stops", "no stops are planned\n"},
		{[]string{"history"}, ports.RevisionHistory{Revisions: []configuration.RevisionSummary{accepted}}, "GET /v1/configuration/history", "4  0001-01-01T00:00:00Z  alice  \n"},
		{[]string{"diff", "-base", "2", "-"}, ports.DocumentDifference{Base: 2}, "POST /v1/configuration/diff?base=2", "no difference from revision 2\n"},
		{[]string{"explain", "r1"}, ports.CallTrace{ID: "r1"}, "GET /v1/explain/r1", "request r1: workspace , service , class \n"},
		{[]string{"-output", "json", "stop", "list"}, ports.StopList{Revision: 3}, "GET /v1/planned-stops", "{\n  \"revision\": 3,\n  \"stops\": null\n}\n"},
	} {
		d := newFakeDaemon(t, respondWith(c.value))
		code, out, stderr := runClient("", append([]string{"-server", d.URL}, c.args...)...)
		if code != 0 || out != c.wantOut || fmt.Sprint(d.requests) != "["+c.wantRequest+"]" {
			t.Errorf("%v: got %d %q %q after %v", c.args, code, out, stderr, d.requests)
		}
	}
}
